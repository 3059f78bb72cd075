package retry_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"almondrill/core/retry"
)

// returning simulates requests that are refused within a second, after which there is room for
// perSecond of them, and returns the share that is refused twice. A request waits for up to 60 ms.
func returning(delays []time.Duration, refusedAt []time.Duration, perSecond float64) float64 {
	const longestWait = 60 * time.Millisecond
	var arrivals []time.Duration
	for ix, delay := range delays {
		arrivals = append(arrivals, refusedAt[ix]+delay)
	}
	slices.Sort(arrivals)
	each := time.Duration(float64(time.Second) / perSecond)
	var free time.Duration
	refused := 0
	for _, at := range arrivals {
		if free-at > longestWait {
			refused++
			continue
		}
		free = max(free, at) + each
	}
	return float64(refused) / float64(len(arrivals))
}

// 1,000 requests are refused in a second. If all are told about the same delay, most meet each other
// again. With reservations they must be told times in the order of their refusals, one for each place
// that becomes free, and hardly any is refused twice.
func TestReturnsAreSpreadInOrder(t *testing.T) {
	const (
		count     = 1000
		perSecond = 500.0
		deadline  = 10 * time.Second
	)
	begin := time.Unix(1_700_000_000, 0)
	rnd := rand.New(rand.NewPCG(1, 1))
	var rt retry.Returns
	var reserved, jittered, refusedAt []time.Duration
	last := time.Duration(0)
	for ix := range count {
		at := time.Duration(ix) * time.Second / count
		rf := retry.Refused{Customer: 1, PerSecond: perSecond, Call: 30 * time.Millisecond, Deadline: begin.Add(at + deadline)}
		delay, ok := rt.Reserve(begin.Add(at), rf)
		if !ok || at+delay <= last || delay < 250*time.Millisecond {
			t.Fatalf("request %d: told to return at %s after one at %s (%t)", ix, at+delay, last, ok)
		}
		last = at + delay
		refusedAt = append(refusedAt, at)
		reserved = append(reserved, delay)
		jittered = append(jittered, time.Duration((0.6+0.8*rnd.Float64())*float64(400*time.Millisecond)))
	}
	with, without := returning(reserved, refusedAt, perSecond), returning(jittered, refusedAt, perSecond)
	t.Logf("refused twice: %.3f with reservations, %.3f with one delay and jitter", with, without)
	if with > 0.01 || without < 0.2 {
		t.Errorf("refused twice: %.3f with reservations, %.3f with one delay and jitter", with, without)
	}
}

// No caller may be told a time at which it could not be served any more, and one customer's returns
// must not delay another's.
func TestReturnsWithinTheDeadline(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	var rt retry.Returns
	rf := retry.Refused{Customer: 1, PerSecond: 10, Call: 30 * time.Millisecond, Deadline: begin.Add(2 * time.Second)}
	reserved := 0
	for range 100 {
		delay, ok := rt.Reserve(begin, rf)
		if delay < 250*time.Millisecond || delay > 1970*time.Millisecond {
			t.Fatalf("told to return after %s", delay)
		}
		if ok {
			reserved++
		}
	}
	if reserved < 17 || reserved > 18 {
		t.Errorf("%d reservations at 10 per second within 1.72 s", reserved)
	}
	rf.Customer = 2
	if delay, ok := rt.Reserve(begin, rf); !ok || delay != 250*time.Millisecond {
		t.Errorf("the first return of another customer: %s (%t)", delay, ok)
	}
	rf.Deadline = begin.Add(200 * time.Millisecond)
	if delay, ok := rt.Reserve(begin, rf); ok || delay != 0 {
		t.Errorf("told to return after %s (%t) although there is no time left", delay, ok)
	}
}

// Guards against callers that are told the latest possible time for minutes, because one refusal at a
// low rate reserved a time far ahead.
func TestLowRateDoesNotDelayLaterReturns(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	var rt retry.Returns
	rt.Reserve(begin, retry.Refused{Customer: 1, PerSecond: 0.004})
	later := begin.Add(10 * time.Second)
	if delay, ok := rt.Reserve(later, retry.Refused{Customer: 1, PerSecond: 100}); !ok || delay != 250*time.Millisecond {
		t.Errorf("told to return after %s (%t), want 250 ms", delay, ok)
	}
}
