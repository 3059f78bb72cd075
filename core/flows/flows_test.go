package flows_test

import (
	"testing"

	"almondrill/core/flows"
)

// A customer that sent many requests to an idle resource must not wait for another that arrives
// later, and must then get its share by weight.
func TestSharesFollowWeightsAndIgnoreIdleUse(t *testing.T) {
	var ti flows.Time
	old, late := &flows.Account{Weight: 1}, &flows.Account{Weight: 3}
	for range 1000 {
		ti.Start(ti.Charge(old, 1))
	}
	oldTag, lateTag := ti.Charge(old, 1), ti.Charge(late, 1)
	started := map[*flows.Account]int{}
	for range 400 {
		if oldTag <= lateTag {
			ti.Start(oldTag)
			oldTag = ti.Charge(old, 1)
			started[old]++
		} else {
			ti.Start(lateTag)
			lateTag = ti.Charge(late, 1)
			started[late]++
		}
	}
	if started[old] < 99 || started[old] > 101 {
		t.Errorf("weights 1 and 3 started %d and %d of 400", started[old], started[late])
	}
}

// Requests that are withdrawn before they start must not count against their customer.
func TestWithdrawnWorkIsCredited(t *testing.T) {
	var ti flows.Time
	ac := &flows.Account{Weight: 2}
	for range 10 {
		ti.Charge(ac, 6)
	}
	if ti.Settled(ac) {
		t.Error("an account with work that waits counts as settled")
	}
	for range 10 {
		ti.Credit(ac, 6)
	}
	if tag := ti.Charge(ac, 6); tag != 0 {
		t.Errorf("start tag %g after all work was withdrawn, want 0", tag)
	}
}
