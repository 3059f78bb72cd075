package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondrill/core"
	"almondrill/core/retry"
)

// Half of a service's endpoints fail every request, and each router tries to retry all of them, which
// must not overload the remaining endpoints. In any ten seconds all routers together must stay within
// the fleet's bound, although they do not coordinate.
func TestFleetStaysWithinTheBound(t *testing.T) {
	const (
		span     = 10 * time.Second
		ratio    = 0.2
		slack    = 54.0
		duration = 40 * time.Second
	)
	rapid.Check(t, func(rt *rapid.T) {
		routers := rapid.IntRange(1, 9).Draw(rt, "routers")
		windows := make([]*retry.Window, routers)
		for ix := range windows {
			windows[ix] = &retry.Window{Ratio: ratio, Slack: slack, Span: span, Routers: func() int { return routers }}
		}
		type event struct {
			at    time.Duration
			extra bool
		}
		var events []event
		rate := rapid.IntRange(1, 200).Draw(rt, "rate")
		burst := time.Duration(rapid.IntRange(0, 30).Draw(rt, "burst")) * time.Second
		begin := time.Unix(1_700_000_000, 0)
		for at := time.Duration(0); at < duration; at += time.Second / time.Duration(rate) {
			wi := windows[len(events)%routers]
			now := begin.Add(at)
			if at < burst || at > burst+5*time.Second {
				wi.RecordFirst(now, "pool")
				events = append(events, event{at, false})
			}
			if wi.TryExtra(now, "pool") {
				events = append(events, event{at, true})
			}
		}
		for ix, from := range events {
			var first, extra float64
			for _, ev := range events[ix:] {
				if ev.at-from.at > span {
					break
				}
				if ev.extra {
					extra++
				} else {
					first++
				}
			}
			// Requests of the span before also count.
			for _, ev := range events[:ix] {
				if from.at-ev.at <= span && !ev.extra {
					first++
				}
			}
			if extra > ratio*first+slack {
				rt.Fatalf("%g further attempts for %g requests within the span from %s", extra, first, from.at)
			}
		}
	})
}

func TestBoundsArePerPool(t *testing.T) {
	wi := &retry.Window{Slack: 4, Span: time.Second, Routers: func() int { return 1 }}
	now := time.Unix(1_700_000_000, 0)
	taken := func(po core.PoolID) int {
		count := 0
		for wi.TryExtra(now, po) {
			count++
		}
		return count
	}
	if one, two := taken("one"), taken("two"); one != 2 || two != 2 {
		t.Errorf("further attempts of two pools: %d and %d, want half of the slack of 4 each", one, two)
	}
	now = now.Add(2 * time.Second)
	if again := taken("one"); again != 2 {
		t.Errorf("further attempts after the span: %d, want 2", again)
	}
}
