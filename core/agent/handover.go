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
	// maxConcurrentHandovers is the number of contexts that a draining agent sends at a time, and
	// maxConcurrentImports the number that an agent receives at a time: its engine also serves calls.
	maxConcurrentHandovers = 4
	maxConcurrentImports   = 4
	// maxHandovers is the maximum number of pointers that a draining agent hands over, and also the
	// maximum number of contexts.
	maxHandovers = 20_000
	// maxPlacementsPerMessage is the maximum number of pointers in one message.
	maxPlacementsPerMessage = 64
)

// HandoverStats counts what an agent handed over during Shutdown.
type HandoverStats struct {
	Pointers int
	Contexts int
	Refused  int
	Bytes    core.Bytes
}

// Shutdown refuses new calls and waits for those in progress; if ctx ends first, it returns the
// error of ctx. Meanwhile it hands over its pointers and cached contexts to other agents, and
// finally the contexts of the last calls. Each of these two steps takes at most timeout, and
// maxBytes limits the size of all contexts together.
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

// handOver sends pointers and cached contexts to the agents that become the homes of the chats.
// Pointers go first, as they are small, and only if since is zero. Then it sends the contexts in
// the engines' caches that were used after since, the most recently used first. Nothing is
// retried: a pointer or context that is not handed over costs one prefill.
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

// waitToSend waits until the budget for control messages allows a message. The pointers are few
// enough to be sent within seconds, and Shutdown has that much time.
func (ag *Agent) waitToSend(ctx context.Context, size core.Bytes) error {
	const retry = 100 * time.Millisecond
	for !ag.maySend(size) {
		if err := ag.Clock.Sleep(ctx, retry); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// nextHome returns the chat's home after this agent has been removed, or "" if there is none.
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

// handOverContext streams one context from the local engine to the next home and returns the number
// of bytes that the transfer read.
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
	// If the receiver refused, the exporter may still be writing: closing the pipe ends it.
	_ = rd.CloseWithError(io.ErrClosedPipe)
	return counted.size, err
}

// countingReader counts the bytes read. It is not safe for concurrent use.
type countingReader struct {
	from io.Reader
	size int64
}

// Read implements io.Reader.
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

// ImportContext loads a context that another agent hands over into a local engine's cache. An error
// that it returns is a *core.Refusal.
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
