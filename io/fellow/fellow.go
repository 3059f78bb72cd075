// Package fellow lets the routers of a region tell each other little and often:
// their calls in progress, and how far they know the store's changes.
//
// # Concepts
//
// A router sends a datagram to a few fellows several times a second. One that the
// store turns away sees from it that a fellow knows more, and fetches what it
// lacks over HTTP. Fellows are found through the store, through the seeds of the
// settings, and through the fellows that a datagram names.
//
// # Invariants
//
//   - What is sent stays within PerSecond, however many fellows there are.
//   - A fellow that was not heard for knownFor is forgotten.
//
// # Usage
//
//	gr := &fellow.Group{Self: name, Addr: addr, Mirror: mi, Placer: pl, Log: lo}
//	mux.Handle(fellow.ItemsPath, gr.Handler())
//	err := gr.Run(ctx)
package fellow

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/mirror"
	"almondrill/core/place"
)

const (
	// period is how often a router tells its calls. Streams last a second or more,
	// so that the news is fresh enough; with two messages within it, a lost one
	// does no harm.
	period = 350 * time.Millisecond
	// fanout is how many fellows a router tells at a time at most.
	fanout = 8
	// perSecond bounds the bytes that a router tells its fellows in a second, headers
	// of the network not counted; the budget of a node is 5 KB/s.
	perSecond = 4500
	// way is the least time that a message takes between zones.
	way = time.Millisecond
	// knownFor is how long a fellow that is not heard is kept; liveFor how long it
	// counts as running.
	knownFor = 30 * time.Second
	liveFor  = 3 * time.Second
	// mostDatagram keeps a message within one frame.
	mostDatagram = 1400
	// mostNamed is how many other fellows a message names.
	mostNamed = 3
)

// message is what a router tells.
type message struct {
	From  core.VMID      `cbor:"1,keyasint"`
	Addr  string         `cbor:"2,keyasint"`
	AsOf  core.Version   `cbor:"3,keyasint"`
	Calls map[uint64]int `cbor:"4,keyasint,omitempty"`
	// Known are addresses of other fellows.
	Known []string `cbor:"5,keyasint,omitempty"`
	// Leaving is set in the last messages of a process.
	Leaving bool `cbor:"6,keyasint,omitempty"`
	// Readings are endpoints' own counts of their calls, the latest known.
	Readings []place.Reading `cbor:"7,keyasint,omitempty"`
}

// Group is the routers that this one knows. Set the exported fields before use.
type Group struct {
	Self core.VMID
	// Addr is where the own process listens, over UDP and TCP.
	Addr   string
	Mirror *mirror.Mirror
	Placer *place.Placer
	Rand   core.Rand
	Log    *zap.Logger
	// Starved tells whether the store has told nothing for too long, so that what
	// fellows know is to be fetched from them.
	Starved func() bool

	mu      sync.Mutex // guards all below
	members map[string]*member
	fetched bool // a fetch is under way
}

// member is a fellow, by its address.
type member struct {
	id      core.VMID
	added   time.Time
	heard   time.Time
	asOf    core.Version
	leaving bool
}

// Add makes an address known.
func (gr *Group) Add(addr string) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.member(addr)
}

func (gr *Group) member(addr string) *member {
	if gr.members == nil {
		gr.members = map[string]*member{}
	}
	if addr == gr.Addr || addr == "" {
		return nil
	}
	me := gr.members[addr]
	if me == nil {
		me = &member{added: time.Now()}
		gr.members[addr] = me
	}
	return me
}

// Live is how many fellows were heard of late.
func (gr *Group) Live() int {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	now, count := time.Now(), 0
	for _, me := range gr.members {
		if now.Sub(me.heard) < liveFor {
			count++
		}
	}
	return count
}

// Routers is how many routers there may be, this one included: all that were
// heard within knownFor, and those that are known but were not heard yet.
func (gr *Group) Routers() int {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return 1 + len(gr.members)
}

// Run exchanges messages until ctx ends.
func (gr *Group) Run(ctx context.Context) error {
	pc, err := net.ListenPacket("udp", gr.Addr)
	if err != nil {
		return fmt.Errorf("listen for fellows on %s: %w", gr.Addr, err)
	}
	defer pc.Close()
	go gr.receive(pc)
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			gr.send(pc, true)
			return nil
		case now := <-tick.C:
			gr.forget(now)
			gr.send(pc, false)
			gr.catchUp(ctx)
		}
	}
}

// receive takes messages until the socket is closed.
func (gr *Group) receive(pc net.PacketConn) {
	buffer := make([]byte, mostDatagram)
	for {
		count, _, err := pc.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			gr.Log.Warn("Reading a message of a fellow failed.", zap.Error(err))
			continue
		}
		var ms message
		if err = cbor.Unmarshal(buffer[:count], &ms); err != nil {
			gr.Log.Warn("A message of a fellow makes no sense.", zap.Error(err))
			continue
		}
		gr.hear(time.Now(), &ms)
	}
}

func (gr *Group) hear(now time.Time, ms *message) {
	if ms.From == gr.Self {
		return
	}
	gr.mu.Lock()
	me := gr.member(ms.Addr)
	fresh := me != nil && now.Sub(me.heard) >= liveFor
	if me != nil {
		me.id, me.heard, me.asOf = ms.From, now, ms.AsOf
		if ms.Leaving && !me.leaving {
			gr.Log.Info("A fellow leaves.", zap.String("Fellow", string(ms.From)))
		}
		me.leaving = ms.Leaving
	}
	for _, addr := range ms.Known {
		gr.member(addr)
	}
	gr.mu.Unlock()
	gr.Placer.Hear(now, ms.From, ms.Calls)
	gr.Placer.HearReadings(now, way, ms.Readings)
	if fresh {
		gr.Log.Info("Hears a fellow.", zap.String("Fellow", string(ms.From)), zap.String("Addr", ms.Addr))
	}
}

// forget drops fellows that were not heard for long.
func (gr *Group) forget(now time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	for addr, me := range gr.members {
		last := me.heard
		if me.added.After(last) {
			last = me.added
		}
		if now.Sub(last) > knownFor {
			delete(gr.members, addr)
			gr.Log.Info("Forgets a fellow.", zap.String("Fellow", string(me.id)), zap.String("Addr", addr),
				zap.Duration("Silent", now.Sub(last)))
		}
	}
}

// send tells a few fellows, drawn anew each time: as many as the bytes allow.
func (gr *Group) send(pc net.PacketConn, leaving bool) {
	to := gr.some(fanout)
	if len(to) == 0 {
		return
	}
	data, err := gr.encode(leaving)
	if err != nil {
		gr.Log.Error("Encoding a message failed.", zap.Error(err))
		return
	}
	allowed := int(perSecond * period.Seconds() / float64(len(data)))
	for _, addr := range to[:min(len(to), max(1, allowed))] {
		ua, err := net.ResolveUDPAddr("udp", addr)
		if err == nil {
			_, err = pc.WriteTo(data, ua)
		}
		if err != nil {
			gr.Log.Debug("Telling a fellow failed.", zap.String("Addr", addr), zap.Error(err))
		}
	}
}

// encode makes a message that fits into a frame.
func (gr *Group) encode(leaving bool) ([]byte, error) {
	ms := message{
		From: gr.Self, Addr: gr.Addr, AsOf: gr.Mirror.AsOf(), Calls: gr.Placer.Tell(), Leaving: leaving,
		Readings: gr.Placer.Readings(time.Now()), Known: gr.some(mostNamed),
	}
	data, err := cbor.Marshal(&ms)
	for err == nil && len(data) > mostDatagram && len(ms.Calls)+len(ms.Readings) > 0 {
		// Rather few loads than none of what is known of the configuration.
		ms.Calls = nil
		ms.Readings = ms.Readings[:len(ms.Readings)/2]
		data, err = cbor.Marshal(&ms)
	}
	return data, err
}

// some draws addresses of fellows.
func (gr *Group) some(most int) []string {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	all := make([]string, 0, len(gr.members))
	for addr := range gr.members {
		all = append(all, addr)
	}
	for ix := range all {
		other := ix + int(gr.Rand.Uint64()%uint64(len(all)-ix))
		all[ix], all[other] = all[other], all[ix]
	}
	return all[:min(most, len(all))]
}
