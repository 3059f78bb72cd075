package crash_test

import (
	"slices"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/crash"
)

// quarantined returns whether a router quarantines a request.
func quarantined(ta *crash.Table, now time.Time, fp core.Fingerprint) bool {
	return ta.Check(now, fp).Quarantined
}

func crashAt(endpoint uint64, ms int) []core.Crash {
	return []core.Crash{{Endpoint: endpoint, At: after(ms)}}
}

func suspected(fp core.Fingerprint, endpoint uint64, ms int) core.CrashNotice {
	return core.CrashNotice{Kind: core.NoticeSuspected, Request: fp, Crashes: crashAt(endpoint, ms)}
}

// crashThreeEndpoints has a request crash three endpoints of one router, at 0, 1 and 2 s, and
// returns the effects of the third crash.
func crashThreeEndpoints(ta *crash.Table, fp core.Fingerprint) crash.Effects {
	var ef crash.Effects
	for ix := range 3 {
		ef = ta.EndpointCrashed(after(1000*ix), uint64(10+ix), []core.Fingerprint{fp})
	}
	return ef
}

// Three endpoints crash under a request, each seen by another router. The owner of the request
// receives all three notices and notifies all; a fourth router refuses it from then on.
func TestThirdCrashQuarantinesEverywhere(t *testing.T) {
	routers := []*crash.Table{{}, {}, {}, {}}
	owner := routers[3]
	var effects crash.Effects
	for ix := range 3 {
		ef := routers[ix].EndpointCrashed(after(1000*ix), uint64(10+ix), []core.Fingerprint{first, {byte(50 + ix)}})
		if len(ef.ToAll) > 0 {
			t.Errorf("router %d quarantined it after a single crash of its own", ix)
		}
		for _, no := range ef.ToOwners {
			effects = owner.ApplyNotice(after(1000*ix+5), no)
			// A duplicate message, and another router's of the same crash, change nothing.
			if again := owner.ApplyNotice(after(1000*ix+6), no); len(again.ToAll) > 0 {
				t.Error("a duplicate message is counted twice")
			}
			if len(effects.ToAll) > 0 && ix < 2 {
				t.Errorf("quarantined after %d crashes", ix+1)
			}
			if no.Request == first && ix == 2 && len(effects.ToAll) == 1 {
				routers[0].ApplyNotice(after(2010), effects.ToAll[0])
			}
		}
	}
	if !quarantined(owner, after(2020), first) || !quarantined(routers[0], after(2020), first) {
		t.Error("the request is not quarantined after its third crash")
	}
	for ix := range 3 {
		if quarantined(owner, after(2020), core.Fingerprint{byte(50 + ix)}) {
			t.Error("a request that was a bystander once is quarantined too")
		}
	}
}

// Guards against quarantining a request for crashes before and after a success, which shows that it
// is not the cause. The owner's count has to start anew.
func TestSuccessfulRequestIsCleared(t *testing.T) {
	ta, owner := &crash.Table{}, &crash.Table{}
	applyNotices := func(ms int, notices []core.CrashNotice) {
		for _, no := range notices {
			owner.ApplyNotice(after(ms), no)
		}
	}
	applyNotices(0, ta.EndpointCrashed(after(0), 10, []core.Fingerprint{first}).ToOwners)
	applyNotices(1000, ta.EndpointCrashed(after(1000), 11, []core.Fingerprint{first}).ToOwners)
	applyNotices(2000, ta.Succeeded(after(2000), first).ToOwners)
	applyNotices(20000, ta.EndpointCrashed(after(20000), 12, []core.Fingerprint{first}).ToOwners)
	applyNotices(21000, ta.EndpointCrashed(after(21000), 13, []core.Fingerprint{first}).ToOwners)
	if quarantined(ta, after(21001), first) || quarantined(owner, after(21001), first) {
		t.Error("a request that succeeded is quarantined by crashes before and after")
	}
	applyNotices(22000, ta.EndpointCrashed(after(22000), 14, []core.Fingerprint{first}).ToOwners)
	if !quarantined(ta, after(22001), first) || !quarantined(owner, after(22001), first) {
		t.Error("three crashes since its success do not quarantine it")
	}
}

// Guards against quarantining a request that keeps succeeding, some attempts at which are running
// when endpoints crash. The router that serves it must not report these crashes, and an owner that
// knows of a recent success must not count them.
func TestCrashesRightAfterASuccessDoNotCount(t *testing.T) {
	ta, owner := &crash.Table{}, &crash.Table{}
	for ix := range 4 {
		ta.Succeeded(after(1000*ix), first)
		if ef := ta.EndpointCrashed(after(1000*ix+500), uint64(10+ix), []core.Fingerprint{first}); len(ef.ToOwners) > 0 {
			t.Errorf("crash %d is reported: %+v", ix, ef)
		}
		owner.ApplyNotice(after(1000*ix), core.CrashNotice{Kind: core.NoticeCleared, Request: first})
		owner.ApplyNotice(after(1000*ix+510), suspected(first, uint64(10+ix), 1000*ix+500))
	}
	if quarantined(ta, after(5000), first) || quarantined(owner, after(5000), first) {
		t.Error("a request that keeps succeeding is quarantined")
	}
	if _, suspects := owner.Len(); suspects != 0 {
		t.Error("the owner still suspects it")
	}
}

// Guards against quarantining a request of which many identical ones run when three endpoints crash
// in one second for another reason. It succeeded a moment before at a router that does not know of
// the crashes: when that router receives the quarantine, it has to clear the request everywhere.
func TestIdenticalRequestsDuringAnOutageAreCleared(t *testing.T) {
	witness, owner := &crash.Table{}, &crash.Table{}
	witness.Succeeded(after(-1000), first)
	var ef crash.Effects
	for ix := range 3 {
		ef = owner.ApplyNotice(after(10*ix), suspected(first, uint64(10+ix), 10*ix))
	}
	if len(ef.ToAll) != 1 || !quarantined(owner, after(30), first) {
		t.Fatalf("the test does not cause the quarantine: %+v", ef)
	}
	clearing := witness.ApplyNotice(after(32), ef.ToAll[0])
	if len(clearing.ToAll) != 1 || clearing.ToAll[0].Kind != core.NoticeCleared {
		t.Fatalf("the router that served it does not clear the request: %+v", clearing)
	}
	owner.ApplyNotice(after(34), clearing.ToAll[0])
	if quarantined(owner, after(35), first) || quarantined(witness, after(35), first) {
		t.Error("the request is still quarantined")
	}
	// An entry that was written in the meantime is removed when it is seen.
	if ef = owner.EntryStored(after(60), core.Quarantine{Request: first, Rev: 9}); len(ef.Remove) != 1 || quarantined(owner, after(61), first) {
		t.Errorf("an entry that was written too late is kept: %+v", ef)
	}
}

// Guards against quarantining a bystander: one request crashes four endpoints, and another is running
// at three of them, as it is retried each time. Crashes with a known cause must not count. If the
// bystander was quarantined before the cause was known, it has to be tried after a second, in turn
// with the cause and not at the same time. Three crashes within a second are as uncertain.
func TestBystanderIsNotQuarantined(t *testing.T) {
	ta := &crash.Table{}
	crashThreeEndpoints(ta, first)
	ta.EndpointCrashed(after(2050), 13, []core.Fingerprint{first})
	for ix := range 3 {
		ta.ApplyNotice(after(2100+ix), suspected(second, uint64(10+ix), 1000*ix))
	}
	if quarantined(ta, after(2200), second) {
		t.Error("a bystander is quarantined for crashes with a known cause")
	}
	late := &crash.Table{}
	for ix := range 3 {
		late.ApplyNotice(after(1000*ix), suspected(second, uint64(10+ix), 1000*ix))
	}
	crashThreeEndpoints(late, first)
	for fp, want := range map[core.Fingerprint]time.Duration{first: time.Second, second: 3 * time.Second} {
		if ve := late.Check(after(2000), fp); !ve.Quarantined || ve.RetryAfter != want {
			t.Errorf("two requests at the same crashes: %s is tried after %s, want %s", fp, ve.RetryAfter, want)
		}
	}
	outage := &crash.Table{}
	for ix := range 3 {
		outage.ApplyNotice(after(300*ix), suspected(first, uint64(10+ix), 300*ix))
	}
	if ve := outage.Check(after(600), first); ve.RetryAfter != time.Second {
		t.Errorf("a request at three crashes within a second is tried after %s, want 1s", ve.RetryAfter)
	}
}

// Two causes run side by side at the same endpoints, so that crashes of the second are attributed to
// the first: the second is quarantined with its fifth crash at the latest, and not tried any more.
func TestCausesSideBySide(t *testing.T) {
	ta := &crash.Table{}
	for ix := range 8 {
		ta.EndpointCrashed(after(1000*ix), uint64(10+ix), []core.Fingerprint{first})
	}
	for ix := range 5 {
		if quarantined(ta, after(10000), second) {
			t.Errorf("quarantined with %d crashes that are attributed to the other", ix)
		}
		ta.ApplyNotice(after(10000+ix), suspected(second, uint64(10+ix), 1000*ix))
	}
	ve := ta.Check(after(300000), second)
	if !ve.Quarantined || ve.Trial {
		t.Errorf("%+v, want it quarantined and not tried", ve)
	}
}

// A quarantine ends. The first return after a delay is a trial, which one router wins in the store.
// If it crashes an endpoint again, the next delay is longer, and after two trials there is none. An
// entry whose request still returns is renewed before it expires.
func TestTrialsOfAQuarantinedRequest(t *testing.T) {
	ta := &crash.Table{}
	crashThreeEndpoints(ta, first)
	check := func(s int, trial, renew bool) crash.Verdict {
		t.Helper()
		ve := ta.Check(after(1000*s), first)
		if !ve.Quarantined || ve.Trial != trial || ve.Renew != renew {
			t.Errorf("after %d s: %+v, want trial %v, renewal %v", s, ve, trial, renew)
		}
		return ve
	}
	check(60, false, false) // the store does not have it: no router can win a trial
	ta.EntryStored(after(3000), core.Quarantine{Request: first, Rev: 5})
	if ve := check(4, false, false); ve.RetryAfter != 18*time.Second {
		t.Errorf("may return after %s, want 18s", ve.RetryAfter)
	}
	ve := check(23, true, false)
	ve.Entry.Trials, ve.Entry.Rev = 1, 6
	ta.EntryStored(after(23000), ve.Entry)
	check(24, false, false)
	ta.EndpointCrashed(after(23500), 20, []core.Fingerprint{first})
	check(100, false, false)
	check(144, true, false)
	ta.EntryStored(after(144000), core.Quarantine{Request: first, Trials: 2, Rev: 7})
	check(400, false, false)
	check(500, false, true)
	ta.EntryStored(after(500000), core.Quarantine{Request: first, Trials: 2, Rev: 8})
	check(501, false, false)
	if ef := ta.EntryRemoved(first, 9); !slices.Contains(ef.Released, first) || quarantined(ta, after(502000), first) {
		t.Error("an expired entry is still in force")
	}
}

// A trial succeeds: the request was quarantined wrongly, and all routers have to serve it at once.
func TestSuccessfulTrialReleases(t *testing.T) {
	ta, other := &crash.Table{}, &crash.Table{}
	crashThreeEndpoints(ta, first)
	for _, router := range []*crash.Table{ta, other} {
		router.EntryStored(after(3000), core.Quarantine{Request: first, Rev: 5})
		router.EntryStored(after(24000), core.Quarantine{Request: first, Trials: 1, Rev: 6})
	}
	ef := ta.Succeeded(after(24100), first)
	if len(ef.ToAll) != 1 || len(ef.Remove) != 1 || ef.Remove[0].Rev != 6 {
		t.Fatalf("the other routers are not notified, or the entry is kept: %+v", ef)
	}
	other.ApplyNotice(after(24110), ef.ToAll[0])
	if quarantined(ta, after(24120), first) || quarantined(other, after(24120), first) {
		t.Error("it is still quarantined")
	}
}

// Guards against quarantines that are lost when all routers are killed at once and know nothing but
// the store. With the store away, a router keeps a quarantine that it knows from a peer for as long
// as the peer repeats it.
func TestQuarantineSurvivesRestartOfAllRouters(t *testing.T) {
	fresh := &crash.Table{}
	fresh.EntryStored(after(0), core.Quarantine{Request: first, Rev: 5})
	if !quarantined(fresh, after(1), first) {
		t.Error("the store's entry is not in force")
	}
	notified := &crash.Table{}
	no := core.CrashNotice{Kind: core.NoticeQuarantined, Request: second, Crashes: crashAt(10, -2000)}
	for s := range 40 {
		notified.ApplyNotice(after(1000*s), no)
	}
	if !quarantined(notified, after(60000), second) {
		t.Error("a quarantine received from a peer is dropped 20 s later")
	}
	if quarantined(notified, after(80000), second) {
		t.Error("a quarantine that no peer repeats is kept")
	}
}

// Guards against unbounded memory when a caller sends endless distinct requests that crash
// endpoints. A request that returns has to be detected among them all the same.
func TestEndlessCrashingRequestsAreBounded(t *testing.T) {
	ta := &crash.Table{}
	for ix := range 20000 {
		fp := core.Fingerprint{1, byte(ix), byte(ix >> 8), byte(ix >> 16)}
		ta.EndpointCrashed(after(ix), uint64(1000+ix), []core.Fingerprint{fp})
	}
	if held, suspects := ta.Len(); held > 256 || suspects > 4096 {
		t.Errorf("%d quarantined and %d suspected", held, suspects)
	}
	for ix := range 3 {
		ta.EndpointCrashed(after(30000+1000*ix), uint64(10+ix), []core.Fingerprint{first})
	}
	if !quarantined(ta, after(33000), first) {
		t.Error("a request that returns is not detected among them")
	}
}

// Guards against a quarantine that ends because the store has lost its entry, at a router that knows it
// from the store alone: it is kept, and written again when the request returns.
func TestLostEntryIsWrittenAgain(t *testing.T) {
	var ta crash.Table
	begin, fp := time.Unix(1_700_000_000, 0), core.Fingerprint{7}
	stored := core.Quarantine{Request: fp, Crashes: 3, Rev: core.VersionOf(1, 14)}
	ta.EntryStored(begin, stored)
	ta.EntryRemoved(fp, core.VersionOf(2, 9))
	at := begin.Add(time.Minute)
	ve := ta.Check(at, fp)
	if !ve.Quarantined || !ve.Renew || ve.Trial || ve.Entry.Rev != 0 || ve.Entry.Crashes != 3 {
		t.Errorf("%+v", ve)
	}
	stored.Rev = core.VersionOf(2, 10)
	ta.EntryStored(at, stored)
	if ve = ta.Check(at.Add(time.Second), fp); !ve.Quarantined || ve.Renew {
		t.Errorf("once it is stored: %+v", ve)
	}
	ta.EntryRemoved(fp, core.VersionOf(2, 11))
	if ve = ta.Check(at.Add(time.Second), fp); ve.Quarantined {
		t.Errorf("once it is removed: %+v", ve)
	}
}
