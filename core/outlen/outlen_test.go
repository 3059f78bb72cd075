package outlen_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"almondrill/core"
	"almondrill/core/outlen"
)

const eventTokens = 12

// learn records responses whose lengths vary around a mean, up to a maximum of three times that.
// Hints have a relative error.
func learn(es *outlen.Estimator, ra *rand.Rand, route string, mean, hintError float64, count int) {
	for range count {
		output := math.Ceil(mean * min(3, math.Exp(0.6*ra.NormFloat64()-0.18)))
		rq := outlen.Request{Pool: "p", Max: core.Tokens(3 * mean), Hint: core.Tokens(output * math.Exp(hintError*ra.NormFloat64()))}
		es.Record(route, rq, es.Expect(route, rq), int(math.Ceil(output/eventTokens)))
	}
}

// Guards against memory reserved for lengths that the route's responses do not have: the maximum is
// three times the mean, and hints are good on one route and useless on another.
func TestExpectWeighsWhatARouteHasShown(t *testing.T) {
	es, ra := &outlen.Estimator{}, rand.New(rand.NewPCG(1, 1))
	learn(es, ra, "good", 400, 0.1, 400)
	learn(es, ra, "bad", 400, 2.5, 400)
	for _, tc := range []struct {
		route     string
		hint      core.Tokens
		low, high core.Tokens
	}{{"good", 800, 720, 880}, {"good", 200, 170, 240}, {"bad", 40, 250, 500}, {"bad", 1200, 250, 700}} {
		got := es.Expect(tc.route, outlen.Request{Pool: "p", Max: 1200, Hint: tc.hint})
		if got < tc.low || got > tc.high {
			t.Errorf("%s with hint %d: %d tokens are expected, want %d to %d", tc.route, tc.hint, got, tc.low, tc.high)
		}
	}
	if got := es.TokensOf("p", 10); got < 115 || got > 135 {
		t.Errorf("10 events are taken for %d tokens, want some 120", got)
	}
	if got := es.Expect("good", outlen.Request{Pool: "p", Max: 5, Hint: 800}); got != 5 {
		t.Errorf("%d tokens are expected with a maximum of 5", got)
	}
	if p50, p90 := es.ErrorPercent(0.5), es.ErrorPercent(0.9); p50 < 10 || p50 > 80 || p90 < p50 {
		t.Errorf("errors of %d and %d percent", p50, p90)
	}
}

// Guards against estimates of zero tokens, and against state that grows with the routes.
func TestUnknownRoutes(t *testing.T) {
	es := &outlen.Estimator{}
	for ix := range 2000 {
		name := fmt.Sprint(ix)
		if got := es.Expect(name, outlen.Request{Pool: core.PoolID(name)}); got < 1 {
			t.Fatalf("%d tokens are expected of an unknown route", got)
		}
		if got := es.Expect(name, outlen.Request{Pool: core.PoolID(name), Hint: 300, Max: 900}); got < 300 || got > 900 {
			t.Fatalf("%d tokens are expected of an unknown route with hint 300 and maximum 900", got)
		}
	}
	if got := es.Record("r", outlen.Request{}, 10, 0); got != 0 {
		t.Errorf("a response without events is taken for %d tokens", got)
	}
}

// Guards against a single response with a wrong maximum that makes all lengths of a pool appear much
// shorter than they are, so that engines' memory is overfilled.
func TestWrongMaximumHasLittleEffect(t *testing.T) {
	var es outlen.Estimator
	right := outlen.Request{Pool: "pool", Max: 288}
	for range 100 {
		es.Record("route", right, es.Expect("route", right), 24)
	}
	before := es.Expect("route", right)
	es.Record("route", outlen.Request{Pool: "pool", Max: 8}, 8, 24)
	if after := es.Expect("route", right); after < before/2 {
		t.Errorf("%d tokens are expected after one response with a wrong maximum, %d before", after, before)
	}
}
