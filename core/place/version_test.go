package place_test

import (
	"testing"

	"almondrill/core"
)

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
