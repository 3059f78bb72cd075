package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"almondrill/core/place"
	"almondrill/core/route"
)

// An engine is so busy that a stream pauses for longer than the router would wait, and no
// other engine can take it over. Cut there, the caller loses an answer that was on its way;
// the engine goes on, and so does the stream.
func TestSilentStreamGoesOnWhereNobodyElseCanTakeIt(t *testing.T) {
	const pause = 1600 * time.Millisecond
	slow := func(se *seen, co net.Conn) bool {
		events(se, co, 1, 2)
		time.Sleep(pause)
		for id := 3; id <= 5; id++ {
			chunk(co, fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id))
		}
		end(co)
		return true
	}
	for name, other := range map[string]func(fl *fleet){
		"there is no other": func(*fleet) {},
		"the other drains": func(fl *fleet) {
			fl.re.Placer.Register(time.Now(), place.Endpoint{ID: "e9", Addr: "127.0.0.1:9", Pool: "pool", Zone: "a", Slots: 8, Draining: true})
		},
		"the other may be gone": func(fl *fleet) {
			fl.re.Placer.Register(time.Now(), place.Endpoint{ID: "e9", Addr: "127.0.0.1:9", Pool: "pool", Zone: "a", Slots: 8})
			fl.re.Placer.Doubt("e9")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fl := newFleet(t, slow).serve(resumable)
			other(fl)
			rs, body, err := fl.call("POST", "/r/x", "hello")
			fl.expect(rs, err, http.StatusOK, 1)
			if body != all(1, 5) {
				t.Errorf("the caller got %q", body)
			}
		})
	}
}

// The only endpoint answers a request that may be repeated late, but in time. Given up
// before, the caller gets an error in place of its answer.
func TestSlowAnswerIsWaitedForWhereNobodyElseCanGiveIt(t *testing.T) {
	fl := newFleet(t, func(se *seen, co net.Conn) bool {
		time.Sleep(900 * time.Millisecond)
		return answer(http.StatusOK, "late")(se, co)
	}).serve(route.Route{Kind: route.Idempotent, MaxAttempts: 2, Timeout: 1500 * time.Millisecond})
	rs, body, err := fl.call("GET", "/r/x", "")
	fl.expect(rs, err, http.StatusOK, 1)
	if body != "late" {
		t.Errorf("the caller got %q", body)
	}
}

// Room comes up elsewhere while a stream is silent: it goes on there, although there was
// none when its patience ended.
func TestSilentStreamGoesOnElsewhereOnceThereIsRoom(t *testing.T) {
	fl := newFleet(t, silentAfterTwo, silentAfterTwo).serve(resumable)
	second := place.Endpoint{ID: "e1", Addr: fl.addrs[1], Pool: "pool", Zone: "a", Slots: 8}
	fl.re.Placer.Remove("e1")
	time.AfterFunc(1300*time.Millisecond, func() { fl.re.Placer.Register(time.Now(), second) })
	rs, body, err := fl.call("POST", "/r/x", "hello")
	fl.expect(rs, err, http.StatusOK, 2)
	if body != all(1, 5) {
		t.Errorf("the caller got %q", body)
	}
}
