package place_test

import (
	"testing"

	"almondrill/core"
	"almondrill/core/builds"
	"almondrill/core/place"
)

// registerVersions registers endpoints that run these versions.
func registerVersions(pl *place.Placer, versions ...core.SoftwareVersion) {
	for ix, version := range versions {
		ep := endpoint(ix)
		ep.Software = version
		pl.Register(begin, ep)
	}
}

// resuming is a request whose stream began at the version.
func resuming(version core.SoftwareVersion, parts []place.Part) *place.Request {
	rq := newRequest(parts)
	rq.Build = builds.Of(pool, version)
	return rq
}

// Guards against a stream that begins at another software version than the one on record: the endpoint's
// registration changes between choice and sending.
func TestVersionChangedAfterChoice(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 1)
	tk := pick(t, pl, begin, newRequest(chat(1, 1)))
	changed := endpoint(0)
	changed.Software = "v2"
	pl.Register(begin, changed)
	if got := tk.BeforeSend(begin); got != core.ReasonDraining {
		t.Errorf("BeforeSend returned %q, want %q", got, core.ReasonDraining)
	}
}

// Guards against a stream that continues at another version: whatever the load, only endpoints of its
// version are picked.
func TestStreamContinuesAtItsBuild(t *testing.T) {
	pl := newPlacer(1)
	registerVersions(pl, "v1", "v2", "v1", "v2", "v2")
	for id := range uint64(40) {
		tk, rf := pl.Pick(begin, resuming("v1", chat(1, id)))
		if rf != nil && rf.Reason != core.ReasonLoadCap {
			t.Fatal(rf)
		}
		if rf == nil && tk.Endpoint.Software != "v1" {
			t.Fatalf("call %d was placed at %s", id, tk.Endpoint.Software)
		}
	}
}

// Guards against endpoints far above their pool's mean: the cap of a stream that continues is based on
// the mean of the pool, not of the endpoints of its version.
func TestResumedStreamsKeepTheCap(t *testing.T) {
	pl := newPlacer(1)
	registerVersions(pl, "v1", "v2", "v2", "v2")
	for id := range uint64(12) {
		pick(t, pl, begin, resuming("v2", chat(1, id)))
	}
	placed := 0
	for id := range uint64(40) {
		if _, rf := pl.Pick(begin, resuming("v1", chat(1, 100+id))); rf == nil {
			placed++
		}
	}
	const mostAtMean = 2*(12+10)/4 + 3
	if placed > mostAtMean {
		t.Errorf("%d calls were placed at one endpoint, want at most %d", placed, mostAtMean)
	}
}

// Guards against a refusal that invites the caller to return in vain: no endpoint of the version is left,
// or only the one that broke off.
func TestVersionIsGone(t *testing.T) {
	gone := draining(endpoint(0))
	gone.Software = "v1"
	for name, ca := range map[string]struct {
		change func(pl *place.Placer)
		tried  []core.EndpointID
		want   core.Reason
	}{
		"it serves":      {func(*place.Placer) {}, nil, ""},
		"it broke off":   {func(*place.Placer) {}, []core.EndpointID{"e00"}, core.ReasonVersionGone},
		"it is draining": {func(pl *place.Placer) { pl.Register(begin, gone) }, nil, core.ReasonVersionGone},
		"it was removed": {func(pl *place.Placer) { pl.Remove("e00") }, nil, core.ReasonVersionGone},
		"it is missing":  {func(pl *place.Placer) { pl.MarkMissing("e00") }, nil, ""},
	} {
		pl := newPlacer(1)
		registerVersions(pl, "v1", "v2", "v2")
		ca.change(pl)
		rq := resuming("v1", chat(1, 1))
		rq.Tried = ca.tried
		_, rf := pl.Pick(begin, rq)
		got := core.Reason("")
		if rf != nil {
			got = rf.Reason
		}
		if got != ca.want {
			t.Errorf("%s: refused with %q, want %q", name, got, ca.want)
		}
		if got == core.ReasonVersionGone && (rf.Outcome != core.NotRun || rf.RetryAfter != 0) {
			t.Errorf("%s: %v with a retry after %s", name, rf, rf.RetryAfter)
		}
	}
}

// Guards against changed placement where a pool has one version: the choices are the same whether or not
// a stream is held to it.
func TestOneVersionChangesNothing(t *testing.T) {
	plain, versioned := newPlacer(3), newPlacer(3)
	register(plain, 9)
	registerVersions(versioned, "v1", "v1", "v1", "v1", "v1", "v1", "v1", "v1", "v1")
	for id := range uint64(300) {
		one, oneRefused := plain.Pick(begin, newRequest(chat(id%5, id)))
		two, twoRefused := versioned.Pick(begin, resuming("v1", chat(id%5, id)))
		if (oneRefused == nil) != (twoRefused == nil) {
			t.Fatalf("call %d: %v, held to its version %v", id, oneRefused, twoRefused)
		}
		if oneRefused != nil {
			continue
		}
		if one.Endpoint.ID != two.Endpoint.ID || one.CostMs != two.CostMs {
			t.Fatalf("call %d: at %s for %f, held to its version at %s for %f", id, one.Endpoint.ID, one.CostMs, two.Endpoint.ID, two.CostMs)
		}
	}
}
