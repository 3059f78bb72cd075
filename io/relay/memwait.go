package relay

import (
	"context"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/io/stats"
)

const (
	// memoryWaitFraction is the part of its route's first-byte goal that a request may wait for
	// memory. The rest has to suffice for its prefill, and a refusal still leaves time for a retry.
	memoryWaitFraction = 0.25
	// memoryPollInterval is how often waiting requests are checked for memory that peers' calls
	// have freed, and for callers that have disconnected. What own calls free is given to them at
	// once.
	memoryPollInterval = 10 * time.Millisecond
)

// memoryWait is how long a request waited for memory, and behind how many others.
type memoryWait struct {
	took  time.Duration
	ahead int
}

// fields returns the log fields, none if the request did not wait.
func (mw *memoryWait) fields() []zap.Field {
	if mw == nil {
		return nil
	}
	return []zap.Field{zap.Duration("Waited", mw.took), zap.Int("Ahead", mw.ahead)}
}

// awaitMemory waits until an engine has memory for the request, which was refused for the lack of it.
// It returns the refusal at once if there is no prospect of memory within the time that the request
// may wait. The request is not sent meanwhile, so that a refusal after the wait is true, too.
func (rq *request) awaitMemory(ctx context.Context, pr *place.Request, rf *core.Refusal) (*place.Ticket, *core.Refusal) {
	began := time.Now()
	until := rq.began.Add(time.Duration(memoryWaitFraction * float64(rq.route.FirstByteGoal)))
	if until.After(rq.deadline) {
		until = rq.deadline
	}
	wa := rq.re.Placer.AwaitMemory(began, pr, until)
	if wa == nil {
		return nil, rf
	}
	rq.memoryWait = &memoryWait{ahead: wa.Ahead}
	defer func() { rq.memoryWait.took += time.Since(began) }()
	poll := time.NewTicker(memoryPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-wa.Done:
			if wa.Ticket != nil {
				rq.re.Stats.Add(stats.MemoryWaited, 1)
			}
			return wa.Ticket, wa.Refusal
		case <-ctx.Done():
			rq.re.Placer.CancelWait(time.Now(), wa)
			return nil, rf
		case <-poll.C:
			if rq.connClosed() {
				rq.re.Placer.CancelWait(time.Now(), wa)
				return nil, rq.notRun(core.ReasonCallerGone, "pick", errCallerGone.Error())
			}
			rq.re.Placer.CheckMemory(time.Now(), rq.pool)
		}
	}
}
