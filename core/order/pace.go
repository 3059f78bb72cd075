package order

// Pace finds out how many loads the weight store bears at a time: one more for
// each window of loads that went well, half as many after one that it refused.
// Nobody needs to know the store's rate, and it may change.
type Pace struct {
	window float64
}

const (
	firstWindow = 2
	mostWindow  = 64
)

// Window is how many loads may run at a time; at least 1.
func (pa *Pace) Window() int {
	if pa.window == 0 {
		pa.window = firstWindow
	}
	return int(pa.window)
}

// Well notes a load that succeeded.
func (pa *Pace) Well() { pa.window = min(mostWindow, pa.window+1/float64(pa.Window())) }

// Refused notes a load that the store had no room for.
func (pa *Pace) Refused() { pa.window = max(1, float64(pa.Window())/2) }
