package place_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondrill/core"
	"almondrill/core/place"
)

func inZone(ix int, zone core.Zone) place.Endpoint {
	ep := endpoint(ix)
	ep.Zone = zone
	return ep
}

// Guards against calls to an evacuated zone, whatever the order in which evacuations,
// registrations, removals and restarts become known.
func TestEvacuatedZoneGetsNoCallsInAnyOrder(t *testing.T) {
	zones := []core.Zone{"a", "b", "c"}
	rapid.Check(t, func(rt *rapid.T) {
		pl := newPlacer(3)
		register(pl, 1)
		evacuated := map[core.Zone]bool{}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			zone := rapid.SampledFrom(zones).Draw(rt, "zone")
			ix := rapid.IntRange(0, 8).Draw(rt, "endpoint")
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0, 1:
				if evacuated[zone] = !evacuated[zone]; evacuated[zone] {
					pl.Evacuate(begin, zone, begin)
				} else {
					pl.Restore(begin, zone)
				}
			case 2:
				ep := inZone(ix, zone)
				ep.Incarnation = core.Incarnation(rapid.IntRange(1, 3).Draw(rt, "start"))
				pl.Register(begin, ep)
			case 3:
				pl.Remove(endpoint(ix).ID)
			case 4:
				pl.MarkMissing(endpoint(ix).ID)
			}
			tk, rf := pl.Pick(begin, newRequest(chat(1, uint64(ix))))
			if rf != nil {
				if rf.Outcome != core.NotRun || rf.RetryAfter <= 0 {
					rt.Fatalf("refused as %s, to retry after %s", rf.Outcome, rf.RetryAfter)
				}
				continue
			}
			if evacuated[tk.Endpoint.Zone] {
				rt.Fatalf("a call was placed on %s in the evacuated zone %s", tk.Endpoint.ID, tk.Endpoint.Zone)
			}
			tk.Done(begin, place.Served)
		}
	})
}

// Guards against a refusal without the reason: the pool's only endpoints are evacuated.
func TestRefusalNamesTheEvacuation(t *testing.T) {
	pl := newPlacer(1)
	pl.Register(begin, inZone(0, "a"))
	pl.Evacuate(begin, "a", begin)
	if _, rf := pl.Pick(begin, newRequest(chat(1, 1))); rf == nil || rf.Reason != core.ReasonEvacuated {
		t.Errorf("refused with %v", rf)
	}
	pl.Register(begin, draining(inZone(0, "a")))
	if _, rf := pl.Pick(begin, newRequest(chat(1, 1))); rf == nil || rf.Reason != core.ReasonNoEndpoint {
		t.Errorf("with draining endpoints only, refused with %v", rf)
	}
}

// Guards against sending a call after a stale choice: between choice and sending, the zone is
// evacuated, or the endpoint starts draining or is removed.
func TestBeforeSendRejectsAStaleChoice(t *testing.T) {
	for name, on := range map[string]struct {
		change func(pl *place.Placer)
		want   core.Reason
	}{
		"nothing changes":           {func(*place.Placer) {}, ""},
		"its zone is evacuated":     {func(pl *place.Placer) { pl.Evacuate(begin, "a", begin) }, core.ReasonEvacuated},
		"another zone is evacuated": {func(pl *place.Placer) { pl.Evacuate(begin, "b", begin) }, ""},
		"it is draining":            {func(pl *place.Placer) { pl.Register(begin, draining(endpoint(0))) }, core.ReasonDraining},
		"it was removed":            {func(pl *place.Placer) { pl.Remove("e00") }, core.ReasonDraining},
		"its registration expired":  {func(pl *place.Placer) { pl.MarkMissing("e00") }, ""},
		"it restarted": {func(pl *place.Placer) {
			pl.Register(begin, withIncarnation(0, 7))
		}, core.ReasonDraining},
	} {
		pl := newPlacer(1)
		register(pl, 1)
		tk := pick(t, pl, begin, newRequest(chat(1, 1)))
		on.change(pl)
		if got := tk.BeforeSend(begin); got != on.want {
			t.Errorf("%s: BeforeSend returned %q, want %q", name, got, on.want)
		}
	}
}

// Guards against prefilling prompts again in the remaining zones: the engines of the evacuated zone
// still have them cached, and transfer them.
func TestEvacuatedEngineTransfersPrompts(t *testing.T) {
	pl := newPlacer(1)
	for ix := range 12 {
		pl.Register(begin, inZone(ix, []core.Zone{"a", "b"}[ix%2]))
	}
	now := begin.Add(time.Minute)
	moved := 0
	for id := range uint64(40) {
		before := serve(t, pl, now, newRequest(chat(id, id))).Endpoint
		pl.Evacuate(now, before.Zone, now)
		after := serve(t, pl, now, newRequest(chat(id, id)))
		if after.FetchFrom == before.Addr {
			moved++
		}
		pl.Restore(now, before.Zone)
	}
	if moved != 40 {
		t.Errorf("%d of 40 chats are fetched from the engine that had them", moved)
	}
}

// Guards against exceeding the load cap while a zone is evacuated: its engines, idle by then, are
// part of their pool's mean.
func TestLoadCapHoldsWhileAZoneIsEvacuated(t *testing.T) {
	re := newReplay(26, 48)
	for _, pl := range re.routers {
		for ix := range 48 {
			pl.Register(begin, inZone(ix, []core.Zone{"a", "b", "c"}[ix%3]))
		}
	}
	ra := newRand(5)
	for re.step < 900 {
		if re.step == 300 {
			for _, pl := range re.routers {
				pl.Evacuate(re.now(), "c", re.now().Add(time.Second))
			}
		}
		for range 4 {
			id := uint64(ra.Float64() * ra.Float64() * 206)
			re.place(t, ra.IntN(26), chat(id%3, id), 120)
		}
		re.tick()
	}
	if part := float64(re.beyondCap) / float64(re.placed); part > 0.03 {
		t.Errorf("%.3f of %d calls exceeded the load cap, want at most 0.03", part, re.placed)
	}
}

// Guards against refusals by the load cap when most of a pool is evacuated: the remaining endpoints
// take as many calls as they have slots for.
func TestOpenEndpointsServeDuringAnEvacuation(t *testing.T) {
	pl := newPlacer(1)
	for ix := range 12 {
		pl.Register(begin, inZone(ix, []core.Zone{"a", "b", "c", "d"}[ix%4]))
	}
	for _, zone := range []core.Zone{"b", "c", "d"} {
		pl.Evacuate(begin, zone, begin)
	}
	for id := range uint64(120) {
		if _, rf := pl.Pick(begin, newRequest(chat(id, id))); rf != nil {
			t.Fatalf("refused with 3 endpoints of 48 slots and %d calls: %v", id, rf)
		}
	}
}

// Guards against moving a third of all chats at the same moment: they leave an evacuated zone over
// the available time, each once, and none remains at the end.
func TestChatsLeaveAnEvacuatedZoneGradually(t *testing.T) {
	const within = 4 * time.Second
	pl := newPlacer(1)
	for ix := range 12 {
		pl.Register(begin, inZone(ix, []core.Zone{"a", "b"}[ix%2]))
	}
	now := begin.Add(time.Minute)
	pl.Evacuate(now, "b", now.Add(within))
	left := map[uint64]bool{}
	before, most := 0, 0
	for step := 0; step <= 8; step++ {
		at := now.Add(time.Duration(step) * within / 8)
		for id := range uint64(400) {
			if zone := serve(t, pl, at, newRequest(chat(id, id))).Endpoint.Zone; zone == "a" {
				left[id] = true
			} else if left[id] {
				t.Fatalf("chat %d returned to the evacuated zone", id)
			}
		}
		if step > 0 {
			most = max(most, len(left)-before)
		}
		before = len(left)
	}
	if before != 400 || most > 60 {
		t.Errorf("%d of 400 chats have left, at most %d of them within an eighth of the time", before, most)
	}
}
