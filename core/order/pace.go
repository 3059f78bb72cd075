package order

// LoadWindow finds out how many loads the weight store bears at a time: one more for
// each window of loads that went well, half as many after one that it refused.
// Nobody needs to know the store's rate, and it may change.
type LoadWindow struct {
	size float64
}

const (
	initialLoads = 2
	maxLoads     = 64
)

// Size is how many loads may run at a time; at least 1.
func (lw *LoadWindow) Size() int {
	if lw.size == 0 {
		lw.size = initialLoads
	}
	return int(lw.size)
}

// Succeeded notes a load that succeeded.
func (lw *LoadWindow) Succeeded() { lw.size = min(maxLoads, lw.size+1/float64(lw.Size())) }

// Rejected notes a load that the store had no room for.
func (lw *LoadWindow) Rejected() { lw.size = max(1, float64(lw.Size())/2) }
