package order

// LoadWindow adapts the number of concurrent loads to the capacity of the weight store, by additive
// increase and multiplicative decrease: it grows by one for each window of successful loads and is
// halved when the store rejects one. The store's rate need not be known, and it may change.
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

// OrderSucceeded records a load that succeeded.
func (lw *LoadWindow) OrderSucceeded() { lw.size = min(maxLoads, lw.size+1/float64(lw.Size())) }

// Rejected records a load that the store rejected for lack of capacity.
func (lw *LoadWindow) Rejected() { lw.size = max(1, float64(lw.Size())/2) }
