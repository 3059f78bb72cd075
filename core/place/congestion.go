package place

// Load pattern: some endpoints of a plain pool run several times slower for half a second, because they
// share their machine. With hundreds of routers, each has too few calls at an endpoint to notice, and
// calls queue there while slots are free at others.

const (
	// congestedPerSlot and congestedFactor are from how many calls per slot, and from how many times the
	// mean of the pool's endpoints, an endpoint counts as congested. Peers' counts are older than a call
	// lasts: with lower values, all routers avoid the same endpoints for as long as the counts are valid,
	// and their slots stay free.
	congestedPerSlot = 3
	congestedFactor  = 2
)

// Congestion returns how many more calls of this router an endpoint is taken to have because others' calls
// queue there, 0 unless it has far more calls than slots and than the pool's mean. calls are those of all
// routers, as far as known from peers.
func Congestion(calls, meanCalls, slots float64) float64 {
	if calls <= congestedPerSlot*slots || calls <= congestedFactor*meanCalls {
		return 0
	}
	return (calls - slots) / slots
}
