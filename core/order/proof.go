package order

import (
	"time"

	"almondrill/core"
)

// Failure: a pool declares a version, an adapter or a role that crashes the engines that take
// it on. Given to the next engine when one has failed, the order takes the pool down to its
// Minimum for as long as it is declared: what fails is the order, not the engine. Until an
// order has gone well on one engine of its pool, few have it; when these fail, the others
// keep what they have.

const (
	// mostUnproved is how many engines may have an order of which none has gone well, those
	// at which it failed included: a single engine may fail for a reason of its own.
	mostUnproved = 3
	// firstRetry is when an order that failed on so many is given to one more, mostRetry the
	// longest pause, doubled from try to try.
	firstRetry = 10 * time.Minute
	mostRetry  = 2 * time.Hour
)

// content is what an order asks, whichever engine gets it.
type content struct {
	pool          core.PoolID
	kind          core.OrderKind
	name, version string
}

func contentOf(po core.PoolID, or *core.Order) content {
	return content{po, or.Kind, or.Name, or.Version}
}

// proof is what is known of an order's content.
type proof struct {
	proved   bool
	failures int
	until    time.Time
}

// allows tells whether one more engine may get the order, while open have one in progress.
func (pr *proof) allows(now time.Time, open int) bool {
	switch {
	case pr == nil:
		return open < mostUnproved
	case pr.proved:
		return true
	case pr.failures < mostUnproved:
		return pr.failures+open < mostUnproved
	}
	return open == 0 && !now.Before(pr.until)
}

// fail notes that the order failed on an engine. It returns true if no further engine gets it
// for now.
func (pr *proof) fail(now time.Time) bool {
	pr.failures++
	beyond := pr.failures - mostUnproved
	if pr.proved || beyond < 0 {
		return false
	}
	pr.until = now.Add(min(mostRetry, firstRetry<<min(beyond, 10)))
	return true
}
