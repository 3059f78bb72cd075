package swim

import (
	"cmp"
	"slices"
	"time"
)

// AddNamed is Add for an address that another peer has named. It takes nobody's place.
func (ta *Table) AddNamed(now time.Time, addr string) bool { return ta.namedMember(now, addr) != nil }

func (ta *Table) full() bool { return ta.MaxMembers > 0 && len(ta.members) >= ta.MaxMembers }

// Rejected returns how many addresses were not added as the table was full.
func (ta *Table) Rejected() int64 { return ta.rejected }

// namedMember is member for an address that another peer has named.
func (ta *Table) namedMember(now time.Time, addr string) *member {
	if ta.members[addr] == nil && addr != ta.Self && ta.full() {
		ta.rejected++
		return nil
	}
	return ta.member(now, addr)
}

// replace removes a member that is not alive or from which no message has come. It returns false if there is none.
func (ta *Table) replace() bool {
	if ta.replaceable == nil {
		ta.replaceable = ta.listReplaceable()
	}
	for len(ta.replaceable) > 0 {
		last := len(ta.replaceable) - 1
		addr := ta.replaceable[last]
		ta.replaceable = ta.replaceable[:last]
		if me := ta.members[addr]; me != nil && me.replaceable() {
			ta.remove(me)
			return true
		}
	}
	return false
}

func (me *member) replaceable() bool { return !me.state.live() || me.lastReceived.IsZero() }

// listReplaceable lists the replaceable members, those last that are to be replaced first: the ones that are not alive, and
// of these and the others the ones with the oldest state.
func (ta *Table) listReplaceable() []string {
	all := []*member{}
	for _, me := range ta.members {
		if me.replaceable() {
			all = append(all, me)
		}
	}
	slices.SortFunc(all, func(a, b *member) int {
		if a.state.live() != b.state.live() {
			if a.state.live() {
				return -1
			}
			return 1
		}
		return cmp.Or(b.since.Compare(a.since), cmp.Compare(a.addr, b.addr))
	})
	addrs := make([]string, len(all))
	for ix, me := range all {
		addrs[ix] = me.addr
	}
	return addrs
}

// remove removes a member with all that refers to it.
func (ta *Table) remove(me *member) {
	if me.state.live() {
		ta.live--
	}
	delete(ta.members, me.addr)
	if at := slices.Index(ta.order, me.addr); at >= 0 {
		ta.order = slices.Delete(ta.order, at, at+1)
		if at < ta.next {
			ta.next--
		}
	}
	ta.rumors = slices.DeleteFunc(ta.rumors, func(qu *queuedRumor) bool { return qu.Addr == me.addr })
}
