package relay

import (
	"cmp"
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"almondrill/core/ledger"
	"almondrill/core/migr"
	"almondrill/core/place"
	"almondrill/core/route"
	"almondrill/io/events"
)

const (
	// updateInterval is how often the planner gets the figures of a stream. Events arrive several
	// times as often.
	updateInterval = 100 * time.Millisecond
	// gapWeight is the weight of the latest interval in the time between events.
	gapWeight = 0.5
	// keptBodiesShare is the part of Relay.Memory up to which the bodies of streams are kept for a
	// migration. The rest is for requests that need it to be served at all.
	keptBodiesShare = 0.5
	// defaultHandleTTL applies to pools that do not declare how long an unused copy is kept.
	defaultHandleTTL = 5 * time.Second
)

// runningStream is a stream that may continue at another engine. Its methods may be called for nil,
// which is a stream that may not.
type runningStream struct {
	rq        *request
	planner   Planner
	id        uint64
	handleTTL time.Duration

	// The fields up to mu are used by the request's own goroutine only. listed is set while the
	// planner knows the stream. fixed is set if the stream cannot continue elsewhere: its body was
	// released, or its events are not numbered in sequence.
	listed, fixed bool
	// lastEvent is the number of the last event forwarded, 0 if there is none.
	lastEvent uint64
	// windowFrom, windowEvents and blocked are the begin of the current update interval, the events
	// since and how much of it was spent on writing to the caller. gap is the time between events.
	windowFrom   time.Time
	windowEvents int
	blocked, gap time.Duration

	mu sync.Mutex // guards all below
	// ex is the exchange that is being forwarded, nil if there is none. placement are the criteria for
	// another engine.
	ex        *exchange
	placement place.Request
	// migration is the one in progress, nil if there is none.
	migration *migration
}

// newRunningStream returns the stream of the request, nil if it may not continue at another engine.
func (rq *request) newRunningStream() *runningStream {
	planner := rq.re.migrations.currentPlanner()
	po := rq.table.Pool(rq.pool)
	if planner == nil || rq.route.Kind != route.Stream || po == nil || !po.Engine || !po.Moves {
		return nil
	}
	return &runningStream{rq: rq, planner: planner, handleTTL: cmp.Or(po.HandleTTL, defaultHandleTTL)}
}

// end removes the stream from the planner.
func (ru *runningStream) end() {
	if ru != nil && ru.listed {
		ru.rq.re.migrations.remove(ru)
		ru.planner.Remove(time.Now(), ru.id)
		ru.listed = false
	}
}

// keepsBody reports whether the request's body is kept to send the request to another engine.
func (ru *runningStream) keepsBody() bool {
	if ru == nil || ru.fixed {
		return false
	}
	me := ru.rq.re.Memory
	most := me.Most(ledger.Buffers)
	ru.fixed = most > 0 && float64(me.Held(ledger.Buffers)) > keptBodiesShare*float64(most)
	return !ru.fixed
}

// attach makes ex the exchange that is being forwarded. A response without framing is not used: its
// end cannot be distinguished from one that was cut.
func (ru *runningStream) attach(ex *exchange) {
	if ru == nil || ru.fixed || framingOf(ex.rs) == byClose {
		return
	}
	placement := *ru.rq.placementRequest()
	placement.Tried = slices.Clone(placement.Tried)
	placement.HealthyOnly, placement.WarmOnly = true, true
	placement.MigrateFrom, placement.Build = ex.tk.Endpoint.ID, ex.tk.Build
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.ex, ru.placement = ex, placement
}

// detach ends what attach began. A migration that was not taken over is abandoned.
func (ru *runningStream) detach() {
	if ru == nil {
		return
	}
	ru.mu.Lock()
	ru.ex = nil
	mi := ru.migration
	ru.mu.Unlock()
	if mi != nil {
		mi.claim(claimDropped)
	}
}

// begin begins a migration, in the background. It returns false if the stream is not being forwarded
// from the endpoint that the plan names.
func (ru *runningStream) begin(plan migr.Plan) bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ex := ru.ex
	if ex == nil || ru.migration != nil || ex.tk.Endpoint.ID != plan.Run.Endpoint {
		return false
	}
	ru.migration = &migration{
		ru: ru, re: ru.rq.re, planner: ru.planner, plan: plan, requestID: ru.rq.id, ex: ex, source: ex.tk.Endpoint,
		placement: ru.placement, phase: copying, began: time.Now(), settled: make(chan struct{}), claimed: make(chan struct{}),
	}
	go ru.migration.run()
	return true
}

// clear ends the migration in progress.
func (ru *runningStream) clear() {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.migration = nil
}

func (ru *runningStream) currentMigration() *migration {
	if ru == nil {
		return nil
	}
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.migration
}

// stopping reports whether the stream was asked to stop and the response is awaited, or it has stopped.
func (ru *runningStream) stopping() bool {
	mi := ru.currentMigration()
	return mi != nil && mi.stopping()
}

// takeOver returns how the stream continues after its exchange has failed with err; nil if there is no
// migration by which it can. The source must have answered that it stopped, or have closed the stream:
// otherwise the request would run at two engines.
func (ru *runningStream) takeOver(ctx context.Context, err error) *continuation {
	mi := ru.currentMigration()
	if mi == nil || ru.fixed || ctx.Err() != nil || !closedByPeer(err) && !mi.stopped() {
		return nil
	}
	select {
	case <-mi.settled:
	case <-ctx.Done():
		return nil
	}
	return mi.take()
}

// closedByPeer reports whether a read failed because the other side has closed the connection.
func closedByPeer(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
}

// errEventGap is returned if the target of a migration omits an event.
var errEventGap = errors.New("the target of a migration continues after a later event")

// sequence checks the numbers of complete events and returns those to forward. Where the stream
// continues from a copy, events that were forwarded before are dropped, and a missing one is an error.
func (ru *runningStream) sequence(data []byte, continued bool) ([]byte, error) {
	if ru == nil || ru.fixed && !continued {
		return data, nil
	}
	kept := data[:0]
	for rest := data; len(rest) > 0; {
		var event []byte
		event, rest = events.Cut(rest)
		number, err := strconv.ParseUint(events.LastID(event), 10, 64)
		numbered := err == nil && number > 0
		switch {
		case numbered && (ru.lastEvent == 0 || number == ru.lastEvent+1):
			ru.lastEvent = number
			ru.windowEvents++
		case continued && numbered && number <= ru.lastEvent:
			continue
		case continued && numbered:
			return kept, errEventGap
		case !events.IsComment(event):
			ru.fixed = true
			ru.detach() // the stream must not be stopped any more
		}
		kept = append(kept, event...)
	}
	return kept, nil
}

// record updates the planner's figures of the stream after events were forwarded. now is when they
// arrived.
func (ru *runningStream) record(now time.Time) {
	if ru == nil {
		return
	}
	ru.blocked += time.Since(now)
	if ru.windowFrom.IsZero() {
		ru.windowFrom, ru.windowEvents, ru.blocked = now, 0, 0
	}
	elapsed := now.Sub(ru.windowFrom)
	if ru.fixed {
		ru.end()
		return
	}
	if ru.lastEvent == 0 || ru.listed && elapsed < updateInterval {
		return
	}
	if ru.windowEvents > 0 {
		gap := max(0, elapsed-ru.blocked) / time.Duration(ru.windowEvents)
		if ru.gap > 0 {
			gap = ru.gap + time.Duration(gapWeight*float64(gap-ru.gap))
		}
		ru.gap = gap
	}
	ru.windowFrom, ru.windowEvents, ru.blocked = now, 0, 0
	ru.report(now)
}

// report lists the stream with the planner, or updates it there.
func (ru *runningStream) report(now time.Time) {
	rq := ru.rq
	produced := rq.re.Output.TokensOf(rq.pool, int(ru.lastEvent))
	ru.mu.Lock()
	ru.placement.Produced = produced
	ru.mu.Unlock()
	run := migr.Run{
		Endpoint: rq.ticket.Endpoint.ID, Memory: rq.ticket.PromptTokens + produced, Left: rq.ticket.ExpectedLeft(now, produced),
		Deadline: rq.deadline, GapGoal: rq.route.GapGoal, EventGap: ru.gap,
	}
	if ru.listed {
		run.ID = ru.id
		ru.planner.Update(now, run)
		return
	}
	ru.listed = true
	rq.re.migrations.add(ru)
	run.ID = ru.id
	ru.planner.Add(now, run)
}
