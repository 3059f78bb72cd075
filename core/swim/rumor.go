package swim

import (
	"cmp"
	"slices"
	"time"
)

// Take takes the rumors of a message.
func (ta *Table) Take(now time.Time, rumors []Rumor) {
	for _, ru := range rumors {
		if ru.State < Alive || ru.State > Left {
			continue
		}
		if ru.Addr == ta.Self {
			ta.refute(ru)
			continue
		}
		ta.believe(now, ru)
	}
}

// refute raises the own incarnation above that of a rumor that this router is not alive.
func (ta *Table) refute(ru Rumor) {
	if ru.State == Alive {
		return
	}
	ta.incarnation = max(ta.incarnation, ru.Incarnation+1)
	ta.pass(Rumor{ta.Self, Alive, ta.incarnation})
}

// believe takes a rumor of a peer, unless more is known.
func (ta *Table) believe(now time.Time, ru Rumor) {
	if ta.members[ru.Addr] == nil && !ru.State.live() {
		return
	}
	me := ta.member(now, ru.Addr)
	switch {
	case me == nil:
		return
	case ru.Incarnation < me.incarnation:
		if me.state == Alive && ru.State > Alive {
			ta.pass(Rumor{ru.Addr, Alive, me.incarnation}) // whoever told it has missed a refutation
		}
		return
	case ru.Incarnation == me.incarnation && ru.State <= me.state && !me.alone:
		return
	}
	if ru.Incarnation == me.incarnation && ru.State > Alive && ru.State < Left && now.Sub(me.heard) < heardFor {
		return
	}
	me.incarnation = ru.Incarnation
	ta.become(now, me, ru.State)
	if ru.State == Suspect {
		me.until = now.Add(time.Duration(ta.turns()) * suspectFor)
	}
	ta.pass(ru)
}

// Leave makes a rumor that this router ends.
func (ta *Table) Leave() { ta.pass(Rumor{ta.Self, Left, ta.incarnation}) }

// pass puts a rumor among those that are told, in place of an earlier one of that peer.
func (ta *Table) pass(ru Rumor) {
	for _, pa := range ta.rumors {
		if pa.Addr == ru.Addr {
			pa.Rumor, pa.told = ru, 0
			return
		}
	}
	ta.rumors = append(ta.rumors, &passing{Rumor: ru})
}

// Rumors are those to go with a message, at most so many, the least told first.
func (ta *Table) Rumors(most int) []Rumor {
	if len(ta.rumors) == 0 {
		return nil
	}
	slices.SortStableFunc(ta.rumors, func(a, b *passing) int { return cmp.Compare(a.told, b.told) })
	some := ta.rumors[:min(most, len(ta.rumors))]
	out := make([]Rumor, len(some))
	for ix, pa := range some {
		out[ix] = pa.Rumor
		pa.told++
	}
	enough := rumorTurns * ta.turns()
	ta.rumors = slices.DeleteFunc(ta.rumors, func(pa *passing) bool { return pa.told >= enough })
	return out
}
