package trial_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"almondrill/core"
)

// crash has engines crash under calls whose bodies begin so.
const crashBody = "crash"

func (st *stage) crashing(after, away time.Duration) {
	for _, me := range st.fl.LiveAgents() {
		for _, en := range me.Engines {
			en.Crashes.UnderBody, en.Crashes.After, en.Crashes.Away = crashBody, after, away
		}
	}
}

func (st *stage) crashes() int {
	count := 0
	for _, me := range st.fl.All() {
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
func TestRequestThatCrashesItsEnginesIsGivenUp(t *testing.T) {
	const returns, most = 20, 6
	for seed, repeat := range map[uint64]bool{41: true, 42: false} {
		t.Run(fmt.Sprint("repeat=", repeat), func(t *testing.T) {
			onStage(t, seed, func(st *stage) {
				st.crashing(100*time.Millisecond, 3*time.Second)
				var all sync.WaitGroup
				all.Go(func() { st.callers(6, 25*time.Second) })
				time.Sleep(2 * time.Second)
				for ix := range returns {
					if te, re := st.ask(ix%3, crashBody, "", repeat); re == nil {
						t.Errorf("it was answered: %v", te)
					}
					time.Sleep(time.Second)
				}
				all.Wait()
				if got := st.crashes(); got > most {
					t.Errorf("%d engines crashed in %d returns, at most %d allowed", got, returns, most)
				}
				if _, re := st.ask(0, crashBody, "", repeat); re == nil || re.Outcome != core.NotRun || re.RetryAfter == 0 {
					t.Errorf("in the end it is told %v, want not run and when to return", re)
				}
				if te, re := st.ask(1, "harmless", "", repeat); re != nil {
					t.Errorf("a harmless request: %v %v", te, re)
				}
			})
		})
	}
}
