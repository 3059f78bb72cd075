package agent

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"almondrill/core"
	"almondrill/core/board"
	"almondrill/core/ctxdir"
	"almondrill/core/pick"
	"almondrill/core/ring"
)

const (
	// handAtOnce bounds the contexts that a leaving agent moves at a time, and
	// takeAtOnce those that an agent takes in: its engine has calls to serve.
	handAtOnce = 4
	takeAtOnce = 4
	// mostHanded bounds what a leaving agent hands on, of each kind.
	mostHanded = 20_000
	// placesAtOnce bounds the pointers in one message.
	placesAtOnce = 64
)

// Handed counts what an agent handed on when it left.
type Handed struct {
	Pointers int
	Contexts int
	Refused  int
	Bytes    core.Bytes
}

// Leave refuses new calls, and waits for those in progress until ctx ends, which
// is its error. Meanwhile it hands on what it knows of chats, and at the end the
// contexts that the last calls left behind, each within that time, and most bytes
// in all.
func (ag *Agent) Leave(ctx context.Context, within time.Duration, most core.Bytes) (Handed, error) {
	ag.StopTaking()
	ag.FlushPlacements(ctx)
	began := ag.Clock.Now()
	first := make(chan Handed, 1)
	go func() { first <- ag.handOn(ctx, time.Time{}, within, most) }()
	err := ag.Drain(ctx)
	ha := <-first
	rest := ag.handOn(ctx, began, within, most-ha.Bytes)
	ha.Contexts += rest.Contexts
	ha.Refused += rest.Refused
	ha.Bytes += rest.Bytes
	return ha, err
}

// handOn gives what the agent knows of chats to their next homes: first the
// pointers it keeps as their home, which are small, then the contexts in its
// engines' caches, those used last first, but none not used since the time given.
// What is not handed on costs a prefill each, so nothing here is tried twice.
func (ag *Agent) handOn(ctx context.Context, since time.Time, within time.Duration, most core.Bytes) Handed {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	sn := ag.Board.Snapshot()
	var ha Handed
	if since.IsZero() {
		ha.Pointers = ag.handPointers(ctx, sn)
	}
	ag.handContexts(ctx, sn, since, most, &ha)
	return ha
}

func (ag *Agent) handPointers(ctx context.Context, sn *board.Snapshot) int {
	homes := map[core.VMID][]core.Placement{}
	for _, pl := range ag.Book.Pointers(mostHanded) {
		if home := ag.nextHome(sn, &pl); home != "" {
			homes[home] = append(homes[home], pl)
		}
	}
	handed := 0
	for home, pls := range homes {
		for len(pls) > 0 {
			batch := pls[:min(placesAtOnce, len(pls))]
			pls = pls[len(batch):]
			if ag.waitToSend(ctx, placementSize*core.Bytes(len(batch))) != nil {
				return handed
			}
			if ag.Peers.UpdatePlacements(ctx, home, batch) == nil {
				handed += len(batch)
			}
		}
	}
	return handed
}

// waitToSend waits until the budget allows a message: pointers are few enough to
// go out within seconds, and leaving has the time.
func (ag *Agent) waitToSend(ctx context.Context, size core.Bytes) error {
	const retry = 100 * time.Millisecond
	for !ag.maySend(size) {
		if err := ag.Clock.Sleep(ctx, retry); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// nextHome is the chat's home once this agent has left, "" if there is none.
func (ag *Agent) nextHome(sn *board.Snapshot, pl *core.Placement) core.VMID {
	po := sn.Pools[pl.Pool]
	if po == nil {
		return ""
	}
	ix := pick.HomeWithout(po, ring.Key(pl.Customer, pl.Pool, pl.Chat), ag.Self)
	if ix < 0 {
		return ""
	}
	return po.Members[ix].VM
}

func (ag *Agent) handContexts(ctx context.Context, sn *board.Snapshot, since time.Time, most core.Bytes, ha *Handed) {
	var moved, done, refused atomic.Int64
	var moving sync.WaitGroup
	slots := make(chan struct{}, handAtOnce)
	for _, he := range ag.Book.Cached(mostHanded) {
		if !he.LastUsed().After(since) || ctx.Err() != nil || core.Bytes(moved.Load()) >= most {
			break
		}
		slots <- struct{}{}
		moving.Go(func() {
			defer func() { <-slots }()
			size, err := ag.handOne(ctx, sn, &he)
			moved.Add(size)
			if err != nil {
				refused.Add(1)
				return
			}
			done.Add(1)
		})
	}
	moving.Wait()
	ha.Contexts, ha.Refused, ha.Bytes = int(done.Load()), int(refused.Load()), core.Bytes(moved.Load())
}

// handOne moves one context, from the own engine as it is read by the other.
func (ag *Agent) handOne(ctx context.Context, sn *board.Snapshot, he *ctxdir.CachedContext) (int64, error) {
	home := ag.nextHome(sn, &he.Placement)
	ca := ag.cacheOf(he.Endpoint)
	if home == "" || ca == nil {
		return 0, ag.refuse(core.ReasonNoEndpoint, "hand on", "no agent to hand it to, or an engine that cannot export")
	}
	key := ring.Key(he.Placement.Customer, he.Placement.Pool, he.Placement.Chat)
	rd, wr := io.Pipe()
	go func() { wr.CloseWithError(ca.Export(ctx, key, wr)) }()
	counted := &counter{from: rd}
	err := ag.Peers.HandOver(ctx, home, &core.Handover{Placement: he.Placement, Tokens: he.Tokens}, counted)
	// The exporter may still be writing where the other side refused.
	_ = rd.CloseWithError(io.ErrClosedPipe)
	return counted.size, err
}

// counter counts the bytes read; one goroutine reads it.
type counter struct {
	from io.Reader
	size int64
}

// Read reads on.
func (co *counter) Read(data []byte) (int, error) {
	n, err := co.from.Read(data)
	co.size += int64(n)
	return n, err
}

func (ag *Agent) cacheOf(id core.EndpointID) core.Cache {
	for _, sl := range ag.Slots {
		if sl.ID == id {
			ca, _ := sl.Endpoint.(core.Cache)
			return ca
		}
	}
	return nil
}

// Take takes in a context that another agent hands on. The error is a
// *core.Refusal.
func (ag *Agent) Take(ctx context.Context, ha *core.Handover, rd io.Reader) error {
	pl := ha.Placement
	key := ring.Key(pl.Customer, pl.Pool, pl.Chat)
	sl, _ := ag.choose(pl.Pool, key)
	if sl == nil || ag.cacheOf(sl.ID) == nil {
		return ag.refuse(core.ReasonWrongPool, "take", "no engine of pool "+string(pl.Pool)+" here that can import")
	}
	if ag.Draining() || sl.Held() {
		return ag.refuse(core.ReasonDraining, "take", "the agent or its engine is leaving")
	}
	if ag.taking.Add(1) > takeAtOnce {
		ag.taking.Add(-1)
		return ag.refuse(core.ReasonQueueFull, "take", "other contexts are being taken in")
	}
	defer ag.taking.Add(-1)
	if err := ag.cacheOf(sl.ID).Import(ctx, key, rd); err != nil {
		return core.AsRefusal(err, "take", string(sl.ID))
	}
	pl.VM = ag.Self
	ag.keep(ag.Board.Snapshot(), key, ctxdir.CachedContext{Endpoint: sl.ID, Tokens: ha.Tokens, Placement: pl})
	return nil
}
