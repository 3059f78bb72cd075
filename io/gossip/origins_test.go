package gossip_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"almondrill/core"
	"almondrill/core/builds"
	"almondrill/io/fakes/local"
	"almondrill/io/gossip"
)

const (
	originTTL   = 20 * time.Second
	originBuild = core.Build(7)
)

// Guards against refused resumptions after most routers were lost: of six, the one that forwarded the
// streams and two others end at once. Each that is left must find every stream.
func TestOriginsOutliveHalfOfTheRouters(t *testing.T) {
	all := meet(t, 6)
	const streams = 200
	for stream := range core.StreamKey(streams) {
		all[0].Begin(stream, originBuild, originTTL, true)
	}
	eventually(t, "the owners have the last stream", func() bool { return all[5].Find(context.Background(), streams-1).Build == originBuild })
	for _, ro := range all[:3] {
		ro.stop()
	}
	for ix, ro := range all[3:] {
		for stream := range core.StreamKey(streams) {
			if got := ro.Find(context.Background(), stream).Build; got != originBuild {
				t.Errorf("router %d finds build %d of stream %d", ix+3, got, stream)
			}
		}
	}
}

// Guards against refused resumptions after a rolling restart: the owners of a stream restart one after the
// other while it runs, each at its address, and then the router that forwards it ends. Each must find every
// stream.
func TestOriginsOutliveARollingRestart(t *testing.T) {
	all := meet(t, 4)
	v1 := builds.Of("pool", "v1")
	twoBuilds := func(ro *router) {
		ro.Builds.Register(time.Now(), "e1", "pool", "v1")
		ro.Builds.Register(time.Now(), "e2", "pool", "v2")
	}
	for _, ro := range all {
		twoBuilds(ro)
	}
	const streams = 300
	for stream := range core.StreamKey(streams) {
		all[0].Begin(stream, v1, originTTL, true)
	}
	for ix := range all[1:] {
		all[1+ix] = all[1+ix].restart(t, 1+ix, all[0])
		twoBuilds(all[1+ix])
		eventually(t, "the peers are alive", func() bool { return all[1+ix].Live() == 3 && all[0].Live() == 3 })
		time.Sleep(8 * tickInterval)
	}
	all[0].stop()
	for ix, ro := range all[1:] {
		missing := 0
		for stream := range core.StreamKey(streams) {
			if ro.Find(context.Background(), stream).Build != v1 {
				missing++
			}
		}
		if missing > 0 {
			t.Errorf("router %d does not find %d of %d streams", 1+ix, missing, streams)
		}
	}
}

// Guards against streams whose owners end one after the other without being replaced, until nobody knows
// them: with each loss another router takes the record over.
func TestOriginsMoveToOtherOwners(t *testing.T) {
	all := meet(t, 6)
	v1 := builds.Of("pool", "v1")
	for _, ro := range all {
		ro.Builds.Register(time.Now(), "e1", "pool", "v1")
		ro.Builds.Register(time.Now(), "e2", "pool", "v2")
	}
	const streams = 200
	for stream := range core.StreamKey(streams) {
		all[0].Begin(stream, v1, originTTL, true)
	}
	time.Sleep(2 * tickInterval)
	for ix, ro := range all[:4] {
		ro.stop()
		eventually(t, "its peers know that it is gone", func() bool { return all[4].Live() == 4-ix && all[5].Live() == 4-ix })
		time.Sleep(8 * tickInterval)
	}
	for ix, ro := range all[4:] {
		for stream := range core.StreamKey(streams) {
			if got := ro.Find(context.Background(), stream).Build; got != v1 {
				t.Errorf("router %d finds build %d of stream %d", 4+ix, got, stream)
			}
		}
	}
}

// Guards against a stream that is taken for one of another build because its record is missing: a router
// that knows no peer, and one whose peers do not know the stream, must not find a build.
func TestUnknownOriginIsNotGuessed(t *testing.T) {
	alone := start(t, 7)
	if got := alone.Find(context.Background(), 1).Build; got != 0 {
		t.Errorf("found build %d without peers", got)
	}
	all := meet(t, 3)
	if got := all[0].Find(context.Background(), 1).Build; got != 0 {
		t.Errorf("found build %d of a stream that never began", got)
	}
}

// Guards against a caller that waits for a router of an older build, which does not answer the query:
// the answer of another one counts, and without any the wait is bounded.
func TestSilentPeerDelaysNoOrigin(t *testing.T) {
	all := meet(t, 2)
	old, err := net.ListenPacket("udp", local.Addr(t))
	if err != nil {
		t.Fatal(err)
	}
	defer old.Close()
	data, _ := cbor.Marshal(map[int]any{1: uint64(1)})
	for _, ro := range all {
		introduce(t, old, ro, data)
		eventually(t, "the older router is alive", func() bool { return ro.Live() == 2 })
	}
	time.Sleep(2 * tickInterval)
	all[1].Begin(1, originBuild, originTTL, false)
	began := time.Now()
	if got := all[0].Find(context.Background(), 1).Build; got != originBuild {
		t.Errorf("found build %d", got)
	}
	if got := all[0].Find(context.Background(), 2).Build; got != 0 {
		t.Errorf("found build %d of a stream that never began", got)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("both took %s", took)
	}
}

// Guards against streams that nobody can resume because another build registered after they began, while
// their router was the only one that knew them; those that have ended are not sent.
func TestOriginsAreSharedOnceAnotherBuildRegisters(t *testing.T) {
	all := meet(t, 3)
	v1 := builds.Of("pool", "v1")
	now := time.Now()
	all[0].Builds.Register(now, "e1", "pool", "v1")
	const streams = 100
	for stream := range core.StreamKey(streams) {
		all[0].Begin(stream, v1, originTTL, false)
	}
	all[0].End(0)
	all[0].Builds.Register(now, "e2", "pool", "v2")
	time.Sleep(5 * tickInterval)
	all[0].stop()
	for stream := range core.StreamKey(streams) {
		want := v1
		if stream == 0 {
			want = 0
		}
		if got := all[1].Find(context.Background(), stream).Build; got != want {
			t.Errorf("stream %d has build %d, want %d", stream, got, want)
		}
	}
}

// Guards against a router that has just started and takes the only build that it sees for the only one
// that was.
func TestPeersTellOfOtherBuilds(t *testing.T) {
	all := meet(t, 3)
	v2 := builds.Of("pool", "v2")
	for _, ro := range all {
		ro.Builds.Register(time.Now(), "e2", "pool", "v2")
	}
	if got := all[0].OthersSeen(context.Background(), v2); got != core.OthersUnknown {
		t.Errorf("%s of peers that have just started, want Unknown", got)
	}
	all[2].Builds.Register(time.Now(), "e1", "pool", "v1")
	all[2].Builds.Remove(time.Now(), "e1")
	if got := all[0].OthersSeen(context.Background(), v2); got != core.OthersServed {
		t.Errorf("%s after another build was there, want Served", got)
	}
	for _, ro := range all[1:] {
		ro.stop()
	}
	if got := all[0].OthersSeen(context.Background(), v2); got != core.OthersNotAnswered {
		t.Errorf("%s though no peer is left, want NotAnswered", got)
	}
}

// Guards against control traffic beyond the target's 5 KB/s for each router: at 420 routers and 25,000
// streams a second, two owners each, no more than half of it records builds, even if every pool has
// several.
func TestOriginsFitTheControlBudget(t *testing.T) {
	const routers, streams, owners, budget = 420.0, 25_000.0, 2.0, 5_000.0
	if perSecond := streams / routers * owners * float64(gossip.OriginSize()); perSecond > budget/2 {
		t.Errorf("%.0f bytes a second and router, %d each", perSecond, gossip.OriginSize())
	}
}
