package gossip_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"almondrill/core"
	"almondrill/core/crash"
	"almondrill/io/gossip"
)

// crashNotices collects the notices that a router receives.
type crashNotices struct {
	mu  sync.Mutex
	all []core.CrashNotice
}

func (no *crashNotices) add(_ time.Time, _ string, note core.CrashNotice) {
	no.mu.Lock()
	defer no.mu.Unlock()
	no.all = append(no.all, note)
}

func (no *crashNotices) count(fp core.Fingerprint) int {
	no.mu.Lock()
	defer no.mu.Unlock()
	count := 0
	for _, note := range no.all {
		if note.Request == fp {
			count++
		}
	}
	return count
}

// meetCollecting starts routers that collect the notices that they receive.
func meetCollecting(t *testing.T, count int) ([]*router, []*crashNotices) {
	t.Helper()
	var received []*crashNotices
	all := meetWith(t, count, func(gr *gossip.Group) {
		no := &crashNotices{}
		received = append(received, no)
		gr.Blamed = no.add
	})
	return all, received
}

// Routers that see a request crash endpoints notify the same two owners, which thus count all
// crashes, whoever saw them. What the owners conclude is sent to all.
func TestCrashNoticesReachTheSameOwners(t *testing.T) {
	all, received := meetCollecting(t, 5)
	now := time.Now()
	for request := range byte(10) {
		fp := core.Fingerprint{request, 1}
		for _, ro := range all {
			ro.NotifyOwners(now, core.CrashNotice{Kind: core.NoticeSuspected, Request: fp, Crashes: []core.Crash{{Endpoint: 7, At: now.Add(-50 * time.Millisecond)}}})
		}
		// Each of the two owners is notified by all other routers, and does not notify itself.
		eventually(t, "both owners are notified by the four others", func() bool {
			owners := 0
			for _, no := range received {
				if no.count(fp) == len(all)-1 {
					owners++
				}
			}
			return owners == 2
		})
	}
	fp := core.Fingerprint{99}
	all[0].NotifyAll(now, core.CrashNotice{Kind: core.NoticeQuarantined, Request: fp})
	eventually(t, "all others are notified", func() bool {
		count := 0
		for _, no := range received {
			count += no.count(fp)
		}
		return count == len(all)-1
	})
	for _, no := range received {
		for _, note := range no.all {
			if note.Kind == core.NoticeSuspected && (len(note.Crashes) != 1 || note.Crashes[0].Endpoint != 7 || time.Since(note.Crashes[0].At) < 50*time.Millisecond) {
				t.Errorf("received as %+v", note)
			}
		}
	}
}

// Guards against crashes that nobody counts because a long prompt's parts are too many for a message: each reaches
// the same two owners from all routers, its suspicion and its acquittal, and a quarantine reaches all.
func TestPartsOfALongPromptReachTheirOwners(t *testing.T) {
	all, received := meetCollecting(t, 5)
	now := time.Now()
	const parts = 400
	notices := func(kind core.CrashNoticeKind, crashes ...core.Crash) []core.CrashNotice {
		var nos []core.CrashNotice
		for part := range uint64(parts) {
			nos = append(nos, core.CrashNotice{Kind: kind, Request: crash.PartFingerprint(part * 0x9e3779b97f4a7c15), Crashes: crashes})
		}
		return nos
	}
	cr := core.Crash{Endpoint: 7, At: now.Add(-50 * time.Millisecond)}
	for _, ro := range all {
		ro.NotifyOwners(now, notices(core.NoticeSuspected, cr)...)
	}
	eventually(t, "each part has two owners, which the four others notify", func() bool {
		for _, no := range notices(core.NoticeSuspected) {
			owners := 0
			for _, re := range received {
				if re.count(no.Request) == len(all)-1 {
					owners++
				}
			}
			if owners != 2 {
				return false
			}
		}
		return true
	})
	suspected := 0
	for _, re := range received {
		re.mu.Lock()
		suspected += len(re.all)
		for _, no := range re.all {
			if no.Kind != core.NoticeSuspected || len(no.Crashes) != 1 || no.Crashes[0].Endpoint != 7 || time.Since(no.Crashes[0].At) < 50*time.Millisecond {
				t.Fatalf("received as %+v", no)
			}
		}
		re.mu.Unlock()
	}
	all[0].NotifyAll(now, notices(core.NoticeQuarantined, cr, cr, cr)...)
	all[1].NotifyOwners(now, notices(core.NoticeCleared)...)
	eventually(t, "all others know of the quarantines, and the owners of the acquittals", func() bool {
		total, quarantines := 0, 0
		for _, re := range received {
			re.mu.Lock()
			total += len(re.all)
			for _, no := range re.all {
				if no.Kind == core.NoticeQuarantined && len(no.Crashes) == 3 {
					quarantines++
				}
			}
			re.mu.Unlock()
		}
		return quarantines == parts*(len(all)-1) && total > suspected+quarantines
	})
}

// Invalid notices, from a router of another version or something else that sends to the port, must
// be dropped, and later valid ones handled.
func TestInvalidCrashNoticesAreDropped(t *testing.T) {
	all, received := meetCollecting(t, 2)
	co, err := net.Dial("udp", all[0].Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer co.Close()
	for _, body := range []any{
		map[int]any{11: []any{1, []byte{1, 2}, []any{}}},
		map[int]any{11: []any{9, make([]byte, 16), []any{}}},
		map[int]any{11: []any{0, make([]byte, 16), nil}},
		map[int]any{11: []any{1}},
		map[int]any{11: "text"},
		map[int]any{23: []any{1, []any{}, []byte{1, 2}}},
		map[int]any{23: []any{9, []any{}, make([]byte, 8)}},
		map[int]any{23: []any{1, []any{}}},
	} {
		data, err := cbor.Marshal(body)
		if err != nil {
			t.Fatal(err)
		}
		if _, err = co.Write(data); err != nil {
			t.Fatal(err)
		}
	}
	fp := core.Fingerprint{5}
	all[1].NotifyAll(time.Now(), core.CrashNotice{Kind: core.NoticeCleared, Request: fp})
	eventually(t, "the next notice is received", func() bool { return received[0].count(fp) == 1 })
	if got := len(received[0].all); got != 1 {
		t.Errorf("%d notices received, want one", got)
	}
}
