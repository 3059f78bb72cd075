// Package syncer distributes accepted revisions of the configuration to every process.
//
// # Concepts
//
// A revision reaches a process in four ways, each of which suffices by itself:
//
//   - Push: a process that adopts a revision announces it to Fanout random others. They fetch it
//     from the announcing process and announce it in turn.
//   - Piggyback: every message between processes carries the sender's revision; a receiver with a
//     lower one fetches the difference from the sender.
//   - Compare: each process exchanges digests with a random other about once a second.
//   - Poll: each process reads the KV's log, at a rate that keeps the whole fleet within
//     pollsPerSecond. In a large fleet some process therefore polls about every 17 ms.
//
// # Invariants
//
//   - At most one fetch runs at a time. Revisions seen meanwhile are not lost, as the highest one
//     and the peer that has it are kept.
//   - A failed fetch is not retried on its own; the next message triggers another.
//
// # Usage
//
//	sy := &syncer.Syncer{Log: log, Board: bo, Peers: peers, Clock: clock, Rand: rand}
//	go sy.Run(ctx)
//	sy.NotePeerRevision(from, revision)
package syncer

import (
	"context"
	"sync"
	"time"

	"almondrill/core"
	"almondrill/core/board"
	"almondrill/core/revlog"
)

const (
	// Fanout bounds the other processes that get an announcement of a revision in each round.
	Fanout = 4
	// pollsPerSecond is the rate at which the whole fleet polls the KV's log.
	pollsPerSecond = 60
	// minPollDelay limits the poll rate of each process in a small fleet.
	minPollDelay = 500 * time.Millisecond
	// digestSize is the size of the message that announces a revision.
	digestSize core.Bytes = 40
	// announceRounds is how often an adopted revision is announced, each time to newly drawn
	// random processes. The second round makes up for messages lost in the first.
	announceRounds   = 2
	announceInterval = 300 * time.Millisecond
	// compareInterval is the time between exchanges with a random other process. They reach the
	// processes that get neither announcements nor requests while the KV is down.
	compareInterval = time.Second
)

// Syncer keeps the process's configuration up to date and announces new revisions to other
// processes. Set the exported fields before Run.
type Syncer struct {
	Log   *revlog.Log
	Board *board.Board
	Peers core.Peers
	Clock core.Clock
	Rand  core.Rand
	// Digest returns the digest that announces the own revision to a peer.
	Digest func() *core.Digest
	// AllowSend, if set, decides whether a control message of that size may be sent now.
	AllowSend func(size core.Bytes) bool
	// Failed, if set, is called when a poll fails.
	Failed func(err error)

	mu sync.Mutex // guards all below
	// highestRev is the highest revision seen at a peer; source is that peer, empty once the revision
	// is being fetched.
	highestRev core.Revision
	source     core.VMID
	wake       chan struct{}
	announced  core.Revision
}

// Init prepares the Syncer. NotePeerRevision and NoteAdopted may be called from then on.
func (sy *Syncer) Init() {
	sy.mu.Lock()
	defer sy.mu.Unlock()
	if sy.wake == nil {
		sy.wake = make(chan struct{}, 1)
	}
}

// NotePeerRevision records the revision that a peer's message carried, and schedules a fetch if it is
// higher than the own one.
func (sy *Syncer) NotePeerRevision(from core.VMID, rev core.Revision) {
	if rev <= sy.Log.Revision() {
		return
	}
	sy.mu.Lock()
	defer sy.mu.Unlock()
	if rev > sy.highestRev || sy.source == "" {
		sy.highestRev, sy.source = rev, from
	}
	sy.signal()
}

// NoteAdopted records that the own revision rose, and schedules its announcement.
func (sy *Syncer) NoteAdopted() {
	sy.mu.Lock()
	defer sy.mu.Unlock()
	sy.signal()
}

func (sy *Syncer) signal() {
	select {
	case sy.wake <- struct{}{}:
	default:
	}
}

// Run fetches, announces and polls until ctx ends.
func (sy *Syncer) Run(ctx context.Context) error {
	sy.Init()
	go sy.poll(ctx)
	go sy.compare(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sy.wake:
		}
		sy.fetch(ctx)
		if rev := sy.Log.Revision(); rev > sy.announced {
			sy.announced = rev
			go sy.announce(ctx)
		}
	}
}

// fetch fetches the missing changes from the peer with the highest revision seen.
func (sy *Syncer) fetch(ctx context.Context) {
	sy.mu.Lock()
	from, rev := sy.source, sy.highestRev
	sy.source = ""
	sy.mu.Unlock()
	if from == "" || rev <= sy.Log.Revision() {
		return
	}
	ch, err := sy.Peers.Fetch(ctx, from, sy.Log.Revision())
	if err != nil {
		return
	}
	// A response with a gap is treated like a failed fetch.
	_ = sy.Log.Apply(ch)
}

// announce sends digests to random other processes, which fetch the revision if they lack it.
func (sy *Syncer) announce(ctx context.Context) {
	for range announceRounds {
		sn := sy.Board.Snapshot()
		all := len(sn.Agents) + len(sn.Routers)
		for range min(Fanout, all-1) {
			sy.exchangeWithRandom(ctx, sn, all)
		}
		if sy.Clock.Sleep(ctx, announceInterval) != nil {
			return
		}
	}
}

// compare exchanges digests with a random other process about every compareInterval.
func (sy *Syncer) compare(ctx context.Context) {
	for sy.Clock.Sleep(ctx, time.Duration(float64(compareInterval)*(0.75+sy.Rand.Float64()/2))) == nil {
		sn := sy.Board.Snapshot()
		if all := len(sn.Agents) + len(sn.Routers); all > 1 {
			sy.exchangeWithRandom(ctx, sn, all)
		}
	}
}

func (sy *Syncer) exchangeWithRandom(ctx context.Context, sn *board.Snapshot, all int) {
	ix := int(sy.Rand.Uint64() % uint64(all))
	var to core.VMID
	if ix < len(sn.Agents) {
		to = sn.Agents[ix]
	} else {
		to = sn.Routers[ix-len(sn.Agents)]
	}
	if to == sy.Board.Self.ID || (sy.AllowSend != nil && !sy.AllowSend(digestSize)) {
		return
	}
	go func() {
		if di, err := sy.Peers.Exchange(ctx, to, sy.revisionDigest()); err == nil {
			sy.NotePeerRevision(to, di.Revision)
		}
	}()
}

// revisionDigest returns the own digest without loads, which are exchanged only within pools.
func (sy *Syncer) revisionDigest() *core.Digest {
	di := sy.Digest()
	di.Loads = nil
	return di
}

// poll polls the KV's log. A process that starts while the KV is down gets the configuration from
// the first peer with which it exchanges digests.
func (sy *Syncer) poll(ctx context.Context) {
	for {
		err := sy.Log.Refresh(ctx)
		if err != nil && sy.Failed != nil && ctx.Err() == nil {
			sy.Failed(err)
		}
		if sy.Log.Revision() > 0 {
			sy.NoteAdopted()
		}
		if sy.Clock.Sleep(ctx, sy.pollDelay()) != nil {
			return
		}
	}
}

// pollDelay is the time between this process's polls: the number of processes divided by
// pollsPerSecond, at least minPollDelay, with jitter. A process without a configuration polls every
// minPollDelay.
func (sy *Syncer) pollDelay() time.Duration {
	sn := sy.Board.Snapshot()
	fleet := len(sn.Agents) + len(sn.Routers)
	delay := max(minPollDelay, time.Duration(fleet)*time.Second/pollsPerSecond)
	if sy.Log.Revision() == 0 {
		delay = minPollDelay
	}
	return time.Duration(float64(delay) * (0.75 + sy.Rand.Float64()/2))
}
