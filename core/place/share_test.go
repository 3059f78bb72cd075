package place_test

import (
	"testing"

	"almondrill/core/place"
)

// manyRouters returns one router of 420 with two endpoints that accept 300 connections from all.
func manyRouters(engine bool) (*place.Placer, *place.Request) {
	pl := newPlacer(420)
	register(pl, 2)
	return pl, &place.Request{Pool: pool, Engine: engine, MaxConns: 300}
}

// Guards against refusals while the endpoints are idle: a popular customer's calls all come through
// one of 420 routers. The endpoints accept 300 connections, so that the router's even share of them
// is less than one.
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

// Guards against exceeding an endpoint's connections: half of them are in use by other routers. If
// a router took more than its share, the endpoint would reset connections that carry requests.
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
		t.Error("a call beyond the share was placed on an endpoint with half of its connections in use")
	}
}

// Guards against refusals at one of 30 routers that gets nearly all requests, while the others have none: its
// even share of an endpoint's connections is 10, and the endpoints have 48 slots.
func TestShareFollowsDemand(t *testing.T) {
	for _, engine := range []bool{true, false} {
		pl := newPlacer(30)
		register(pl, 2)
		rq := &place.Request{Pool: pool, Engine: engine, MaxConns: 300}
		for ix := range 2 * 40 {
			if _, rf := pl.Pick(begin, rq); rf != nil {
				t.Fatalf("engine %v: call %d was refused: %v", engine, ix, rf)
			}
		}
	}
}
