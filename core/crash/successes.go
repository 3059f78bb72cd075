package crash

import (
	"encoding/binary"
	"time"

	"almondrill/core"
)

// successSlots is how many successful requests and parts are remembered, in a megabyte: those of the last
// ten seconds at 60 requests a second with a hundred shared parts each. A later one overwrites an earlier one
// of the same slot.
const successSlots = 1 << 16

// recentSuccesses remembers which requests and parts succeeded recently, and when.
type recentSuccesses struct{ slots []successSlot }

type successSlot struct {
	request uint64
	at      int64 // ns of the Unix epoch
}

// record stores the time at which a request succeeded.
func (re *recentSuccesses) record(fp core.Fingerprint, at time.Time) {
	if re.slots == nil {
		re.slots = make([]successSlot, successSlots)
	}
	short := shorten(fp)
	re.slots[short%successSlots] = successSlot{short, at.UnixNano()}
}

// succeededSince reports whether the request is known to have succeeded at or after then.
func (re *recentSuccesses) succeededSince(fp core.Fingerprint, then time.Time) bool {
	if re.slots == nil {
		return false
	}
	short := shorten(fp)
	slot := re.slots[short%successSlots]
	return slot.request == short && slot.at >= then.UnixNano()
}

func shorten(fp core.Fingerprint) uint64 { return binary.BigEndian.Uint64(fp[:]) }
