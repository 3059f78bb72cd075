package builds_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondrill/core"
	"almondrill/core/builds"
)

var begin = time.Unix(1_700_000_000, 0)

// Guards against a stream of a build that has just left being taken for one of the only build left.
func TestBuildCountsAfterItsLastEndpointLeft(t *testing.T) {
	hi := &builds.History{}
	hi.Register(begin, "e1", "pool", "v1")
	hi.Register(begin, "e2", "pool", "v2")
	hi.Register(begin, "e3", "other", "v1")
	v1, v2 := builds.Of("pool", "v1"), builds.Of("pool", "v2")
	if !hi.Others(begin, v1) || hi.Others(begin, builds.Of("other", "v1")) {
		t.Error("the pool has two builds, the other pool has one")
	}
	left := begin.Add(time.Second)
	hi.Remove(left, "e1")
	if got := hi.Recent(left.Add(builds.Retention-1), "pool"); len(got) != 2 {
		t.Errorf("%d builds before the end of the retention, want 2", len(got))
	}
	if got := hi.Recent(left.Add(builds.Retention), "pool"); len(got) != 1 || got[0] != v2 {
		t.Errorf("%x afterwards, want %x", got, v2)
	}
	if got := hi.Recent(begin, "pool", "other"); len(got) != 3 {
		t.Errorf("%d builds of two pools, want 3", len(got))
	}
	if !hi.Several(left) || hi.Several(left.Add(builds.Retention)) {
		t.Error("one pool has several builds until the end of the retention, and none afterwards")
	}
}

// Guards against an endpoint that restarts at another version and keeps its former build alive.
func TestEndpointChangesItsBuild(t *testing.T) {
	hi := &builds.History{}
	hi.Register(begin, "e1", "pool", "v1")
	hi.Register(begin.Add(time.Second), "e1", "pool", "v2")
	if !hi.Others(begin.Add(time.Second), builds.Of("pool", "v2")) || hi.Others(begin.Add(time.Second+builds.Retention), builds.Of("pool", "v2")) {
		t.Error("the former build counts for the retention")
	}
}

// Guards against a history that is taken for complete right after the start.
func TestHistoryOfANewRouterIsIncomplete(t *testing.T) {
	hi := &builds.History{}
	if hi.Complete(begin) {
		t.Error("complete without an endpoint")
	}
	hi.Register(begin, "e1", "pool", "v1")
	if hi.Complete(begin.Add(builds.Retention-1)) || !hi.Complete(begin.Add(builds.Retention)) {
		t.Error("complete before the retention is over, or not afterwards")
	}
}

// Guards against a router that has just started and does not know of a build that left before: it learns of it
// from its record, until that is removed.
func TestRecordOutlivesTheHistory(t *testing.T) {
	old := &builds.History{}
	old.Register(begin, "e1", "pool", "v1")
	old.Register(begin, "e2", "pool", "v2")
	records := old.Unrecorded(begin)
	if len(records) != 2 {
		t.Fatalf("%d builds without a record, want 2", len(records))
	}
	started := begin.Add(time.Second)
	hi := &builds.History{}
	for ix, br := range records {
		value, err := builds.EncodeRecord(br)
		if err != nil {
			t.Fatal(err)
		}
		if br, err = builds.DecodeRecord(builds.RecordName(br.Build), value, core.Version(ix+1)); err != nil {
			t.Fatal(err)
		}
		hi.RecordStored(started, br)
		old.RecordStored(started, br)
	}
	hi.Register(started, "e2", "pool", "v2")
	v2 := builds.Of("pool", "v2")
	if !hi.Others(started.Add(builds.Retention-1), v2) || hi.Others(started.Add(builds.Retention), v2) {
		t.Error("the build that left does not count for the retention")
	}
	if len(hi.Unrecorded(started))+len(old.Unrecorded(started)) != 0 {
		t.Error("recorded builds are to be recorded again")
	}
	old.Remove(started, "e1")
	if got := old.Obsolete(started.Add(2*builds.Retention - 1)); len(got) != 0 {
		t.Errorf("%v obsolete before routers that started meanwhile have dropped it", got)
	}
	obsolete := old.Obsolete(started.Add(2 * builds.Retention))
	if len(obsolete) != 1 || obsolete[0].Version != "v1" || obsolete[0].Rev == 0 {
		t.Fatalf("%v obsolete, want v1", obsolete)
	}
	hi.RecordRemoved(obsolete[0].Build, 3)
	if hi.Others(started, v2) {
		t.Error("a build that is known by its record only counts after its removal")
	}
}

// Guards against a build that is not recorded any more since the store was restored from a backup: a router
// that has seen it records it again.
func TestLostRecordIsWrittenAgain(t *testing.T) {
	hi := &builds.History{}
	hi.Register(begin, "e1", "pool", "v1")
	br := hi.Unrecorded(begin)[0]
	br.Rev = core.VersionOf(0, 9)
	hi.RecordStored(begin, br)
	hi.Remove(begin, "e1")
	hi.RecordRemoved(br.Build, core.VersionOf(0, 8))
	if got := hi.Unrecorded(begin); len(got) != 0 {
		t.Errorf("%v after a removal that is older than the record", got)
	}
	hi.RecordRemoved(br.Build, core.VersionOf(1, 3))
	if got := hi.Unrecorded(begin.Add(builds.Retention - 1)); len(got) != 1 {
		t.Errorf("%d builds to be recorded, want 1", len(got))
	}
	if got := hi.Unrecorded(begin.Add(builds.Retention)); len(got) != 0 {
		t.Errorf("%d builds to be recorded after the retention, want none", len(got))
	}
}

// Guards against records that count for a pool that their build never served.
func TestDamagedRecordIsRejected(t *testing.T) {
	name := builds.RecordName(builds.Of("pool", "v1"))
	for _, ca := range []struct{ name, value string }{
		{"", "{}"}, {"zz", "{}"}, {name, ""}, {name, "{}"}, {name, `{"Pool":"pool","Version":"v2"}`}, {"0" + name, `{"Pool":"pool","Version":"v1"}`},
	} {
		if _, err := builds.DecodeRecord(ca.name, []byte(ca.value), 1); err == nil {
			t.Errorf("%q with %q is accepted", ca.name, ca.value)
		}
	}
}

// Guards against streams that continue at another build because a batch of them was damaged, or is read as another
// one than was written.
func TestStreamBatches(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sb := core.StreamBatch{TTL: time.Duration(rapid.IntRange(0, 600_000).Draw(rt, "ms")) * time.Millisecond}
		for range rapid.IntRange(0, 50).Draw(rt, "streams") {
			sb.Streams = append(sb.Streams, core.StreamBuild{Stream: core.StreamKey(rapid.Uint64().Draw(rt, "key")), Build: core.Build(rapid.Uint32().Draw(rt, "build"))})
		}
		value := builds.EncodeStreams(sb)
		got, err := builds.DecodeStreams(value)
		if err != nil || got.TTL != sb.TTL || !slices.Equal(got.Streams, sb.Streams) {
			rt.Fatalf("%+v, %v; want %+v", got, err, sb)
		}
		if cut := rapid.IntRange(1, 11).Draw(rt, "cut"); cut < len(value) {
			if _, err = builds.DecodeStreams(value[:len(value)-cut]); err == nil {
				rt.Fatalf("a batch that lacks %d bytes is accepted", cut)
			}
		}
	})
}

// Guards against a memory that grows with the number of streams, and against records that outlive their
// time.
func TestOriginsAreBounded(t *testing.T) {
	or := &builds.Origins{}
	for stream := range core.StreamKey(builds.MaxOrigins + 1) {
		or.Put(begin, stream, 7, time.Second)
	}
	if build, _ := or.Get(begin, 0); build != 0 {
		t.Error("the oldest stream is kept beyond the bound")
	}
	if build, left := or.Get(begin, builds.MaxOrigins); build != 7 || left != time.Second {
		t.Errorf("the newest stream has build %d for %s", build, left)
	}
	if build, _ := or.Get(begin.Add(time.Second), builds.MaxOrigins); build != 0 {
		t.Error("a stream is kept beyond its time")
	}
}

// Guards against streams in progress that no peer learns of once another build registers, and against
// sending those that have ended.
func TestUnsharedStreams(t *testing.T) {
	or := &builds.Origins{}
	for stream, build := range map[core.StreamKey]core.Build{1: 7, 2: 8, 3: 7} {
		or.Put(begin, stream, build, time.Second)
		or.Unshare(stream)
	}
	or.End(3)
	ofSeven := func(build core.Build) bool { return build == 7 }
	if got := or.Unshared(ofSeven); len(got) != 1 || got[0] != 1 {
		t.Errorf("streams %d are to be shared, want 1", got)
	}
	if got := or.Unshared(ofSeven); len(got) != 0 {
		t.Errorf("streams %d are to be shared twice", got)
	}
}

// Guards against a stream that is found with a build other than the one recorded last, in any order of
// records and times.
func TestOriginsAgreeWithAMap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		or, want := &builds.Origins{}, map[core.StreamKey]core.Build{}
		until := map[core.StreamKey]time.Time{}
		now := begin
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "pause")) * time.Millisecond)
			stream := core.StreamKey(rapid.IntRange(0, 20).Draw(rt, "stream"))
			if rapid.Bool().Draw(rt, "put") {
				ttl := time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ttl")) * time.Millisecond
				want[stream], until[stream] = core.Build(rapid.IntRange(1, 3).Draw(rt, "build")), now.Add(ttl)
				or.Put(now, stream, want[stream], ttl)
			}
			got, _ := or.Get(now, stream)
			if now.Before(until[stream]) && got != want[stream] || !now.Before(until[stream]) && got != 0 {
				rt.Fatalf("stream %d has build %d, want %d", stream, got, want[stream])
			}
		}
	})
}
