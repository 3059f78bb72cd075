package place_test

import (
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
)

// plainRequest returns a request to a plain service.
func plainRequest() *place.Request { return &place.Request{Pool: pool, MaxConns: 200} }

// Guards against calls to an endpoint that fails all of them while the other is busy: of two
// endpoints of a plain service behind 26 routers, one closes connections early, and the other is
// fully loaded and responds after 120 ms.
func TestEndpointFailingEveryCallIsSkipped(t *testing.T) {
	const routers, answerSteps = 26, 12
	re := newReplay(routers, 2)
	for _, pl := range re.routers {
		for ix := range 2 {
			ep := endpoint(ix)
			ep.Slots = 6
			pl.Register(begin, ep)
		}
	}
	ra := newRand(4)
	failed, served := 0, 0
	for re.step < 500 { // steps of 10 ms
		for range 1 + ra.IntN(3) {
			tk, rf := re.routers[ra.IntN(routers)].Pick(re.now(), plainRequest())
			switch {
			case rf != nil:
			case tk.Endpoint.ID == "e00":
				tk.RecordActivity(re.now())
				tk.Done(re.now(), place.Failed)
				failed++
			default:
				at := re.step + answerSteps
				re.ending[at] = append(re.ending[at], tk)
				served++
			}
		}
		re.tick()
	}
	// Two before each router knows, and one trial per second for each.
	if most := routers * (2 + 5); failed > most {
		t.Errorf("the endpoint failed %d requests, want at most the %d that are needed to detect it; the other served %d", failed, most, served)
	}
	if served < 700 {
		t.Errorf("%d requests served in 5 s", served)
	}
}

// Guards against an endpoint that is still skipped after it has recovered.
func TestEndpointThatFailedEveryCallIsRetried(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 2)
	for failed := 0; failed < 2; {
		tk, rf := pl.Pick(begin, plainRequest())
		if rf != nil {
			t.Fatal(rf)
		}
		if tk.Endpoint.ID == "e00" {
			tk.Done(begin, place.Failed)
			failed++
		} // the others stay in progress, so that e00 is chosen again
	}
	seen := map[core.EndpointID]bool{}
	for step := range 400 {
		now := begin.Add(time.Second + time.Duration(step)*10*time.Millisecond)
		tk, rf := pl.Pick(now, plainRequest())
		if rf != nil {
			t.Fatal(rf)
		}
		seen[tk.Endpoint.ID] = true
		tk.RecordActivity(now)
		tk.Done(now, place.Served)
	}
	if !seen["e00"] {
		t.Error("the recovered endpoint gets no calls for 4 s")
	}
}
