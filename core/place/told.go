package place

import (
	"time"

	"almondrill/core"
)

// word is a fellow router's last message: its calls in progress by endpoint.
type word struct {
	at    time.Time
	calls map[uint64]int
}

// toldFor is how long a fellow's word counts: a few of its messages. One that
// says nothing for longer has stopped, and its calls with it.
const toldFor = 2 * time.Second

// Tell is the router's own calls in progress, by the hash of the endpoint's id, at
// endpoints that do not count their calls themselves.
func (pl *Placer) Tell() map[uint64]int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	own := map[uint64]int{}
	for _, st := range pl.byID {
		if st.calls > 0 && st.reading.at.IsZero() {
			own[st.hash] = st.calls
		}
	}
	return own
}

// Hear takes a fellow's word.
func (pl *Placer) Hear(now time.Time, from core.VMID, calls map[uint64]int) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.start()
	pl.told[from] = &word{at: now, calls: calls}
}

func (pl *Placer) toldCalls(now time.Time, hash uint64) int {
	sum := 0
	for from, wo := range pl.told {
		if now.Sub(wo.at) > toldFor {
			delete(pl.told, from)
			continue
		}
		sum += wo.calls[hash]
	}
	return sum
}
