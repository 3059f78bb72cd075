package relay

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"almondrill/core/migr"
	"almondrill/core/place"
	"almondrill/io/stats"
)

const (
	// copyTimeout bounds a copy. One of 12,000 tokens takes 25 ms, and twice that between zones.
	copyTimeout = time.Second
	// closeTimeout is how long after its answer a source that has stopped may take to close the stream.
	closeTimeout = 500 * time.Millisecond
	// maxTargets bounds how many targets are picked for a migration. The first ones may have reached
	// their limit of copies since the planner listed the excluded engines.
	maxTargets = 3
)

// phase is how far a migration has got.
type phase uint8

const (
	// copying: the first copy is in progress. The stream runs at the source.
	copying phase = iota
	// stopping: the source was asked to stop the stream and to copy the rest.
	stopping
	// stopped: the source has stopped, and the target has everything.
	stopped
	// stoppedAtSource: the source has stopped, but the rest could not be copied.
	stoppedAtSource
	// unanswered: it is not known whether the source stops. The target has the first copy.
	unanswered
	// failed: the stream continues at the source.
	failed
)

// claim is who has to release the target and the handle of a migration.
type claim uint8

const (
	// claimOpen: the migration, unless the request takes them over.
	claimOpen claim = iota
	// claimTaken: the request.
	claimTaken
	// claimDropped: the migration, as the request does not need them.
	claimDropped
)

// migration is one attempt to continue a stream at another engine. It runs concurrently with the
// request's own goroutine, which forwards the stream meanwhile.
type migration struct {
	ru        *runningStream
	re        *Relay
	planner   Planner
	plan      migr.Plan
	requestID string
	// ex is the exchange with the source.
	ex        *exchange
	source    place.Endpoint
	placement place.Request
	began     time.Time
	// ticket is the target's, nil until one is reserved.
	ticket *place.Ticket
	// settled is closed once the phase is final, claimed once the claim is.
	settled, claimed chan struct{}
	// copiedAt is when the first copy was complete.
	copiedAt time.Time

	mu     sync.Mutex // guards all below
	phase  phase
	handle Handle
	owner  claim
	// detail says why the migration failed.
	detail string
}

// run performs the migration up to the point from which the request continues, and cleans up unless
// the request takes over.
func (mi *migration) run() {
	if !mi.reserveTarget() {
		mi.setPhase(failed, "")
		close(mi.settled)
		mi.claim(claimDropped)
		mi.ru.clear()
		mi.planner.Done(time.Now(), mi.plan.Run.ID, "", false)
		return
	}
	mi.re.Stats.CountMigration(stats.MigrationsBegun, mi.plan.Reason)
	mi.copyAndStop()
	close(mi.settled)
	if mi.awaitClaim() != claimTaken {
		mi.abandon()
	}
}

// reserveTarget reserves a slot at another engine and one send of the retry budget.
func (mi *migration) reserveTarget() bool {
	re, pr := mi.re, &mi.placement
	pr.Tried = append(append(pr.Tried, mi.source.ID), mi.planner.Excluded(time.Now(), mi.plan.Run.ID)...)
	for number := range maxTargets {
		now := time.Now()
		tk, rf := re.Placer.Pick(now, pr)
		if rf != nil {
			return false
		}
		// Before Reserve: a spent budget is no failure of the target.
		if number == 0 && !re.Budget.TryExtra(now, pr.Pool) {
			tk.Done(now, place.Neutral)
			return false
		}
		if mi.planner.Reserve(now, mi.plan.Run.ID, tk.Endpoint.ID) {
			mi.ticket = tk
			break
		}
		tk.Done(now, place.Neutral)
		pr.Tried = append(pr.Tried, tk.Endpoint.ID)
	}
	return mi.ticket != nil
}

// copyAndStop copies the stream's memory while the stream runs, then stops the stream and copies the
// rest.
func (mi *migration) copyAndStop() {
	status, first, err := mi.re.copyStream(mi.source.Addr, CopyRequest{RequestID: mi.requestID, To: mi.ticket.Endpoint.Addr})
	switch {
	case err != nil:
		mi.setPhase(failed, "first copy: "+err.Error())
		return
	case status != http.StatusOK || first.Handle == "":
		mi.setHandle(first.Handle)
		mi.setPhase(failed, fmt.Sprintf("first copy: status %d of %s", status, mi.source.ID))
		return
	}
	mi.copiedAt = time.Now()
	mi.setHandle(first.Handle)
	if !mi.setPhase(stopping, "") {
		mi.setPhase(failed, "")
		return
	}
	status, last, err := mi.re.copyStream(mi.source.Addr, CopyRequest{RequestID: mi.requestID, To: mi.ticket.Endpoint.Addr, Last: true})
	mi.setHandle(last.Handle)
	switch {
	case status == http.StatusOK:
		mi.setPhase(stopped, "")
	case status == http.StatusServiceUnavailable && last.Handle != "":
		mi.setPhase(stoppedAtSource, "last copy: the target has no room or cannot be reached")
	case status == http.StatusConflict:
		mi.setPhase(failed, fmt.Sprintf("last copy: status %d of %s", status, mi.source.ID))
	case err != nil:
		mi.setPhase(unanswered, "last copy: "+err.Error())
	default:
		mi.setPhase(unanswered, fmt.Sprintf("last copy: status %d of %s", status, mi.source.ID))
	}
}

// setPhase records how far the migration has got. It returns false if the request does not need it any
// more.
func (mi *migration) setPhase(ph phase, detail string) bool {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	mi.phase = ph
	if detail != "" {
		mi.detail = detail
	}
	return mi.owner != claimDropped
}

func (mi *migration) setHandle(ha Handle) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	if ha != "" {
		mi.handle = ha
	}
}

// stopping reports whether the stream was asked to stop and its end is awaited. Once the request has
// taken over, it is sent on, and a pause is the next endpoint's.
func (mi *migration) stopping() bool {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	return mi.owner == claimOpen && (mi.phase == stopping || mi.phase == stopped || mi.phase == stoppedAtSource)
}

// stopped reports whether the source has answered that the stream stopped.
func (mi *migration) stopped() bool {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	return mi.phase == stopped || mi.phase == stoppedAtSource
}

// claim sets who has to release the target and the handle, unless that is decided.
func (mi *migration) claim(by claim) bool {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	if mi.owner != claimOpen {
		return false
	}
	mi.owner = by
	close(mi.claimed)
	return true
}

// awaitClaim waits until the request has taken the migration over or does not need it, and returns
// which.
func (mi *migration) awaitClaim() claim {
	mi.mu.Lock()
	ph := mi.phase
	mi.mu.Unlock()
	switch ph {
	case failed:
		mi.claim(claimDropped)
	case unanswered:
		timer := time.NewTimer(time.Until(mi.copiedAt.Add(mi.ru.handleTTL)))
		defer timer.Stop()
		select {
		case <-mi.claimed:
		case <-timer.C:
			mi.claim(claimDropped)
		}
	default:
		timer := time.NewTimer(closeTimeout)
		defer timer.Stop()
		select {
		case <-mi.claimed:
		case <-timer.C:
			mi.interrupt()
			<-mi.claimed // the request ends by its deadline at the latest
		}
	}
	mi.mu.Lock()
	defer mi.mu.Unlock()
	return mi.owner
}

// interrupt ends the wait for the source to close the stream. Once the claim is decided, the
// connection may be in use by another request.
func (mi *migration) interrupt() {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	if mi.owner == claimOpen {
		mi.ex.co.Interrupt()
	}
}

// take passes the target and the handle to the request; nil if the stream cannot continue from a copy.
func (mi *migration) take() *continuation {
	mi.mu.Lock()
	ph, ha := mi.phase, mi.handle
	mi.mu.Unlock()
	if ph == failed || !mi.claim(claimTaken) {
		return nil
	}
	co := &continuation{migration: mi, ticket: mi.ticket, handle: ha, sourceKeeps: ph != unanswered}
	if ph == stoppedAtSource {
		mi.ticket.Done(time.Now(), place.Neutral)
		co.returnToSource()
	}
	return co
}

// abandon frees the copy and the target.
func (mi *migration) abandon() {
	mi.mu.Lock()
	ha, detail := mi.handle, mi.detail
	mi.mu.Unlock()
	if ha != "" {
		mi.re.freeHandle(mi.requestID, mi.source, ha)
	}
	mi.ticket.Done(time.Now(), place.Neutral)
	if detail == "" {
		detail = "the stream ended"
	}
	mi.finish(false, "Stays", detail)
}

// finish records how the migration ended.
func (mi *migration) finish(ok bool, outcome, detail string) {
	counter, message := stats.MigrationsFailed, "A stream did not migrate."
	if ok {
		counter, message = stats.MigrationsDone, "A stream migrated."
	}
	mi.planner.Done(time.Now(), mi.plan.Run.ID, mi.ticket.Endpoint.ID, ok)
	mi.ru.clear()
	mi.re.Stats.CountMigration(counter, mi.plan.Reason)
	mi.re.Log.Info(message, zap.String("Request", mi.requestID), zap.String("Endpoint", string(mi.source.ID)),
		zap.String("Target", string(mi.ticket.Endpoint.ID)), zap.String("Reason", string(mi.plan.Reason)), zap.String("Basis", mi.plan.Basis),
		zap.Int64("Tokens", int64(mi.plan.Run.Memory)), zap.Duration("Took", time.Since(mi.began)), zap.String("Outcome", outcome), zap.String("Detail", detail),
		zap.Duration("Age", mi.re.ViewAge()))
}
