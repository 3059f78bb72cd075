package gossip_test

import (
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"almondrill/core/demand"
	"almondrill/io/gossip"
)

const busyPool demand.PoolHash = 7

// fakeDemand reports a full pool while busy is set, and keeps the levels that it is given.
type fakeDemand struct {
	mu     sync.Mutex // guards all below
	busy   bool
	pool   demand.PoolHash
	levels []demand.Level
}

func (de *fakeDemand) Reports(time.Time) []demand.Report {
	de.mu.Lock()
	defer de.mu.Unlock()
	if !de.busy {
		return nil
	}
	re := demand.Report{Pool: de.pool, Running: 40, Waiting: 60, OfferedPer10s: 20000, EndedPer10s: 10000, Slots: 40, CallMs: 40, GoalMs: 400}
	for ix := range demand.MaxReportCustomers {
		re.Customers = append(re.Customers, demand.Customer{ID: 1<<31 + demand.CustomerHash(ix), Rank: 200, OfferedPer10s: 70000})
	}
	return []demand.Report{re}
}

func (de *fakeDemand) EarlyReports(time.Time) []demand.Report { return nil }

func (de *fakeDemand) ApplyLevel(_ time.Time, le demand.Level) {
	de.mu.Lock()
	defer de.mu.Unlock()
	de.levels = append(de.levels, le)
}

func (de *fakeDemand) received() []demand.Level {
	de.mu.Lock()
	defer de.mu.Unlock()
	return slices.Clone(de.levels)
}

// busyFleet starts routers whose requests compete for a pool.
func busyFleet(t *testing.T, count int) ([]*router, []*fakeDemand) {
	t.Helper()
	var fakes []*fakeDemand
	all := meetWith(t, count, func(gr *gossip.Group) {
		de := &fakeDemand{pool: busyPool}
		fakes = append(fakes, de)
		gr.Demand = de
	})
	for _, de := range fakes {
		de.mu.Lock()
		de.busy = true
		de.mu.Unlock()
	}
	return all, fakes
}

// Guards against routers that report to different owners, against levels that do not reach all
// routers, and against a pool without levels after its owner has left.
func TestLevelReachesAllRouters(t *testing.T) {
	t.Parallel()
	all, fakes := busyFleet(t, 20)
	reached := func(after uint64) func() bool {
		return func() bool {
			for ix, de := range fakes {
				got := de.received()
				if !all[ix].stopped && (len(got) == 0 || got[len(got)-1].AtMs <= after || len(got[len(got)-1].Over) == 0) {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "all routers have a level", reached(0))
	owner := all[0].DemandOwner(busyPool)
	var last uint64
	for ix, ro := range all {
		if other := ro.DemandOwner(busyPool); other != owner {
			t.Errorf("the owner is %s to one router and %s to another", owner, other)
		}
		if ro.Addr == owner {
			ro.stop()
			got := fakes[ix].received()
			last = got[len(got)-1].AtMs
		}
	}
	// Levels that the previous owner sent last are still forwarded for some time.
	last += uint64(tickInterval.Milliseconds())
	eventually(t, "all routers have a level of the new owner", reached(last))
}

// sniffer is a peer that receives the datagrams of a router.
type sniffer struct {
	net.PacketConn
	router *router
	demand *fakeDemand
}

// newSniffer starts a router that takes the sniffer for a live peer, and is set up for a pool that
// the sniffer owns.
func newSniffer(t *testing.T) *sniffer {
	t.Helper()
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = pc.Close() })
	sn := &sniffer{PacketConn: pc, demand: &fakeDemand{}}
	sn.router = startWith(t, 0, func(gr *gossip.Group) { gr.Demand = sn.demand })
	eventually(t, "the sniffer owns a pool", func() bool {
		introduce(t, sn, sn.router, []byte("\xa1\x01\x01")) // AsOf: revision 1
		for pool := range demand.PoolHash(20) {
			if sn.router.DemandOwner(pool) == pc.LocalAddr().String() {
				sn.demand.pool = pool
				return true
			}
		}
		return false
	})
	return sn
}

func (sn *sniffer) send(t *testing.T, data string) {
	t.Helper()
	if _, err := sn.WriteTo([]byte(data), sn.router.address(t)); err != nil {
		t.Fatal(err)
	}
}

func (sn *sniffer) sendLevel(t *testing.T, le demand.Level) {
	t.Helper()
	data, err := cbor.Marshal(map[int]any{10: []any{2, 0, 0, 0}, 20: []demand.Level{le}})
	if err != nil {
		t.Fatal(err)
	}
	sn.send(t, string(data))
}

// sniffed is the part of a message that the tests check.
type sniffed struct {
	Count  []uint64       `cbor:"10,keyasint"`
	Report *demand.Report `cbor:"19,keyasint"`
	Levels []demand.Level `cbor:"20,keyasint"`
}

// receive returns the messages that arrive within a time, and their bytes.
func (sn *sniffer) receive(t *testing.T, span time.Duration) (all []sniffed, size int) {
	t.Helper()
	_ = sn.SetReadDeadline(time.Now().Add(span))
	buffer := make([]byte, 2000)
	for {
		count, _, err := sn.ReadFrom(buffer)
		if err != nil {
			return all, size
		}
		var ms sniffed
		if err = cbor.Unmarshal(buffer[:count], &ms); err != nil {
			t.Fatal(err)
		}
		if count > 1400 {
			t.Errorf("a datagram has %d bytes, want at most 1400", count)
		}
		all = append(all, ms)
		size += count
	}
}

// Guards against messages about pools for which nothing competes, against reports and levels that
// exceed a datagram or the byte budget, and against reports that builds without them take for a load
// report of a router that has no calls.
func TestDemandMessages(t *testing.T) {
	t.Parallel()
	sn := newSniffer(t)
	calm, _ := sn.receive(t, 500*time.Millisecond)
	for _, ms := range calm {
		if ms.Report != nil || len(ms.Levels) > 0 {
			t.Fatalf("sent about a pool for which nothing competes: %+v", ms)
		}
	}
	sn.demand.mu.Lock()
	sn.demand.busy = true
	sn.demand.mu.Unlock()
	for pool := range demand.PoolHash(8) {
		le := demand.Level{Pool: 1<<31 + pool, AtMs: 1 << 42, Places: 60000, OfferedPer10s: 1 << 31, CallMs: 60000}
		for ix := range demand.MaxOver {
			le.Over = append(le.Over, demand.Share{ID: 1<<31 + demand.CustomerHash(ix), Rank: 200, Admit: 200})
		}
		sn.sendLevel(t, le)
	}
	const span = 1200 * time.Millisecond
	busy, size := sn.receive(t, span)
	reports, forwarded := 0, 0
	for _, ms := range busy {
		forwarded += len(ms.Levels)
		if ms.Report == nil {
			continue
		}
		reports++
		if len(ms.Report.Customers) != demand.MaxReportCustomers || !slices.Equal(ms.Count, []uint64{2, 0, 0, 0}) {
			t.Fatalf("message %+v, want 24 customers, and a reply without a query", ms)
		}
	}
	if reports < 4 || reports > 7 || forwarded == 0 {
		t.Errorf("%d reports within %s, want one per 200 ms; %d levels forwarded", reports, span, forwarded)
	}
	if limit := int(5000 * span.Seconds()); size > limit {
		t.Errorf("sent %d bytes within %s, want at most %d", size, span, limit)
	}
}

// Guards against a level of one owner that is replaced by an older one of another, which both
// routers took for the owner for a time, and against a pool without levels after a loss of its
// owner's power.
func TestTwoOwnersAndLostOwner(t *testing.T) {
	t.Parallel()
	sn := newSniffer(t)
	now := uint64(time.Now().UnixMilli())
	for _, places := range []uint16{12, 11, 13} {
		sn.sendLevel(t, demand.Level{Pool: sn.demand.pool, AtMs: now + uint64(places), Places: places, CallMs: 30})
	}
	eventually(t, "the later levels are applied", func() bool { return len(sn.demand.received()) == 2 })
	if got := sn.demand.received(); got[0].Places != 12 || got[1].Places != 13 {
		t.Errorf("levels %+v, want those with 12 and 13 places", got)
	}
	sn.demand.mu.Lock()
	sn.demand.busy = true
	sn.demand.mu.Unlock()
	// The sniffer, which owns the pool, sends nothing from now on.
	own := func() bool {
		got := sn.demand.received()
		return got[len(got)-1].Places != 13
	}
	for began := time.Now(); !own() && time.Since(began) < 8*time.Second; {
		time.Sleep(tickInterval)
	}
	if !own() {
		t.Error("8 s after its owner was lost, the pool has no level")
	}
}
