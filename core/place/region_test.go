package place_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondrill/core"
	"almondrill/core/place"
)

var regions = map[core.Zone]core.Region{"a": "north", "b": "south", "c": "west"}

// Guards against calls to, and contexts from, endpoints outside a request's home regions, whichever
// endpoints are evacuated, draining, full, tried before, or have the prompt cached.
func TestCallsStayInTheirHomeRegions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pl := newPlacer(2)
		pl.Regions = regions
		zones := []core.Zone{"a", "b", "c", "unknown"}
		addrs := map[string]core.Region{}
		for ix := range 12 {
			ep := inZone(ix, zones[ix%4])
			ep.Slots = rapid.IntRange(1, 8).Draw(rt, "slots")
			ep.Draining = rapid.IntRange(0, 5).Draw(rt, "draining") == 0
			addrs[ep.Addr] = regions[ep.Zone]
			pl.Register(begin, ep)
		}
		now := begin.Add(time.Minute)
		for range rapid.IntRange(1, 60).Draw(rt, "calls") {
			if rapid.IntRange(0, 9).Draw(rt, "evacuate") == 0 {
				zone := rapid.SampledFrom(zones).Draw(rt, "zone")
				if !pl.Evacuate(now, zone, now) {
					pl.Restore(now, zone)
				}
			}
			rq := newRequest(chat(1, rapid.Uint64Range(0, 5).Draw(rt, "chat")))
			rq.RegionBound = rapid.Bool().Draw(rt, "bound")
			rq.HomeRegions = rapid.SliceOfDistinct(rapid.SampledFrom([]core.Region{"north", "south", "west", "none"}), rapid.ID[core.Region]).Draw(rt, "homes")
			tk, rf := pl.Pick(now, rq)
			if rf != nil {
				continue
			}
			if rq.RegionBound && !containsRegion(rq.HomeRegions, regions[tk.Endpoint.Zone]) {
				rt.Fatalf("home regions %v, placed in zone %s", rq.HomeRegions, tk.Endpoint.Zone)
			}
			if rq.RegionBound && tk.FetchFrom != "" && !containsRegion(rq.HomeRegions, addrs[tk.FetchFrom]) {
				rt.Fatalf("home regions %v, fetched from %s", rq.HomeRegions, tk.FetchFrom)
			}
			if rapid.Bool().Draw(rt, "end") {
				tk.Done(now, place.Served)
			}
		}
	})
}

func containsRegion(homes []core.Region, region core.Region) bool {
	for _, home := range homes {
		if home == region && region != "" {
			return true
		}
	}
	return false
}

// Guards against a request that waits or goes elsewhere when the only home region of its route is
// lost.
func TestRefusalNamesTheLostHomeRegion(t *testing.T) {
	pl := newPlacer(1)
	pl.Regions = regions
	pl.Register(begin, inZone(0, "a"))
	pl.Register(begin, inZone(1, "b"))
	rq := newRequest(chat(1, 1))
	rq.HomeRegions, rq.RegionBound = []core.Region{"south"}, true
	if tk := pick(t, pl, begin, rq); tk.Endpoint.Zone != "b" {
		t.Errorf("placed in zone %s", tk.Endpoint.Zone)
	}
	pl.Remove("e01")
	if _, rf := pl.Pick(begin, rq); rf == nil || rf.Reason != core.ReasonNoHome || rf.Outcome != core.NotRun {
		t.Errorf("refused with %v", rf)
	}
}
