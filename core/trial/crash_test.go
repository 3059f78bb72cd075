package trial_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/router"
)

// crash has engines crash under calls whose bodies begin so.
const crashBody = "crash"

func (st *harness) crashOnBody(after, downtime time.Duration) {
	for _, me := range st.fl.LiveAgents() {
		for _, en := range me.Engines {
			en.Crashes.OnBodyPrefix, en.Crashes.After, en.Crashes.Downtime = crashBody, after, downtime
		}
	}
}

func (st *harness) crashCount() int {
	count := 0
	for _, me := range st.fl.Members() {
		for _, en := range me.Engines {
			count += en.CrashCount()
		}
	}
	return count
}

// A caller comes back with a request that crashes the engine that runs it, through one router
// after the other, while others chat. Each agent sees its own engine crash and refuses nothing
// afterwards, and routers try the next engine within an attempt, so that 20 returns cost
// more than 20 engines. It is to cost three, and three more at most while all hear of it.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const returns, maxCrashes = 20, 6
	for seed, repeat := range map[uint64]bool{41: true, 42: false} {
		t.Run(fmt.Sprint("repeat=", repeat), func(t *testing.T) {
			runHarness(t, seed, func(st *harness) {
				st.crashOnBody(100*time.Millisecond, 3*time.Second)
				var all sync.WaitGroup
				all.Go(func() { st.runCallers(6, 25*time.Second) })
				time.Sleep(2 * time.Second)
				for ix := range returns {
					if te, re := st.send(ix%3, crashBody, "", repeat); re == nil {
						t.Errorf("it was answered: %v", te)
					}
					time.Sleep(time.Second)
				}
				all.Wait()
				// By now one return may be the trial that shows whether it still crashes engines.
				_, _ = st.send(0, crashBody, "", repeat)
				if _, re := st.send(0, crashBody, "", repeat); re == nil || re.Outcome != core.NotRun || re.RetryAfter == 0 {
					t.Errorf("in the end it is told %v, want not run and when to return", re)
				}
				if got := st.crashCount(); got > maxCrashes {
					t.Errorf("%d engines crashed in %d returns, at most %d allowed", got, returns+2, maxCrashes)
				}
				time.Sleep(5 * time.Second)
				if te, re := st.send(1, "harmless", "", repeat); re != nil {
					t.Errorf("a harmless request: %v %v", te, re)
				}
			})
		})
	}
}

// A request has crashed three engines, and all routers are lost. New ones know nothing but the
// KV, and refuse it at once.
func TestQuarantineSurvivesRouterLoss(t *testing.T) {
	runHarness(t, 43, func(st *harness) {
		st.crashOnBody(100*time.Millisecond, 3*time.Second)
		for ix := range 6 {
			_, _ = st.send(ix%3, crashBody, "", false)
			time.Sleep(time.Second)
		}
		before := st.crashCount()
		for ix := range 3 {
			st.fl.RouterAt(ix).Kill()
		}
		fresh := st.fl.AddRouter("router-fresh", 0)
		time.Sleep(8 * time.Second)
		_, err := fresh.Router.Route(st.ctx, &router.Request{
			Group: fresh.Board.Snapshot().Config.Group(poolID),
			Call: core.Call{
				Customer: "c", Pool: poolID, Chat: "chat-" + crashBody, Priority: core.PriorityNormal,
				Deadline: time.Now().Add(20 * time.Second), Prompt: 100, Output: 30, Body: []byte(crashBody),
			},
		}, &response{})
		re := core.AsRefusal(err, "", "")
		if re.Reason != core.ReasonQuarantined || st.crashCount() != before || before == 0 {
			t.Errorf("a new router: %v; %d crashes before, %d after", re, before, st.crashCount())
		}
	})
}

// A third of the engines crash for no request's reason, while many callers send the same
// lookup. It is served by the others all along.
func TestIdenticalRequestsAreNotQuarantinedInOutage(t *testing.T) {
	runHarness(t, 44, func(st *harness) {
		st.crashOnBody(0, 3*time.Second)
		refused := 0
		var mu sync.Mutex
		var all sync.WaitGroup
		for caller := range 12 {
			all.Go(func() {
				for range 20 {
					_, re := st.send(caller%3, "lookup", "", true)
					if re != nil && re.Reason == core.ReasonQuarantined {
						mu.Lock()
						refused++
						mu.Unlock()
					}
				}
			})
		}
		time.Sleep(3 * time.Second)
		for _, me := range st.fl.LiveAgents()[:3] {
			me.Engines[0].Crash()
		}
		all.Wait()
		if refused > 0 || st.crashCount() != 3 {
			t.Errorf("%d lookups were refused as if they had crashed %d engines", refused, st.crashCount())
		}
	})
}
