package trial_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/router"
)

// crashBody is the start of the body of requests that crash engines.
const crashBody = "crash"

// crashOnBody makes engines crash when they have run a request with crashBody for the duration after,
// and return when downtime has passed.
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

// A caller retries a request that crashes the engine that runs it, through alternating routers and
// while other callers chat. Without a quarantine, each agent sees only its own engine's crash, and
// routers retry on the next engine, so 20 retries crash more than 20 engines. The limit is three
// crashes, plus three while the notices about them reach all routers.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const retries, maxCrashes = 20, 6
	for seed, repeat := range map[uint64]bool{41: true, 42: false} {
		t.Run(fmt.Sprint("repeat=", repeat), func(t *testing.T) {
			runHarness(t, seed, func(st *harness) {
				st.crashOnBody(100*time.Millisecond, 3*time.Second)
				var all sync.WaitGroup
				all.Go(func() { st.runCallers(6, 25*time.Second) })
				time.Sleep(2 * time.Second)
				for ix := range retries {
					if te, re := st.send(ix%3, crashBody, "", repeat); re == nil {
						t.Errorf("the crashing request was answered: %v", te)
					}
					time.Sleep(time.Second)
				}
				all.Wait()
				// By now one retry may be the trial that tests whether the request still crashes engines.
				_, _ = st.send(0, crashBody, "", repeat)
				if _, re := st.send(0, crashBody, "", repeat); re == nil || re.Outcome != core.NotRun || re.RetryAfter == 0 {
					t.Errorf("the last retry got %v, want NotRun with RetryAfter", re)
				}
				if got := st.crashCount(); got > maxCrashes {
					t.Errorf("%d engines crashed in %d retries, want at most %d", got, retries+2, maxCrashes)
				}
				time.Sleep(5 * time.Second)
				if te, re := st.send(1, "harmless", "", repeat); re != nil {
					t.Errorf("a harmless request got %v %v", te, re)
				}
			})
		})
	}
}

// All routers are lost after a request has been quarantined. A new router must load the quarantine
// from the KV and refuse the request at once.
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
			t.Errorf("the new router returned %v; %d crashes before, %d after", re, before, st.crashCount())
		}
	})
}

// Half of the engines crash, not because of a request, while many callers send identical requests. The
// requests must not be quarantined, as the other engines can serve them throughout.
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
			t.Errorf("%d lookups were refused as quarantined; %d engines crashed, want 3", refused, st.crashCount())
		}
	})
}
