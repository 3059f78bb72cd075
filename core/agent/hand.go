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
	// maxConcurrentHandovers bounds the contexts that a leaving agent moves at a time, and
	// takeAtOnce those that an agent takes in: its engine has calls to serve.
	maxConcurrentHandovers = 4
	maxConcurrentImports   = 4
	// maxHandovers bounds what a leaving agent hands on, of each kind.
	maxHandovers = 20_000
	// maxPlacementsPerMessage bounds the pointers in one message.
	maxPlacementsPerMessage = 64
)

// HandoverStats counts what an agent handed on when it left.
type HandoverStats struct {
	Pointers int
	Contexts int
	Refused  int
	Bytes    core.Bytes
}

// Shutdown refuses new calls, and waits for those in progress until ctx ends, which
// is its error. Meanwhile it hands on what it knows of chats, and at the end the
// contexts that the last calls left behind, each within that time, and most bytes
// in all.
func (ag *Agent) Shutdown(ctx context.Context, timeout time.Duration, maxBytes core.Bytes) (HandoverStats, error) {
	ag.StopAccepting()
	ag.FlushPlacements(ctx)
	began := ag.Clock.Now()
	first := make(chan HandoverStats, 1)
	go func() { first <- ag.handOver(ctx, time.Time{}, timeout, maxBytes) }()
	err := ag.Drain(ctx)
	ha := <-first
	rest := ag.handOver(ctx, began, timeout, maxBytes-ha.Bytes)
	ha.Contexts += rest.Contexts
	ha.Refused += rest.Refused
	ha.Bytes += rest.Bytes
	return ha, err
}

// handOver gives what the agent knows of chats to their next homes: first the
// pointers it keeps as their home, which are small, then the contexts in its
// engines' caches, those used last first, but none not used since the time given.
// What is not handed on costs a prefill each, so nothing here is tried twice.
func (ag *Agent) handOver(ctx context.Context, since time.Time, timeout time.Duration, maxBytes core.Bytes) HandoverStats {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sn := ag.Board.Snapshot()
	var ha HandoverStats
	if since.IsZero() {
		ha.Pointers = ag.handOverPointers(ctx, sn)
	}
	ag.handOverContexts(ctx, sn, since, maxBytes, &ha)
	return ha
}

func (ag *Agent) handOverPointers(ctx context.Context, sn *board.Snapshot) int {
	homes := map[core.VMID][]core.Placement{}
	for _, pl := range ag.Book.Pointers(maxHandovers) {
		if home := ag.nextHome(sn, &pl); home != "" {
			homes[home] = append(homes[home], pl)
		}
	}
	handed := 0
	for home, pls := range homes {
		for len(pls) > 0 {
			batch := pls[:min(maxPlacementsPerMessage, len(pls))]
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

func (ag *Agent) handOverContexts(ctx context.Context, sn *board.Snapshot, since time.Time, maxBytes core.Bytes, ha *HandoverStats) {
	var moved, done, refused atomic.Int64
	var moving sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentHandovers)
	for _, he := range ag.Book.Cached(maxHandovers) {
		if !he.LastUsed().After(since) || ctx.Err() != nil || core.Bytes(moved.Load()) >= maxBytes {
			break
		}
		slots <- struct{}{}
		moving.Go(func() {
			defer func() { <-slots }()
			size, err := ag.handOverContext(ctx, sn, &he)
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

// handOverContext moves one context, from the own engine as it is read by the other.
func (ag *Agent) handOverContext(ctx context.Context, sn *board.Snapshot, he *ctxdir.CachedContext) (int64, error) {
	home := ag.nextHome(sn, &he.Placement)
	ca := ag.cacheOf(he.Endpoint)
	if home == "" || ca == nil {
		return 0, ag.refuse(core.ReasonNoEndpoint, "hand on", "no agent to hand it to, or an engine that cannot export")
	}
	key := ring.Key(he.Placement.Customer, he.Placement.Pool, he.Placement.Chat)
	rd, wr := io.Pipe()
	go func() { wr.CloseWithError(ca.Export(ctx, key, wr)) }()
	counted := &countingReader{from: rd}
	err := ag.Peers.HandOver(ctx, home, &core.Handover{Placement: he.Placement, Tokens: he.Tokens}, counted)
	// The exporter may still be writing where the other side refused.
	_ = rd.CloseWithError(io.ErrClosedPipe)
	return counted.size, err
}

// countingReader counts the bytes read; one goroutine reads it.
type countingReader struct {
	from io.Reader
	size int64
}

// Read reads on.
func (co *countingReader) Read(data []byte) (int, error) {
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

// ImportContext takes in a context that another agent hands on. The error is a
// *core.Refusal.
func (ag *Agent) ImportContext(ctx context.Context, ha *core.Handover, rd io.Reader) error {
	pl := ha.Placement
	key := ring.Key(pl.Customer, pl.Pool, pl.Chat)
	sl, _ := ag.chooseSlot(pl.Pool, key)
	if sl == nil || ag.cacheOf(sl.ID) == nil {
		return ag.refuse(core.ReasonWrongPool, "take", "no engine of pool "+string(pl.Pool)+" here that can import")
	}
	if ag.Draining() || sl.Paused() {
		return ag.refuse(core.ReasonDraining, "take", "the agent or its engine is leaving")
	}
	if ag.importing.Add(1) > maxConcurrentImports {
		ag.importing.Add(-1)
		return ag.refuse(core.ReasonQueueFull, "take", "other contexts are being taken in")
	}
	defer ag.importing.Add(-1)
	if err := ag.cacheOf(sl.ID).Import(ctx, key, rd); err != nil {
		return core.AsRefusal(err, "take", string(sl.ID))
	}
	pl.VM = ag.Self
	ag.addContext(ag.Board.Snapshot(), key, ctxdir.CachedContext{Endpoint: sl.ID, Tokens: ha.Tokens, Placement: pl})
	return nil
}
