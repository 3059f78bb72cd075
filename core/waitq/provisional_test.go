package waitq_test

import (
	"runtime"
	"testing"
	"time"

	"almondrill/core/demand"
)

// Guards against a surge that is sent at once until the first level arrives, against a provisional
// limit on customers within their share or while slots are free, and against one that never ends
// although no owner publishes.
func TestProvisionalLimitBeforeTheFirstLevel(t *testing.T) {
	const routers, surging = 100, 1
	calls := 0
	qu := newQueue(routers)
	qu.PoolCalls = func() int { return calls }
	now := epoch
	// offer lets the surging customer send 30 requests per second and each of three others one, and
	// returns the admitted parts. The router's equal part of the capacity is 8 calls per second.
	offer := func(span time.Duration) (own, others float64) {
		var sent, admitted [2]float64
		for ms := range int(span / time.Millisecond) {
			now = now.Add(time.Millisecond)
			var cu demand.CustomerHash
			switch {
			case ms%33 == 0:
				cu = surging
			case ms%333 == 1:
				cu = demand.CustomerHash(2 + ms/333%3)
			default:
				qu.Tick(now)
				continue
			}
			kind := min(1, int(cu)-surging)
			sent[kind]++
			if de := qu.Offer(now, offerAt(now, cu, 0)); de.Admitted {
				admitted[kind]++
				qu.Done(now, 30*time.Millisecond, true)
			}
		}
		return admitted[0] / sent[0], admitted[1] / sent[1]
	}
	if own, others := offer(2 * time.Second); own < 1 || others < 1 {
		t.Errorf("while slots are free, %.2f of the surging customer's and %.2f of the others' requests were admitted", own, others)
	}
	calls = 36
	if own, others := offer(2 * time.Second); own > 0.3 || own == 0 || others < 1 {
		t.Errorf("before the first level, %.2f of the surging customer's and %.2f of the others' requests were admitted", own, others)
	}
	offer(time.Second)
	if own, _ := offer(2 * time.Second); own < 1 {
		t.Errorf("without any level for seconds, %.2f of the surging customer's requests were admitted", own)
	}
}

// Guards against a provisional limit that admits a surge of a lower rank before urgent requests.
func TestProvisionalLimitByRank(t *testing.T) {
	calls := 0
	qu := newQueue(100)
	qu.PoolCalls = func() int { return calls }
	now := epoch
	var sent, admitted [2]int
	for step := range 200 {
		now = now.Add(20 * time.Millisecond)
		if step == 100 {
			calls = 36
			sent, admitted = [2]int{}, [2]int{}
		}
		// Four urgent requests per second are within the router's part of the capacity, 25 others are not.
		rank := uint8(step % 2)
		if rank == 0 && step%12 > 0 {
			continue
		}
		sent[rank]++
		if de := qu.Offer(now, offerAt(now, demand.CustomerHash(rank), rank)); de.Admitted {
			admitted[rank]++
			qu.Done(now, 30*time.Millisecond, true)
		}
		qu.Tick(now)
	}
	if admitted[0] < sent[0] || 3*admitted[1] > sent[1] {
		t.Errorf("%d of %d urgent and %d of %d other requests admitted", admitted[0], sent[0], admitted[1], sent[1])
	}
}

// Guards against a burst of starts at every router when a limit begins again: the tokens that gathered
// between two overloads would be used at once, by hundreds of routers.
func TestTokensDoNotGatherBetweenOverloads(t *testing.T) {
	const routers, customer = 100, 1
	calls := 0
	qu := newQueue(routers)
	qu.PoolCalls = func() int { return calls }
	now := epoch
	// offer lets a surging customer send 30 requests per second and returns how many are admitted.
	offer := func(span time.Duration) (admitted int) {
		for until := now.Add(span); now.Before(until); {
			now = now.Add(33 * time.Millisecond)
			if de := qu.Offer(now, offerAt(now, demand.CustomerHash(customer), 0)); de.Admitted {
				admitted++
				qu.Done(now, 30*time.Millisecond, true)
			}
			qu.Tick(now)
		}
		return admitted
	}
	surge := func() int {
		calls = 0
		offer(2 * time.Second)
		calls = 36
		return offer(300 * time.Millisecond)
	}
	first := surge()
	now = now.Add(time.Hour)
	if second := surge(); second > first {
		t.Errorf("%d requests admitted at the begin of the second overload, want at most the %d of the first", second, first)
	}
}

// Guards against requests that each compare all customers before the first level: with thousands of
// them, that takes longer than the requests themselves. The memory that it takes is counted.
func TestProvisionalLimitAmongManyCustomers(t *testing.T) {
	const customers, requests, mostBytes = 2000, 1000, 4096
	calls := 0
	qu := newQueue(100)
	qu.PoolCalls = func() int { return calls }
	now := epoch
	offer := func(cu int) {
		now = now.Add(100 * time.Microsecond)
		if de := qu.Offer(now, offerAt(now, demand.CustomerHash(cu), 0)); de.Admitted {
			qu.Done(now, 30*time.Millisecond, true)
		}
	}
	for cu := range customers {
		offer(cu)
	}
	calls = 36
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for cu := range requests {
		offer(cu)
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / requests; each > mostBytes {
		t.Errorf("%d bytes allocated per request, want at most %d", each, mostBytes)
	}
}
