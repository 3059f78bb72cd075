package entry

import (
	"time"

	"almondrill/core"
	"almondrill/core/place"
)

// ApplyItem applies an item that is new to the mirror.
func (pr *Process) ApplyItem(it core.Item) { pr.view.applyItem(it) }

// Endpoints counts the known endpoints of all pools.
func (pr *Process) Endpoints() int { return pr.placer.Serving(func(core.PoolID) bool { return true }) }

// Pick chooses an endpoint of the pool.
func (pr *Process) Pick(pool core.PoolID) (*place.Ticket, *core.Refusal) {
	return pr.placer.Pick(time.Now(), &place.Request{Pool: pool})
}

// Interrupted reports that an attempt was interrupted.
func (pr *Process) Interrupted(en core.EndpointRef, began time.Time, fp core.Fingerprint) {
	pr.crashes.Interrupted(en, began, fp)
}
