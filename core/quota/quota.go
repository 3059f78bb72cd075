// Package quota holds what is sent in a second to a limit.
//
// # Concepts
//
// A Window counts what was sent in the last second and what is about to be sent. A place is
// reserved first, so that many that are about to be sent do not all see the same room.
//
// # Usage
//
//	if wi.Free(now, limit) {
//		wi.Reserve()
//		...
//		wi.Send(now) // right before the request is sent, or wi.Cancel()
//	}
package quota

import "time"

// window is the time over which a Window counts. It exceeds a second by what lies between the
// call of Send and the first byte on a busy VM.
const window = time.Second + 50*time.Millisecond

// Window counts requests. The zero value is empty. It is not safe for concurrent use.
type Window struct {
	sent     []time.Time
	reserved int
}

// HasCapacity tells whether one more is within the limit, in requests a second.
func (wi *Window) HasCapacity(now time.Time, limit int) bool {
	return wi.countRecent(now)+wi.reserved < limit
}

// Reserve keeps a place for one that Send or Cancel follows.
func (wi *Window) Reserve() { wi.reserved++ }

// MarkSent turns a reserved place into a request sent now.
func (wi *Window) MarkSent(now time.Time) {
	wi.reserved--
	wi.sent = append(wi.sent, now)
}

// Cancel gives a reserved place back.
func (wi *Window) Cancel() { wi.reserved-- }

// FreeAfter is how long until what was sent first no longer counts.
func (wi *Window) FreeAfter(now time.Time) time.Duration {
	if wi.countRecent(now) == 0 {
		return 0
	}
	return window - now.Sub(wi.sent[0])
}

// Empty tells whether nothing counts.
func (wi *Window) Empty(now time.Time) bool { return wi.reserved == 0 && wi.countRecent(now) == 0 }

// countRecent drops what was sent too long ago and counts the rest.
func (wi *Window) countRecent(now time.Time) int {
	first := 0
	for first < len(wi.sent) && now.Sub(wi.sent[first]) > window {
		first++
	}
	wi.sent = wi.sent[first:]
	return len(wi.sent)
}
