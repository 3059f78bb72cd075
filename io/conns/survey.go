package conns

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"
)

const (
	// listenerGrace is how long after its connections a process that ends may close its listener: its system
	// does so in no certain order.
	listenerGrace = 25 * time.Millisecond
	// goneProbes is how many connections are made to find out whether a process has ended. One that was reset
	// shows nothing: its listener may have closed, or the process takes no more of them.
	goneProbes = 4
	// witnessGrace is how long a connection stays open to show that its process goes on: longer than a lost
	// segment that closes it takes to be sent again.
	witnessGrace = 250 * time.Millisecond
	// witnessChecks and witnessInterval are how often a connection is looked at that has unread bytes: its
	// end may follow them.
	witnessChecks   = 5
	witnessInterval = 5 * time.Millisecond
	// closeSkew is how long before a connection the watch of its address may be closed by the same cause.
	closeSkew = 50 * time.Millisecond
)

// Survey is what the other connections to an endpoint showed after one of them had ended.
type Survey struct {
	// Gone is set if the endpoint's process may have ended with the connection.
	Gone bool
	// MayBeGone is set if it may, but the connection may as well have ended by itself at the moment at which the
	// endpoint closed an idle one for its age.
	MayBeGone bool
	// Refused is set if the endpoint takes no connections any more.
	Refused bool
	// Others counts the connections that were open when the one in question ended, Open those that stayed open.
	// They are looked at only if the endpoint takes no more, or has closed the watch as well.
	Others, Open int
}

// Survey finds out whether the process at the other end of a connection goes on after it has closed the
// connection. One that ends closes its listener and all connections. One that shuts down gracefully closes its
// listener first, and its connections one by one. One that resets its connections closes all at once and listens on.
func (po *Pool) Survey(ctx context.Context, ended *Conn) Survey {
	began := time.Now()
	others := po.others(ended)
	gone, refused := po.probe(ctx, ended.Addr)
	if !refused {
		su := Survey{Gone: gone}
		if !gone {
			po.surveyReset(ended.Addr, began, others, &su)
		}
		return su
	}
	su := Survey{Gone: true, Refused: true, Others: len(others)}
	if len(others) == 0 || !sleep(ctx, time.Until(began.Add(witnessGrace))) {
		return su
	}
	for _, co := range others {
		if co.staysOpen(ctx) {
			su.Open++
			su.Gone = false
		}
	}
	return su
}

// surveyReset finds out whether an endpoint that takes connections has closed all others as well. Those that were made
// since, or just before, show nothing: the end of the watch is noticed a moment late.
func (po *Pool) surveyReset(addr string, began time.Time, others []*Conn, su *Survey) {
	po.mu.Lock()
	var last *Conn
	var closed time.Time
	if wa := po.watches[addr]; wa != nil {
		last, closed = wa.last, wa.closed
	}
	po.mu.Unlock()
	if last == nil || closed.Before(began.Add(-closeSkew)) {
		return
	}
	su.Others = 1
	inUse := 0
	for _, co := range others {
		if co == last || co.opened.After(closed.Add(-closeSkew)) {
			continue
		}
		su.Others++
		if open, pending := co.peek(); open || pending {
			su.Open++
		} else if !co.idle() {
			inUse++
		}
	}
	if su.Open > 0 {
		return
	}
	su.Gone = inUse > 0 || closed.Sub(last.opened) < defaultIdleTimeout-idleMargin
	su.MayBeGone = !su.Gone
}

// idle reports whether the connection is in the pool, not in use.
func (co *Conn) idle() bool {
	co.po.mu.Lock()
	defer co.po.mu.Unlock()
	return slices.Contains(co.po.idle[co.Addr], co)
}

// others returns the open connections to the address of co, but for itself.
func (po *Pool) others(co *Conn) []*Conn {
	po.mu.Lock()
	defer po.mu.Unlock()
	var all []*Conn
	for other := range po.open[co.Addr] {
		if other != co {
			all = append(all, other)
		}
	}
	return all
}

// probe connects to the address. refused reports whether nothing listens there any more, or will not in a moment;
// gone also whether that could not be found out. A connection that stays open is kept in the pool.
func (po *Pool) probe(ctx context.Context, addr string) (gone, refused bool) {
	for range goneProbes {
		co, err := po.dial(ctx, addr)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true, true
		}
		waited := sleep(ctx, listenerGrace)
		switch {
		case err == nil && waited && co.usable():
			po.PutUnused(co)
			return false, false
		case err == nil:
			co.Close()
		}
		if !waited {
			return true, false
		}
	}
	return false, false
}

// sleep returns false if the context ends before.
func sleep(ctx context.Context, lasting time.Duration) bool {
	select {
	case <-time.After(lasting):
		return true
	case <-ctx.Done():
		return false
	}
}

// staysOpen reports whether the endpoint has not closed the connection, which may be in use.
func (co *Conn) staysOpen(ctx context.Context) bool {
	for range witnessChecks {
		open, pending := co.peek()
		if !pending {
			return open
		}
		if !sleep(ctx, witnessInterval) {
			break
		}
	}
	return false
}

// peek reports whether the connection is open, or whether unread bytes hide that.
func (co *Conn) peek() (open, pending bool) {
	sc, ok := co.raw.(syscall.Conn)
	if !ok {
		return false, false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	err = rc.Control(func(fd uintptr) {
		var one [1]byte
		count, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open, pending = errors.Is(rerr, syscall.EAGAIN), count > 0
	})
	return open && err == nil, pending && err == nil
}

// watch keeps an idle connection to an address while responses end with their connections there: the last one
// of an endpoint that shuts down would have no other beside it, and the moment at which it closes shows whether the
// endpoint has closed all.
type watch struct {
	// users counts the responses in progress.
	users   int
	co      *Conn         // nil if there is none
	stopped chan struct{} // closed once co is no longer waited for
	dialing bool
	// last is the last one that the endpoint has closed, and closed when it did.
	last   *Conn
	closed time.Time
}

// unframedTTL is how long after a response that ended with its connection others of the endpoint are expected to.
const unframedTTL = time.Minute

// Watch keeps an idle connection to the address open, for Survey, until release is called: a response from there ends
// with its connection. It takes effect in the background.
func (po *Pool) Watch(addr string) (release func()) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.unframed == nil {
		po.unframed = map[string]time.Time{}
	}
	po.unframed[addr] = time.Now()
	return po.watch(addr)
}

// WatchExpected is Watch before the response has begun: the endpoint may have stopped listening by then. It does nothing
// if the endpoint's responses have not ended with their connections recently.
func (po *Pool) WatchExpected(addr string) (release func()) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if at, was := po.unframed[addr]; !was || time.Since(at) > unframedTTL {
		return func() {}
	}
	return po.watch(addr)
}

// watch adds a user to the watch of the address. The pool is locked.
func (po *Pool) watch(addr string) (release func()) {
	if po.watches == nil {
		po.watches = map[string]*watch{}
	}
	wa := po.watches[addr]
	if wa == nil {
		wa = &watch{}
		po.watches[addr] = wa
		po.dialWatch(addr, wa)
	}
	wa.users++
	return func() { po.release(addr, wa) }
}

func (po *Pool) release(addr string, wa *watch) {
	po.mu.Lock()
	wa.users--
	var co *Conn
	if wa.users == 0 {
		delete(po.watches, addr)
		co, wa.co = wa.co, nil
	}
	po.mu.Unlock()
	if co != nil {
		co.Interrupt()
		<-wa.stopped
	}
}

// dialWatch connects in the background, and waits for the end of the connection. The pool is locked.
func (po *Pool) dialWatch(addr string, wa *watch) {
	wa.dialing = true
	go func() {
		co, err := po.dial(context.Background(), addr)
		po.mu.Lock()
		wa.dialing = false
		used := err == nil && wa.users > 0
		if used {
			wa.co, wa.stopped = co, make(chan struct{})
		}
		po.mu.Unlock()
		switch {
		case used:
			defer close(wa.stopped)
			po.awaitEnd(wa, co)
		case err == nil:
			po.PutUnused(co)
		}
	}()
}

// awaitEnd waits until the endpoint closes the connection of the watch. One that is interrupted before goes to the pool.
func (po *Pool) awaitEnd(wa *watch, co *Conn) {
	if !co.awaitReadable() {
		co.SetDeadline(time.Time{})
		po.PutUnused(co)
		return
	}
	_, stray := co.peek()
	po.mu.Lock()
	if !stray {
		wa.last, wa.closed = co, time.Now()
	}
	if wa.co == co {
		wa.co = nil
	}
	po.mu.Unlock()
	co.Close()
}

// awaitReadable waits until the connection has bytes or has ended; false if it is interrupted before.
func (co *Conn) awaitReadable() bool {
	sc, ok := co.raw.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return !errors.Is(rerr, syscall.EAGAIN)
	})
	return err == nil
}

// renewWatches replaces the connections of watches that the endpoint has closed.
func (po *Pool) renewWatches() {
	po.mu.Lock()
	defer po.mu.Unlock()
	for addr, at := range po.unframed {
		if time.Since(at) > unframedTTL {
			delete(po.unframed, addr)
		}
	}
	for addr, wa := range po.watches {
		if !wa.dialing && wa.co == nil {
			po.dialWatch(addr, wa)
		}
	}
}
