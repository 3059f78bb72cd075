package swim

import (
	"cmp"
	"slices"
	"time"
)

// ApplyRumors applies the rumors in a message.
func (ta *Table) ApplyRumors(now time.Time, rumors []Rumor) {
	for _, ru := range rumors {
		if ru.State < Alive || ru.State > Left {
			continue
		}
		if ru.Addr == ta.Self {
			ta.refute(ru)
			continue
		}
		ta.applyRumor(now, ru)
	}
}

// refute raises this router's incarnation above that of a rumor that it is not alive.
func (ta *Table) refute(ru Rumor) {
	if ru.State == Alive {
		return
	}
	ta.incarnation = max(ta.incarnation, ru.Incarnation+1)
	ta.enqueue(Rumor{ta.Self, Alive, ta.incarnation})
}

// applyRumor applies a rumor of a peer unless it is outdated.
func (ta *Table) applyRumor(now time.Time, ru Rumor) {
	if ta.members[ru.Addr] == nil && !ru.State.live() {
		return
	}
	me := ta.namedMember(now, ru.Addr)
	switch {
	case me == nil:
		return
	case ru.Incarnation < me.incarnation:
		if me.state == Alive && ru.State > Alive {
			ta.enqueue(Rumor{ru.Addr, Alive, me.incarnation}) // its sender has missed a refutation
		}
		return
	case ru.Incarnation == me.incarnation && ru.State <= me.state && !me.deadByIsolation:
		return
	}
	if ru.Incarnation == me.incarnation && ru.State > Alive && ru.State < Left && now.Sub(me.lastReceived) < directContactWindow {
		return
	}
	me.incarnation = ru.Incarnation
	ta.setState(now, me, ru.State)
	if ru.State == Suspect {
		me.suspectedUntil = now.Add(time.Duration(ta.doublings()) * suspicionTimeout)
	}
	ta.enqueue(ru)
}

// Leave queues a rumor that this router shuts down.
func (ta *Table) Leave() { ta.enqueue(Rumor{ta.Self, Left, ta.incarnation}) }

// enqueue queues a rumor for sending, in place of an earlier one of the same peer.
func (ta *Table) enqueue(ru Rumor) {
	for _, qu := range ta.rumors {
		if qu.Addr == ru.Addr {
			qu.Rumor, qu.sent = ru, 0
			return
		}
	}
	ta.rumors = append(ta.rumors, &queuedRumor{Rumor: ru})
}

// Rumors returns up to limit rumors to be sent with a message, those sent least often first.
func (ta *Table) Rumors(limit int) []Rumor {
	if len(ta.rumors) == 0 {
		return nil
	}
	slices.SortStableFunc(ta.rumors, func(a, b *queuedRumor) int { return cmp.Compare(a.sent, b.sent) })
	selected := ta.rumors[:min(limit, len(ta.rumors))]
	out := make([]Rumor, len(selected))
	for ix, qu := range selected {
		out[ix] = qu.Rumor
		qu.sent++
	}
	maxSent := rumorRetransmits * ta.doublings()
	ta.rumors = slices.DeleteFunc(ta.rumors, func(qu *queuedRumor) bool { return qu.sent >= maxSent })
	return out
}
