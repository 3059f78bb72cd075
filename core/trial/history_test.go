package trial_test

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/router"
	"almondrill/io/clock"
	"almondrill/io/fakes/audit"
	"almondrill/io/fakes/inmem"
	"almondrill/io/fakes/kvsrv"
)

// explore is the number of random histories to run in addition to those of the fixed seeds, for example
// with -explore 100.
var explore = flag.Int("explore", 0, "number of additional histories with random seeds")

// harness runs a small fleet with an audit of what callers got and what engines ran.
type harness struct {
	t     *testing.T
	fl    *inmem.Fleet
	audit *audit.Audit
	ctx   context.Context
	phase int // makes nonces unique across calls of runCallers

	mu     sync.Mutex // guards counts
	counts map[core.Outcome]int
}

// runHarness runs a test on a fleet of 3 routers and 6 agents in virtual time.
func runHarness(t *testing.T, seed uint64, test func(st *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		st := &harness{t: t, audit: &audit.Audit{}, ctx: ctx, counts: map[core.Outcome]int{}}
		st.fl = &inmem.Fleet{
			Seed: seed, Routers: 3, Agents: 6, Pool: poolID, VMListLag: 5 * time.Second,
			Document: document(decl.Limits{FloorWork: 500, Slots: 8, QueueCalls: 16}, 0),
			Engine: func(int) *inmem.Engine {
				return &inmem.Engine{
					Clock: clock.Wall{}, Step: 10 * time.Millisecond, PerCall: time.Millisecond,
					Prefill: 100 * time.Microsecond, CacheTokens: 50_000, Chunk: 5, Audit: st.audit,
				}
			},
		}
		if err := st.fl.Start(ctx); err != nil {
			t.Fatal(err)
		}
		test(st)
		// Let the owners of claim shards finish what they have started.
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// response is a sink that collects a response.
type response struct {
	strings.Builder
	whole bool
}

// Send appends a part.
func (te *response) Send(pa *core.Part) error {
	te.Write(pa.Data)
	te.whole = te.whole || pa.End
	return nil
}

// send sends a request through a router and returns its response and, if it failed, the refusal. A
// non-idempotent request need not have a key.
func (st *harness) send(from int, nonce string, key core.IdemKey, repeat bool) (*response, *core.Refusal) {
	me := st.fl.RouterAt(from)
	te := &response{}
	ctx, cancel := context.WithTimeout(st.ctx, 20*time.Second)
	defer cancel()
	_, err := me.Router.Route(ctx, &router.Request{
		Group: me.Board.Snapshot().Config.Group(poolID),
		Call: core.Call{
			Customer: "c", Pool: poolID, Chat: core.ChatID("chat-" + nonce), Key: key, MayRepeat: repeat,
			Priority: core.PriorityNormal, Deadline: time.Now().Add(20 * time.Second), Prompt: 100, Output: 30,
			Body: []byte(nonce),
		},
	}, te)
	if err == nil {
		return te, nil
	}
	return te, core.AsRefusal(err, "", "")
}

// recordOutcome records the results of all tries of a caller at one request in the audit and counts
// the best outcome.
func (st *harness) recordOutcome(nonce string, answers []*response, refusals []*core.Refusal) {
	best, allNotRun := core.Unknown, true
	for ix, response := range answers {
		outcome := core.Whole
		if refusals[ix] != nil {
			outcome = refusals[ix].Outcome
		} else {
			st.audit.RecordReceived(nonce, response.String())
			if !response.whole {
				st.t.Errorf("%s: success reported without the end mark", nonce)
			}
		}
		best = min(best, outcome)
		allNotRun = allNotRun && outcome == core.NotRun
	}
	if allNotRun {
		st.audit.RecordNotRun(nonce)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.counts[best]++
}

// checkAudit fails the test if the audit found violations of the guarantees.
func (st *harness) checkAudit(what string) {
	st.t.Helper()
	if bad := st.audit.Counts(); bad != (audit.Counts{}) {
		st.t.Errorf("%s: %+v", what, bad)
	}
}

// runCallers runs count callers for the duration d. They send chats, which have no idempotency key, and
// drafts, which have one.
func (st *harness) runCallers(count int, d time.Duration) {
	st.phase++
	phase, end := st.phase, time.Now().Add(d)
	var all sync.WaitGroup
	for caller := range count {
		all.Go(func() {
			ra := clock.NewRand(st.fl.Seed*100 + uint64(caller))
			for n := 0; time.Now().Before(end); n++ {
				nonce := fmt.Sprintf("%d-%d-%d", phase, caller, n)
				if ra.Uint64()%2 == 0 {
					st.sendDraft(nonce, ra)
				} else {
					te, re := st.send(int(ra.Uint64()%3), nonce, "", ra.Uint64()%2 == 0)
					st.recordOutcome(nonce, []*response{te}, []*core.Refusal{re})
				}
				time.Sleep(time.Duration(ra.Uint64()%200) * time.Millisecond)
			}
		})
	}
	all.Wait()
}

// sendDraft sends a request with an idempotency key through two routers at once, and if both tries
// fail a third time through another router.
func (st *harness) sendDraft(nonce string, ra core.Rand) {
	answers, refusals := make([]*response, 3), make([]*core.Refusal, 3)
	first := int(ra.Uint64() % 3)
	var both sync.WaitGroup
	for ix := range 2 {
		both.Go(func() { answers[ix], refusals[ix] = st.send((first+ix)%3, nonce, core.IdemKey(nonce), false) })
	}
	both.Wait()
	count := 2
	if refusals[0] != nil && refusals[1] != nil {
		time.Sleep(time.Second)
		answers[2], refusals[2] = st.send((first+2)%3, nonce, core.IdemKey(nonce), false)
		count = 3
	}
	st.recordOutcome(nonce, answers[:count], refusals[:count])
}

// injectFaults injects random faults until ctx ends. Several may be active at a time.
func (st *harness) injectFaults(ctx context.Context, ra core.Rand) {
	fl := st.fl
	for round := 0; fl.Clock.Sleep(ctx, time.Duration(300+ra.Uint64()%700)*time.Millisecond) == nil; round++ {
		live := fl.LiveAgents()
		if len(live) == 0 {
			continue
		}
		one := live[ra.Uint64()%uint64(len(live))]
		switch ra.Uint64() % 8 {
		case 0:
			fl.Store.SetFaults(kvsrv.Faults{Down: true})
		case 1:
			fl.Store.SetFaults(kvsrv.Faults{ReplyLoss: 0.6})
		case 2:
			fl.Store.SetFaults(kvsrv.Faults{Delay: 300 * time.Millisecond})
		case 3:
			fl.Net.SetReplyLoss(0.2)
		case 4:
			fl.Net.SetPartition(fl.RouterAt(int(ra.Uint64()%3)).ID, one.ID, ra.Uint64()%2 == 0)
		case 5:
			if len(live) > 3 {
				one.Kill()
				fl.SetState(one, core.VMGone)
				// The same VM returns with a new process.
				fl.AddAgent(string(one.ID), round)
			}
		case 6:
			if len(live) > 3 {
				// Either only marked in the VM list or shut down gracefully as well.
				if fl.SetState(one, core.VMDraining); round%2 == 0 {
					fl.Shutdown(one, 1<<20)
				}
				fl.AddAgent(fmt.Sprint("joiner-", round), round)
			}
		default:
			fl.Store.SetFaults(kvsrv.Faults{})
			fl.Net.SetReplyLoss(0)
		}
	}
	fl.Store.SetFaults(kvsrv.Faults{})
	fl.Net.SetReplyLoss(0)
}

// Callers send requests with and without idempotency keys while VMs crash, return, drain and join,
// connections are cut, replies are lost and the KV fails, often several of these at a time. No keyed
// request may run twice, no caller may get another's response or a truncated one as complete, and a
// request that is reported as NotRun must not have run.
func TestGuaranteesHoldUnderFailures(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4, 5, 6}
	for range *explore {
		seeds = append(seeds, clock.RandomSeed()%1e6)
	}
	for _, seed := range seeds {
		runHarness(t, seed, func(st *harness) {
			faulty, stop := context.WithCancel(st.ctx)
			go st.injectFaults(faulty, clock.NewRand(seed+1000))
			st.runCallers(8, 30*time.Second)
			stop()
			st.checkAudit(fmt.Sprint("seed ", seed))
			if st.counts[core.Whole] < 100 || st.counts[core.NotRun]+st.counts[core.Unknown]+st.counts[core.Failed] == 0 {
				t.Errorf("seed %d: %v: too few successes or no failures, the history proves little", seed, st.counts)
			}
		})
	}
}
