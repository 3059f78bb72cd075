package swim

import "time"

const (
	// challengesPerPeriod bounds the challenges between two calls of Tick.
	challengesPerPeriod = 16
	// replyWindow is how long after a probe a reply to it counts.
	replyWindow = 3 * time.Second
)

// AddSender adds the address of the sender of a message. It returns false if there is no room for it.
func (ta *Table) AddSender(now time.Time, addr string) bool {
	known := ta.members[addr] != nil
	me := ta.member(now, addr)
	if me != nil && !known {
		me.stranger = true
	}
	return me != nil
}

// unproven reports whether nothing but its own messages speaks for there being a peer.
func (me *member) unproven() bool { return me.stranger && me.state == Unverified }

// Contact records a message from the address that answers no probe, as MessageReceived does, unless the address is
// unverified.
func (ta *Table) Contact(now time.Time, addr string, in Incarnation) bool {
	if !ta.AddSender(now, addr) || ta.members[addr].state == Unverified {
		return false
	}
	return ta.MessageReceived(now, addr, in)
}

// ReplyReceived records a reply to a probe, as MessageReceived does; as Contact does if none was sent to the address.
func (ta *Table) ReplyReceived(now time.Time, addr string, in Incarnation) bool {
	me := ta.members[addr]
	if me == nil || me.probedAt.IsZero() || now.Sub(me.probedAt) > replyWindow {
		return ta.Contact(now, addr, in)
	}
	return ta.MessageReceived(now, addr, in)
}

// Challenge reports whether a probe is to be sent at once to an address from which a message came, as it is unverified.
func (ta *Table) Challenge(now time.Time, addr string) bool {
	me := ta.members[addr]
	if me == nil || me.state != Unverified || now.Sub(me.probedAt) < Period || ta.challenged >= challengesPerPeriod {
		return false
	}
	ta.challenged++
	me.probedAt = now
	return true
}
