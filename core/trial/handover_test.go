package trial_test

import (
	"fmt"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/ring"
	"almondrill/core/router"
	"almondrill/io/fakes/inmem"
)

// cachedTurn sends a turn of a chat and returns how many prompt tokens the engine had cached.
func (st *harness) cachedTurn(chat string, prompt core.Tokens) core.Tokens {
	st.t.Helper()
	me := st.fl.RouterAt(0)
	rep, err := me.Router.Route(st.ctx, &router.Request{
		Group: me.Board.Snapshot().Config.Group(poolID),
		Call: core.Call{
			Customer: "c", Pool: poolID, Chat: core.ChatID(chat), MayRepeat: true, Priority: core.PriorityNormal,
			Prompt: prompt, Output: 20, Body: []byte(chat),
		},
	}, &response{})
	if err != nil {
		st.t.Error(err)
		return 0
	}
	return rep.Cached
}

// shutDownOne serves chats, shuts one agent down with at most maxBytes of contexts handed over, and
// returns how many of its chats found their context afterwards.
func (st *harness) shutDownOne(maxBytes core.Bytes) (found, of int) {
	const chats = 60
	for n := range chats {
		st.cachedTurn(fmt.Sprint("chat-", n), 400)
	}
	one := st.fl.LiveAgents()[0]
	var own []string
	for n := range chats {
		chat := fmt.Sprint("chat-", n)
		if one.Engines[0].HasContext(ring.Key("c", poolID, core.ChatID(chat))) {
			own = append(own, chat)
		}
	}
	st.fl.Shutdown(one, maxBytes)
	time.Sleep(10 * time.Second)
	for _, chat := range own {
		if st.cachedTurn(chat, 500) >= 400 {
			found++
		}
	}
	return found, len(own)
}

// An agent shuts down. The chats whose contexts its engine had cached must find them at their next
// home, without another prefill.
func TestDrainingAgentHandsOverContexts(t *testing.T) {
	runHarness(t, 41, func(st *harness) {
		if found, of := st.shutDownOne(1 << 20); found != of || of < 5 {
			t.Errorf("%d of %d chats found their context", found, of)
		}
	})
}

// An agent shuts down with a low limit on handed-over bytes. The shutdown must complete, with some
// of the contexts handed over.
func TestHandoverIsBounded(t *testing.T) {
	runHarness(t, 41, func(st *harness) {
		// A context has only a few bytes here; some are in transit when the limit is reached.
		if found, of := st.shutDownOne(8); found == 0 || found == of {
			t.Errorf("%d of %d chats found their context", found, of)
		}
	})
}

// An agent shuts down that is the home of chats served by other agents. The next home must get its
// pointers, so that the chats still find their contexts.
func TestDrainingAgentHandsOverPointers(t *testing.T) {
	runHarness(t, 42, func(st *harness) {
		live := st.fl.LiveAgents()
		draining, holder := live[0], live[3]
		pl := core.Placement{Customer: "c", Pool: poolID, Chat: "chat", VM: holder.ID}
		draining.Agent.ApplyPlacements([]core.Placement{pl})
		st.fl.Shutdown(draining, 1<<20)
		time.Sleep(5 * time.Second)
		for _, me := range st.fl.LiveAgents() {
			if vm, known := me.Agent.Book.Pointer(ring.Key("c", poolID, "chat")); known && vm == holder.ID {
				return
			}
		}
		t.Error("no agent has the pointer after the shutdown")
	})
}

// A response is in progress when the agent's shutdown starts. It must be completed, and its context
// must then be handed over like the others.
func TestLastContextIsHandedOver(t *testing.T) {
	runHarness(t, 43, func(st *harness) {
		st.cachedTurn("chat", 400)
		var holder *inmem.Member
		for _, me := range st.fl.LiveAgents() {
			if me.Engines[0].HasContext(ring.Key("c", poolID, "chat")) {
				holder = me
			}
		}
		go st.cachedTurn("chat", 2000)
		time.Sleep(50 * time.Millisecond)
		st.fl.Shutdown(holder, 1<<20)
		time.Sleep(5 * time.Second)
		if cached := st.cachedTurn("chat", 2100); cached < 2000 {
			t.Errorf("%d tokens were cached, want at least 2000", cached)
		}
	})
}
