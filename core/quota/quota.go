// Package quota limits the number of requests sent per second.
//
// # Concepts
//
// A Window counts the requests sent in the last second and those about to be sent. Each request is
// reserved first, so that several requests in preparation do not all use the same free capacity.
//
// # Usage
//
//	if wi.HasCapacity(now, limit) {
//		wi.Reserve()
//		...
//		wi.MarkSent(now) // right before the request is sent, or wi.Cancel()
//	}
package quota

import "time"

// windowLength is the time over which a Window counts. It exceeds a second by the delay between
// MarkSent and the first byte sent on a busy VM.
const windowLength = time.Second + 50*time.Millisecond

// Window counts requests in a sliding window. The zero value is empty. It is not safe for
// concurrent use.
type Window struct {
	sent     []time.Time
	reserved int
}

// HasCapacity reports whether one more request is within the limit, in requests per second.
func (wi *Window) HasCapacity(now time.Time, limit int) bool {
	return wi.countRecent(now)+wi.reserved < limit
}

// Reserve reserves capacity for one request. MarkSent or Cancel has to follow.
func (wi *Window) Reserve() { wi.reserved++ }

// MarkSent turns a reservation into a request sent now.
func (wi *Window) MarkSent(now time.Time) {
	wi.reserved--
	wi.sent = append(wi.sent, now)
}

// Cancel releases a reservation.
func (wi *Window) Cancel() { wi.reserved-- }

// FreeAfter returns the time until the oldest counted request leaves the window; 0 if there is none.
func (wi *Window) FreeAfter(now time.Time) time.Duration {
	if wi.countRecent(now) == 0 {
		return 0
	}
	return windowLength - now.Sub(wi.sent[0])
}

// Empty reports whether no request is counted or reserved.
func (wi *Window) Empty(now time.Time) bool { return wi.reserved == 0 && wi.countRecent(now) == 0 }

// countRecent removes requests that have left the window and returns how many remain.
func (wi *Window) countRecent(now time.Time) int {
	first := 0
	for first < len(wi.sent) && now.Sub(wi.sent[first]) > windowLength {
		first++
	}
	wi.sent = wi.sent[first:]
	return len(wi.sent)
}
