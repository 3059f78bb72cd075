// Package syncer brings accepted revisions to every process.
//
// # Concepts
//
// Four ways, each enough by itself:
//
//   - Push: a process that adopts a revision tells Fanout random others, which
//     fetch it from the teller and tell others in turn.
//   - Every message between processes carries the sender's revision; one that
//     hears of a higher one fetches the rest from that peer.
//   - Compare: each process swaps digests with a random other every second or so.
//   - Poll: each process reads the KV's log at a pace that keeps the whole fleet
//     within PollsPerSecond, so a fleet of any size has one poll every few
//     milliseconds somewhere.
//
// # Invariants
//
//   - At most one fetch runs at a time; what is heard meanwhile is not lost, as
//     the highest revision heard and its teller are kept.
//   - A fetch that fails is not repeated by itself: the next message brings it.
//
// # Usage
//
//	sp := &spread.Spreader{Log: log, Board: bo, Peers: peers, Clock: clock, Rand: rand}
//	go sp.Run(ctx)
//	sp.Heard(from, revision)
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
	// Fanout is how many others a process tells of a revision it has adopted.
	Fanout = 4
	// pollsPerSecond is the whole fleet's pace of reading the KV's log.
	pollsPerSecond = 60
	// minPollDelay bounds the pace in a small fleet.
	minPollDelay = 500 * time.Millisecond
	// digestSize is the size of the message that tells of a revision.
	digestSize core.Bytes = 40
	// announceRounds is how often an adopted revision is told; the second time reaches
	// those whom the first found behind a lost message.
	announceRounds   = 2
	announceInterval = 300 * time.Millisecond
	// compareInterval is how often a process compares revisions with a random other:
	// it finds those whom neither push nor request reaches while the KV is down.
	compareInterval = time.Second
)

// Syncer spreads revisions. Set the exported fields before Run.
type Syncer struct {
	Log   *revlog.Log
	Board *board.Board
	Peers core.Peers
	Clock core.Clock
	Rand  core.Rand
	// Digest makes the message that tells a peer of the own revision.
	Digest func() *core.Digest
	// Sending, if set, is asked before a control message is sent.
	AllowSend func(size core.Bytes) bool
	// Failed, if set, is told of a poll that failed.
	Failed func(err error)

	mu         sync.Mutex // guards all below
	highestRev core.Revision
	source     core.VMID
	wake       chan struct{}
	announced  core.Revision
}

// Init makes the Spreader ready for Heard.
func (sy *Syncer) Init() {
	sy.mu.Lock()
	defer sy.mu.Unlock()
	if sy.wake == nil {
		sy.wake = make(chan struct{}, 1)
	}
}

// NotePeerRevision notes the revision that a peer's message carried.
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

// NoteAdopted notes that the own revision went up, to tell others.
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

// Run fetches, tells and polls until ctx ends.
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

// fetch takes over what the teller of the highest revision heard has.
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
	// A peer's answer with a gap is as good as none.
	_ = sy.Log.Apply(ch)
}

// announce sends digests to random others; they fetch when they see the revision.
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

// compare swaps digests with a random other now and then.
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

// revisionDigest is the own digest without loads, which only pools exchange.
func (sy *Syncer) revisionDigest() *core.Digest {
	di := sy.Digest()
	di.Loads = nil
	return di
}

// poll reads the KV's log. A process that starts while the KV is down takes the
// configuration from the first peer that it compares revisions with.
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

// pollDelay is the wait between polls: the fleet's size over its pace, with jitter.
func (sy *Syncer) pollDelay() time.Duration {
	sn := sy.Board.Snapshot()
	fleet := len(sn.Agents) + len(sn.Routers)
	delay := max(minPollDelay, time.Duration(fleet)*time.Second/pollsPerSecond)
	if sy.Log.Revision() == 0 {
		delay = minPollDelay
	}
	return time.Duration(float64(delay) * (0.75 + sy.Rand.Float64()/2))
}
