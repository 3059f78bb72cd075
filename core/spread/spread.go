// Package spread brings accepted revisions to every process.
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
package spread

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
	// leastPoll bounds the pace in a small fleet.
	leastPoll = 500 * time.Millisecond
	// digestSize is the size of the message that tells of a revision.
	digestSize core.Bytes = 40
	// rounds is how often an adopted revision is told; the second time reaches
	// those whom the first found behind a lost message.
	rounds     = 2
	roundEvery = 300 * time.Millisecond
	// compareEvery is how often a process compares revisions with a random other:
	// it finds those whom neither push nor request reaches while the KV is down.
	compareEvery = time.Second
)

// Spreader spreads revisions. Set the exported fields before Run.
type Spreader struct {
	Log   *revlog.Log
	Board *board.Board
	Peers core.Peers
	Clock core.Clock
	Rand  core.Rand
	// Digest makes the message that tells a peer of the own revision.
	Digest func() *core.Digest
	// Sending, if set, is asked before a control message is sent.
	Sending func(size core.Bytes) bool
	// Failed, if set, is told of a poll that failed.
	Failed func(err error)

	mu     sync.Mutex // guards all below
	heard  core.Revision
	teller core.VMID
	wake   chan struct{}
	told   core.Revision
}

// Init makes the Spreader ready for Heard.
func (sp *Spreader) Init() {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	if sp.wake == nil {
		sp.wake = make(chan struct{}, 1)
	}
}

// Heard notes the revision that a peer's message carried.
func (sp *Spreader) Heard(from core.VMID, rev core.Revision) {
	if rev <= sp.Log.Revision() {
		return
	}
	sp.mu.Lock()
	defer sp.mu.Unlock()
	if rev > sp.heard || sp.teller == "" {
		sp.heard, sp.teller = rev, from
	}
	sp.rouse()
}

// Adopted notes that the own revision went up, to tell others.
func (sp *Spreader) Adopted() {
	sp.mu.Lock()
	defer sp.mu.Unlock()
	sp.rouse()
}

func (sp *Spreader) rouse() {
	select {
	case sp.wake <- struct{}{}:
	default:
	}
}

// Run fetches, tells and polls until ctx ends.
func (sp *Spreader) Run(ctx context.Context) error {
	sp.Init()
	go sp.poll(ctx)
	go sp.compare(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-sp.wake:
		}
		sp.fetch(ctx)
		if rev := sp.Log.Revision(); rev > sp.told {
			sp.told = rev
			go sp.tell(ctx)
		}
	}
}

// fetch takes over what the teller of the highest revision heard has.
func (sp *Spreader) fetch(ctx context.Context) {
	sp.mu.Lock()
	from, rev := sp.teller, sp.heard
	sp.teller = ""
	sp.mu.Unlock()
	if from == "" || rev <= sp.Log.Revision() {
		return
	}
	ch, err := sp.Peers.Fetch(ctx, from, sp.Log.Revision())
	if err != nil {
		return
	}
	// A peer's answer with a gap is as good as none.
	_ = sp.Log.Apply(ch)
}

// tell sends digests to random others; they fetch when they see the revision.
func (sp *Spreader) tell(ctx context.Context) {
	for range rounds {
		sn := sp.Board.Snapshot()
		all := len(sn.Agents) + len(sn.Routers)
		for range min(Fanout, all-1) {
			sp.tellOne(ctx, sn, all)
		}
		if sp.Clock.Sleep(ctx, roundEvery) != nil {
			return
		}
	}
}

// compare swaps digests with a random other now and then.
func (sp *Spreader) compare(ctx context.Context) {
	for sp.Clock.Sleep(ctx, time.Duration(float64(compareEvery)*(0.75+sp.Rand.Float64()/2))) == nil {
		sn := sp.Board.Snapshot()
		if all := len(sn.Agents) + len(sn.Routers); all > 1 {
			sp.tellOne(ctx, sn, all)
		}
	}
}

func (sp *Spreader) tellOne(ctx context.Context, sn *board.Snapshot, all int) {
	ix := int(sp.Rand.Uint64() % uint64(all))
	var to core.VMID
	if ix < len(sn.Agents) {
		to = sn.Agents[ix]
	} else {
		to = sn.Routers[ix-len(sn.Agents)]
	}
	if to == sp.Board.Self.ID || (sp.Sending != nil && !sp.Sending(digestSize)) {
		return
	}
	go func() {
		if di, err := sp.Peers.Exchange(ctx, to, sp.brief()); err == nil {
			sp.Heard(to, di.Revision)
		}
	}()
}

// brief is the own digest without loads, which only pools exchange.
func (sp *Spreader) brief() *core.Digest {
	di := sp.Digest()
	di.Loads = nil
	return di
}

// poll reads the KV's log. A process that starts while the KV is down takes the
// configuration from the first peer that it compares revisions with.
func (sp *Spreader) poll(ctx context.Context) {
	for {
		err := sp.Log.Refresh(ctx)
		if err != nil && sp.Failed != nil && ctx.Err() == nil {
			sp.Failed(err)
		}
		if sp.Log.Revision() > 0 {
			sp.Adopted()
		}
		if sp.Clock.Sleep(ctx, sp.pause()) != nil {
			return
		}
	}
}

// pause is the wait between polls: the fleet's size over its pace, with jitter.
func (sp *Spreader) pause() time.Duration {
	sn := sp.Board.Snapshot()
	fleet := len(sn.Agents) + len(sn.Routers)
	pause := max(leastPoll, time.Duration(fleet)*time.Second/pollsPerSecond)
	if sp.Log.Revision() == 0 {
		pause = leastPoll
	}
	return time.Duration(float64(pause) * (0.75 + sp.Rand.Float64()/2))
}
