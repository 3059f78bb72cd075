package accept

import (
	"time"

	"go.uber.org/zap"

	"almondrill/core/ledger"
	"almondrill/io/stats"
)

const (
	// lateHead is the age from which a head that has not arrived is late.
	lateHead = 500 * time.Millisecond
	// lateBody is the age from which a body that has not arrived is late, and blockedWrite that from
	// which a response that is not read counts as abandoned.
	lateBody     = time.Second
	blockedWrite = time.Second
)

// worth ranks connections by what is lost if they are closed, the least first. Those that must not be
// closed have worth keep.
type worth int

const (
	lateNewHead worth = iota // no request has ever arrived, and the first is late
	idleLong                 // waits for its next request for longer than a head may be late
	lateNextHead
	waiting // waits for a request, or for the rest of its head
	lateRequest
	unread
	keep
)

// worth returns the connection's worth and since when it has it.
func (co *Conn) worth(now time.Time) (worth, time.Time) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.li.Messages {
		return co.messageWorth(now)
	}
	late := now.Sub(co.since) >= lateHead
	switch {
	case co.phase == closed:
		return keep, now
	case co.phase == readingHead && late && !co.served:
		return lateNewHead, co.since
	case co.phase == idle && late:
		return idleLong, co.since
	case co.phase == readingHead && late:
		return lateNextHead, co.since
	case co.phase == readingHead && !co.head.ended || co.phase == idle:
		return waiting, co.since
	case co.phase == readingBody && now.Sub(co.since) >= lateBody:
		return lateRequest, co.since
	case !co.blockedSince.IsZero() && now.Sub(co.blockedSince) >= blockedWrite:
		return unread, co.blockedSince
	}
	return keep, now
}

var worthNames = [...]string{"LateNewHead", "IdleLong", "LateNextHead", "Waiting", "LateRequest", "Unread"}

// holdsLate reports whether a connection of that worth holds bytes of a late head or body.
func (wo worth) holdsLate() bool {
	return wo == lateNewHead || wo == lateNextHead || wo == lateRequest
}

func anyWorth(worth) bool { return true }

// evict closes the connection that is worth least of those whose worth is eligible, and of those that are worth the
// same the one that has been for longest. Call it with the lock held. It returns false if there is none.
func (li *Listener) evict(now time.Time, eligible func(worth) bool) bool {
	var victim *Conn
	least, oldest := keep, now
	for co := range li.open {
		wo, since := co.worth(now)
		if wo != keep && eligible(wo) && (wo < least || wo == least && since.Before(oldest)) {
			victim, least, oldest = co, wo, since
		}
	}
	if victim == nil {
		return false
	}
	delete(li.open, victim)
	li.release()
	li.noteEvicted(victim)
	if least == lateRequest {
		victim.abandonBody() // its handler refuses the request
	} else {
		_ = victim.TCPConn.Close() // its server then calls Close
	}
	li.Stats.Add(stats.ConnsEvicted, 1)
	li.Log.Warn("Closed a connection for lack of room.", zap.String("Listener", li.Name), zap.String("Worth", worthNames[least]),
		zap.Duration("Age", now.Sub(oldest)), zap.Int("Open", len(li.open)), zap.Int64("Bytes", li.Bytes.Held(ledger.Conns)))
	return true
}

// noteEvicted notes that a connection is being closed. Call it with the lock held.
func (li *Listener) noteEvicted(co *Conn) {
	if li.evicted == nil {
		li.evicted = map[*Conn]bool{}
	}
	li.evicted[co] = true
}

// MakeRoom closes a connection of the same listener that holds a late head or body, if there is one, so that others
// have room for theirs.
func (co *Conn) MakeRoom() {
	li := co.li
	go func() { // the caller may hold the lock of a connection
		li.mu.Lock()
		defer li.mu.Unlock()
		if len(li.evicted) < maxClosing {
			li.evict(time.Now(), worth.holdsLate)
		}
	}()
}
