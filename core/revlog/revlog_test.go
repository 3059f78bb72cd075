package revlog_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/revlog"
	"almondrill/io/clock"
	"almondrill/io/fakes/kvsrv"
)

// explore adds that many histories with random seeds, such as -explore 1000.
var explore = flag.Int("explore", 0, "check this many more histories, with random seeds")

func document(model string) *decl.Document {
	return &decl.Document{Pools: []decl.Pool{{Name: "chat", Model: model}}}
}

// process is the log of one process, with the revisions that it adopted.
type process struct {
	*revlog.Log
	adopted []core.Revision
	behind  int
}

func newProcess(kv core.KV, ra core.Rand) *process {
	pr := &process{}
	pr.Log = &revlog.Log{
		KV: kv, Clock: clock.Wall{}, Rand: ra,
		Adopt:  func(cfg *decl.Config) { pr.adopted = append(pr.adopted, cfg.Revision) },
		Behind: func(core.Revision) { pr.behind++ },
	}
	return pr
}

func (pr *process) checkRising(t *testing.T) {
	t.Helper()
	for ix := 1; ix < len(pr.adopted); ix++ {
		if pr.adopted[ix] <= pr.adopted[ix-1] {
			t.Errorf("revision %d adopted after %d", pr.adopted[ix], pr.adopted[ix-1])
		}
	}
}

func newStore(seed uint64) (*kvsrv.Store, *clock.Rand) {
	ra := clock.NewRand(seed)
	return &kvsrv.Store{Clock: clock.Wall{}, Rand: ra, Latency: 2 * time.Millisecond}, ra
}

type commitInput struct{ planned core.Revision }

type commitOutput struct {
	accepted  core.Revision
	uncertain bool
	refused   bool // for a reason other than a conflict
}

// commitModel is the sequential specification: a commit is accepted as planned+1 if that is the next
// revision, and conflicts otherwise. One with an uncertain result may have been accepted or not.
var commitModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{core.Revision(0)} },
	Step: func(state, input, output any) []any {
		rev, in, out := state.(core.Revision), input.(commitInput), output.(commitOutput)
		next := rev == in.planned
		switch {
		case out.accepted != 0 && next && out.accepted == rev+1:
			return []any{rev + 1}
		case out.accepted != 0:
			return nil
		case out.uncertain && next:
			return []any{rev, rev + 1}
		case out.uncertain || out.refused || !next:
			return []any{rev}
		}
		return nil
	},
	Equal: func(one, two any) bool { return one == two },
}).ToModel()

// Several operators commit at once through different processes while the KV fails, slows down and
// loses responses. Each revision must belong to one change, no commit may be reported as accepted
// when another has its revision, and no reader may revert to a lower revision.
func TestRacingOperatorsAreLinearizable(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4, 5, 6}
	for range *explore {
		seeds = append(seeds, clock.RandomSeed())
	}
	for _, seed := range seeds {
		synctest.Test(t, func(t *testing.T) { raceOperators(t, seed) })
	}
}

func raceOperators(t *testing.T, seed uint64) {
	store, _ := newStore(seed)
	ctx, cancel := context.WithCancel(context.Background())
	go cycleFaults(ctx, store, clock.NewRand(seed*10+1))
	reader := newProcess(store, clock.NewRand(seed*10+2))
	go func() {
		for (clock.Wall{}).Sleep(ctx, 30*time.Millisecond) == nil {
			_ = reader.Refresh(ctx)
		}
	}()
	var mu sync.Mutex
	var ops []porcupine.Operation
	var operators sync.WaitGroup
	for client := range 4 {
		operators.Go(func() {
			ra := clock.NewRand(seed*10 + 3 + uint64(client))
			pr := newProcess(store, ra)
			for n := range 12 {
				_ = clock.Wall{}.Sleep(ctx, time.Duration(ra.Uint64()%uint64(20*time.Millisecond)))
				op := commitOnce(ctx, pr, client, fmt.Sprint(client, "-", n))
				mu.Lock()
				ops = append(ops, op)
				mu.Unlock()
			}
			pr.checkRising(t)
		})
	}
	operators.Wait()
	cancel()
	synctest.Wait()
	reader.checkRising(t)
	accepted, faulted := 0, 0
	for _, op := range ops {
		out := op.Output.(commitOutput)
		if out.accepted != 0 {
			accepted++
		}
		if out.uncertain || out.refused {
			faulted++
		}
	}
	if accepted < 5 || faulted == 0 {
		t.Errorf("seed %d: of %d changes %d were accepted and %d met a fault, too few to test anything", seed, len(ops), accepted, faulted)
	}
	if !porcupine.CheckOperations(commitModel, ops) {
		t.Errorf("seed %d: the history is not linearizable", seed)
	}
}

// cycleFaults gives the KV one fault after the other, each for up to 60 ms. The faults come in a
// fixed order, and each process has its own source of randomness: from a shared one, the order in
// which goroutines draw would decide whether a history meets a fault.
func cycleFaults(ctx context.Context, store *kvsrv.Store, ra core.Rand) {
	kinds := []kvsrv.Faults{{}, {Down: true}, {ReplyLoss: 0.5}, {Delay: 40 * time.Millisecond}}
	for turn := 0; ; turn++ {
		store.SetFaults(kinds[turn%len(kinds)])
		if (clock.Wall{}).Sleep(ctx, time.Duration(ra.Uint64()%uint64(60*time.Millisecond))) != nil {
			return
		}
	}
}

func commitOnce(ctx context.Context, pr *process, client int, id string) porcupine.Operation {
	ctx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
	defer cancel()
	_ = pr.Refresh(ctx)
	_, planned := pr.Document()
	op := porcupine.Operation{ClientId: client, Input: commitInput{planned}, Call: time.Now().UnixNano()}
	rev, err := pr.Commit(ctx, planned, document(id), revlog.Meta{ID: id, Author: "operator"})
	op.Return = time.Now().UnixNano()
	out := commitOutput{accepted: rev}
	var uncertain *revlog.Uncertain
	var conflict *revlog.Conflict
	switch {
	case errors.As(err, &uncertain):
		out.uncertain = true
		op.Return = time.Now().Add(time.Hour).UnixNano()
	case err != nil && !errors.As(err, &conflict):
		out.refused = true
	}
	op.Output = out
	return op
}

// An operator's job loses the response to an accepted commit and runs again, also through another
// process. It must get the revision that it has, not a conflict with itself.
func TestRetriedCommitReturnsTheSameRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, ra := newStore(1)
		ctx := context.Background()
		first, second := newProcess(store, ra), newProcess(store, ra)
		for _, pr := range []*process{first, second, first} {
			rev, err := pr.Commit(ctx, 0, document("m"), revlog.Meta{ID: "job-7", Author: "a"})
			if err != nil || rev != 1 {
				t.Fatalf("commit returned revision %d, error %v; want revision 1 and no error", rev, err)
			}
		}
	})
}

// A new VM starts after 1250 changes. It must start from a snapshot and the log entries after it, in
// at most 200 steps. Revisions that are retained must still be readable for a rollback, deleted ones
// must give an error.
func TestStartFromSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, ra := newStore(1)
		ctx := context.Background()
		writer := newProcess(store, ra)
		const changes = 1250
		for n := range changes {
			me := revlog.Meta{ID: fmt.Sprint(n), Author: "a"}
			if _, err := writer.Commit(ctx, core.Revision(n), document(fmt.Sprint("m", n+1)), me); err != nil {
				t.Fatal(err)
			}
		}
		fresh := newProcess(store, ra)
		if err := fresh.Refresh(ctx); err != nil {
			t.Fatal(err)
		}
		doc, rev := fresh.Document()
		if rev != changes || doc.Pools[0].Model != fmt.Sprint("m", changes) {
			t.Errorf("after the start: revision %d, document %+v; want revision and model 1250", rev, doc)
		}
		if len(fresh.adopted) > 200 {
			t.Errorf("adopted %d revisions to start, want at most 200", len(fresh.adopted))
		}
		old, err := fresh.DocumentAt(ctx, 450)
		if err != nil || old.Pools[0].Model != "m450" {
			t.Errorf("DocumentAt(450): document %+v, error %v; want model m450", old, err)
		}
		if _, err = fresh.DocumentAt(ctx, 3); err == nil {
			t.Error("revision 3 is deleted, but was returned")
		}
	})
}

// The KV is restored from an old backup. A process must keep the revision in force, report the older
// KV, and commit no change on top of the older content.
func TestOlderKVRevertsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, ra := newStore(1)
		ctx := context.Background()
		pr := newProcess(store, ra)
		for n := range 3 {
			if _, err := pr.Commit(ctx, core.Revision(n), document(fmt.Sprint("m", n)), revlog.Meta{ID: fmt.Sprint(n)}); err != nil {
				t.Fatal(err)
			}
		}
		pr.KV = &kvsrv.Store{Clock: clock.Wall{}, Rand: ra}
		if err := pr.Refresh(ctx); !errors.Is(err, revlog.ErrKVBehind) || pr.behind != 1 {
			t.Errorf("Refresh with an older KV: error %v, want ErrKVBehind; Behind called %d times, want once", err, pr.behind)
		}
		if _, err := pr.Commit(ctx, 3, document("new"), revlog.Meta{ID: "x"}); !errors.Is(err, revlog.ErrKVBehind) {
			t.Errorf("commit with an older KV: error %v, want ErrKVBehind", err)
		}
		if pr.Revision() != 3 {
			t.Errorf("revision %d in force, want 3", pr.Revision())
		}
	})
}
