package place_test

import (
	"testing"

	"almondrill/core/place"
)

// manyRouters is a router of 420 before two endpoints that take 300 connections from all.
func manyRouters(engine bool) (*place.Placer, *place.Request) {
	pl := newPlacer(420)
	register(pl, 2)
	return pl, &place.Request{Pool: pool, Engine: engine, MaxConns: 300}
}

// A popular customer's callers all come through one of 420 routers. The endpoints take 300
// connections and have a few calls, but a router's even share of them is less than one:
// held to it, the router refuses callers while the endpoints are idle.
func TestShareBelowOneCall(t *testing.T) {
	for _, engine := range []bool{true, false} {
		pl, rq := manyRouters(engine)
		for ix := range 6 {
			if _, rf := pl.Pick(begin, rq); rf != nil {
				t.Errorf("engine %v: call %d was refused: %v", engine, ix, rf)
			}
		}
	}
}

// Half of an endpoint's connections are in use by other routers. One that has its share does
// not take more, or the endpoint resets connections with requests on them.
func TestShareHoldsWhereConnectionsAreFew(t *testing.T) {
	pl, rq := manyRouters(false)
	for ix := range 2 {
		pl.ApplyCount(begin, place.EndpointHash(endpoint(ix).ID, 0), 150)
	}
	for ix := range 2 {
		if _, rf := pl.Pick(begin, rq); rf != nil {
			t.Fatalf("call %d within the share was refused: %v", ix, rf)
		}
	}
	if _, rf := pl.Pick(begin, rq); rf == nil {
		t.Error("a call beyond the share was placed on an endpoint whose connections are in use by half")
	}
}
