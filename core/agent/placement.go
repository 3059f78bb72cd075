package agent

import (
	"math"

	"almondrill/core"
	"almondrill/core/board"
	"almondrill/core/ctxdir"
	"almondrill/core/decl"
	"almondrill/core/pick"
	"almondrill/core/ring"
)

// notifyNewHomes sends placements of the contexts cached here to the new homes of their chats after
// the pool has changed: a VM that joins becomes the home of chats that it has never seen.
func (ag *Agent) notifyNewHomes(sn *board.Snapshot, id core.PoolID) {
	for _, he := range ag.Book.Cached(maxNotified) {
		pl := he.Placement
		if pl.Pool != id {
			continue
		}
		key := ring.Key(pl.Customer, pl.Pool, pl.Chat)
		home := ag.home(sn, id, key)
		if home != "" && home != ag.Self && home != he.NotifiedHome {
			ag.Book.SetNotified(key, home)
			ag.outbox.add(home, pl)
		}
	}
}

// maxNotified is the maximum number of chats whose new homes are notified after a change of the
// pool. The most recently used chats come first.
const maxNotified = 4096

// chooseSlot returns the pool's endpoint that has the chat's context in its cache, together with
// the context, or else the least loaded endpoint. A paused endpoint is chosen only if all are paused.
func (ag *Agent) chooseSlot(po core.PoolID, key uint64) (*Slot, *ctxdir.CachedContext) {
	he, cached := ag.Book.Lookup(key)
	var best *Slot
	var minLoad core.Work
	for _, sl := range ag.Slots {
		if sl.Pool != po {
			continue
		}
		if cached && sl.ID == he.Endpoint && !sl.Paused() {
			return sl, &he
		}
		load := sl.gate.Load()
		if sl.Paused() {
			load = math.MaxInt64
		}
		if best == nil || load < minLoad {
			best, minLoad = sl, load
		}
	}
	return best, nil
}

// checkRedirect returns a refusal if another agent should serve the chat, and nil if this one
// should.
func (ag *Agent) checkRedirect(sn *board.Snapshot, gr *decl.Group, sl *Slot, ca *core.Call, key uint64, he *ctxdir.CachedContext) *core.Refusal {
	if ca.NoRedirect {
		return nil
	}
	if he != nil && he.Tokens*4 >= ca.Prompt*3 {
		return ag.checkBusy(gr, sl, ca)
	}
	if vm, known := ag.Book.Pointer(key); known {
		if vm == ca.StaleHolder || !ag.worthRedirect(sn, gr, sl, ca, vm) {
			ag.Book.RemovePointer(key, vm)
			return nil
		}
		return ag.refuseRedirect(vm, "another agent has the chat's context")
	}
	if home := ag.home(sn, ca.Pool, key); home != ag.Self && home != ca.StaleHolder && home != "" {
		return ag.refuseRedirect(home, "the chat's home is another agent")
	}
	return nil
}

// checkBusy returns a refusal if prefilling the context elsewhere is expected to be quicker than
// waiting for it here. It compares the difference in load with the cost of the prefill: when all
// engines have queues, moving gains nothing and loses the context. A ReuseBias above 1 favors
// waiting.
func (ag *Agent) checkBusy(gr *decl.Group, sl *Slot, ca *core.Call) *core.Refusal {
	if sl.gate.EstimateWait(ca.Priority) == 0 {
		return nil
	}
	less := sl.gate.LessLoaded()
	if len(less) == 0 {
		return nil
	}
	there, fresh := ag.tables[ca.Pool].LoadOf(less[0])
	prefill := gr.ReuseBias * float64(core.WorkOf(ca.Prompt, 0))
	if gain := float64(sl.gate.Load() - there); !fresh || gain <= prefill {
		return nil
	}
	re := ag.refuse(core.ReasonBusyHolder, "place", "prefilling elsewhere is quicker than waiting here")
	re.Alternatives = less
	return re
}

// worthRedirect reports whether vm, which has the chat's context, is likely to admit the call: it is
// in the pool, and its load, if known, is neither over the cap nor much above the load here.
func (ag *Agent) worthRedirect(sn *board.Snapshot, gr *decl.Group, sl *Slot, ca *core.Call, vm core.VMID) bool {
	po := sn.Pools[ca.Pool]
	if po == nil || po.Index(vm) < 0 {
		return false
	}
	load, fresh := ag.tables[ca.Pool].LoadOf(vm)
	if !fresh {
		return true
	}
	st := sl.gate.Stats()
	limit := max(float64(gr.FloorWork), gr.LoadFactor*float64(st.Mean))
	saved := gr.ReuseBias * float64(core.WorkOf(ca.Prompt, 0))
	return float64(load) <= limit && float64(load) <= float64(st.Load)+saved+limit/2
}

func (ag *Agent) home(sn *board.Snapshot, id core.PoolID, key uint64) core.VMID {
	po := sn.Pools[id]
	if po == nil {
		return ""
	}
	ix := pick.Home(po, key)
	if ix < 0 {
		return ""
	}
	return po.Members[ix].VM
}

// recordContext records that the engine now has the chat's context in its cache.
func (ag *Agent) recordContext(sn *board.Snapshot, sl *Slot, ca *core.Call, key uint64, us core.Usage) {
	tokens := ca.Prompt + ca.Output
	if us.Prompt > 0 {
		tokens = us.Prompt + us.Output
	}
	pl := core.Placement{Customer: ca.Customer, Pool: ca.Pool, Chat: ca.Chat, VM: ag.Self}
	ag.addContext(sn, key, ctxdir.CachedContext{Endpoint: sl.ID, Tokens: tokens, Placement: pl})
}

// addContext adds a context to the directory. If it is new, and routers would not try this agent for
// the chat anyway, it also queues a placement for the chat's home.
func (ag *Agent) addContext(sn *board.Snapshot, key uint64, he ctxdir.CachedContext) {
	_, known := ag.Book.Lookup(key)
	ag.Book.Add(key, he)
	if known || ag.isPreferred(sn, he.Placement.Pool, key) {
		return
	}
	if home := ag.home(sn, he.Placement.Pool, key); home != "" {
		ag.outbox.add(home, he.Placement)
	}
}

// isPreferred reports whether this agent is among those that routers try anyway for the chat's next
// call, so that the chat's home needs no pointer to it.
func (ag *Agent) isPreferred(sn *board.Snapshot, id core.PoolID, key uint64) bool {
	po := sn.Pools[id]
	return po != nil && pick.IsPreferred(po, key, ag.Self)
}

// ApplyPlacements applies placements that other agents sent to this agent as the chats' home.
func (ag *Agent) ApplyPlacements(pls []core.Placement) {
	for _, pl := range pls {
		key := ring.Key(pl.Customer, pl.Pool, pl.Chat)
		switch {
		case pl.Withdrawn:
			ag.Book.RemovePointer(key, pl.VM)
		case pl.VM != ag.Self:
			ag.Book.AddPointer(key, pl)
		}
	}
}

func (ag *Agent) refuseRedirect(vm core.VMID, detail string) *core.Refusal {
	re := ag.refuse(core.ReasonHeldElsewhere, "place", detail)
	re.Alternatives = []core.VMID{vm}
	return re
}
