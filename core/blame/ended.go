package blame

import (
	"encoding/binary"
	"time"

	"almondrill/core"
)

// endedSlots is how many requests that ended are remembered, 64 KB: those of the last minute
// at 60 a second. A later one takes the place of an earlier one.
const endedSlots = 4096

// ended remembers which requests ended well lately, and when.
type ended struct{ slots []endedSlot }

type endedSlot struct {
	request uint64
	at      int64 // ns of the Unix epoch
}

// note takes that a request ended.
func (en *ended) note(fp core.Fingerprint, at time.Time) {
	if en.slots == nil {
		en.slots = make([]endedSlot, endedSlots)
	}
	short := shorten(fp)
	en.slots[short%endedSlots] = endedSlot{short, at.UnixNano()}
}

// since tells whether the request is known to have ended since then.
func (en *ended) since(fp core.Fingerprint, then time.Time) bool {
	if en.slots == nil {
		return false
	}
	short := shorten(fp)
	slot := en.slots[short%endedSlots]
	return slot.request == short && slot.at >= then.UnixNano()
}

func shorten(fp core.Fingerprint) uint64 { return binary.BigEndian.Uint64(fp[:]) }
