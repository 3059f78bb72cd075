package crash_test

import (
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/crash"
)

var (
	sharedPart  = crash.PartFingerprint(1)
	crashedPart = crash.PartFingerprint(2)
)

// quarantineBoth has two parts of the same prompts crash three endpoints at 0, 1 and 2 s, by requests that
// are all different, and stores their quarantines.
func quarantineBoth(t *testing.T, ta *crash.Table) {
	t.Helper()
	for ix := range 3 {
		ta.EndpointCrashed(after(1000*ix), uint64(10+ix), []core.Fingerprint{{byte(100 + ix)}, sharedPart, crashedPart})
	}
	for ix, fp := range []core.Fingerprint{sharedPart, crashedPart} {
		if !quarantined(ta, after(2000), fp) {
			t.Fatalf("part %d is not quarantined after three crashes", ix)
		}
		ta.EntryStored(after(2050), core.Quarantine{Request: fp, Crashes: 3, Rev: core.Version(5 + ix)})
	}
}

// A sound part is quarantined with the one that crashes endpoints, as both are in all requests at the
// crashes. A request with the sound one alone must be the trial, which ends its quarantine and not the other's.
func TestSoundPartIsTriedWithoutTheOther(t *testing.T) {
	ta := &crash.Table{}
	quarantineBoth(t, ta)
	var sound, both time.Duration
	for at := 2100; at < 20000 && (sound == 0 || both == 0); at += 100 {
		if ve := ta.Check(after(at), first, sharedPart); ve.Trial && sound == 0 {
			sound = time.Duration(at-2000) * time.Millisecond
		}
		if ve := ta.Check(after(at), second, sharedPart, crashedPart); ve.Trial && both == 0 {
			both = time.Duration(at-2000) * time.Millisecond
		}
	}
	if sound == 0 || sound > 4*time.Second || both < sound+2*time.Second {
		t.Errorf("the sound part is tried after %s, both after %s", sound, both)
	}
	ta.Succeeded(after(6000), sharedPart)
	if quarantined(ta, after(6010), sharedPart) || !quarantined(ta, after(6010), crashedPart) {
		t.Error("the sound part is still quarantined, or the other one is not")
	}
}

// Two parts that only come together are quarantined by an outage. Neither can be tried alone: a request with
// both must be tried, or it would be refused for as long as it returns.
func TestPartsThatComeTogetherAreTriedTogether(t *testing.T) {
	ta := &crash.Table{}
	quarantineBoth(t, ta)
	ve := ta.Check(after(15000), first, sharedPart, crashedPart)
	if !ve.Trial {
		t.Fatalf("%+v after 13 s, want a trial", ve)
	}
	ta.Succeeded(after(15100), first, sharedPart, crashedPart)
	if ve = ta.Check(after(15200), second, sharedPart, crashedPart); ve.Quarantined {
		t.Errorf("%+v after the trial succeeded", ve)
	}
}

// A suspect beside a quarantined part would spoil its trial: another request must be tried first.
func TestPartIsNotTriedBesideASuspect(t *testing.T) {
	ta := &crash.Table{}
	crashThreeEndpoints(ta, sharedPart)
	ta.EntryStored(after(2050), core.Quarantine{Request: sharedPart, Crashes: 3, Rev: 5})
	ta.EndpointCrashed(after(2100), 20, []core.Fingerprint{crashedPart})
	if ve := ta.Check(after(7000), first, sharedPart, crashedPart); ve.Trial {
		t.Error("tried beside a suspect")
	}
	if ve := ta.Check(after(7000), first, sharedPart); !ve.Trial {
		t.Errorf("%+v, want a trial", ve)
	}
}

// A part goes on crashing endpoints for minutes and is sound then, by a release, while its requests come all
// the time. Its quarantine must end by a trial; until then each trial costs an endpoint, and they are rare.
func TestPartIsServedOnceItIsSound(t *testing.T) {
	const soundFrom, until = 600, 1200
	ta := &crash.Table{}
	crashThreeEndpoints(ta, crashedPart)
	rev := core.Version(5)
	ta.EntryStored(after(2050), core.Quarantine{Request: crashedPart, Crashes: 3, Rev: rev})
	trials, served := 0, 0
	for s := 3; s < until && served == 0; s++ {
		ve := ta.Check(after(1000*s), core.Fingerprint{byte(s), byte(s >> 8)}, crashedPart)
		switch {
		case !ve.Quarantined:
			t.Fatalf("sent after %d s without a trial", s)
		case !ve.Trial:
			continue
		}
		trials++
		rev++
		ve.Entry.Trials, ve.Entry.Rev = ve.Entry.Trials+1, rev
		ta.EntryStored(after(1000*s), ve.Entry)
		if s < soundFrom {
			ta.EndpointCrashed(after(1000*s+100), uint64(100+s), []core.Fingerprint{crashedPart})
			continue
		}
		ta.Succeeded(after(1000*s+100), crashedPart)
		served = s
	}
	if served == 0 || served > soundFrom+310 || trials > 5 {
		t.Errorf("served after %d s, by %d trials; sound from %d s on", served, trials, soundFrom)
	}
	if quarantined(ta, after(1000*until), crashedPart) {
		t.Error("it is still quarantined")
	}
}

// Two requests were running at a crash. The parts of the one whose answer had begun must not be suspected.
func TestPartsOfBegunAnswersAreNoSuspects(t *testing.T) {
	in := &crash.Interruptions{}
	in.Add(after(100), crash.Attempt{Endpoint: endpoint, Request: first, StartedAt: after(0)})
	in.Add(after(101), crash.Attempt{Endpoint: endpoint, Request: second, Parts: []core.Fingerprint{sharedPart, crashedPart}, StartedAt: after(0)})
	got := in.EndpointGone(after(103), endpoint, crash.Refused)
	if len(got) != 4 || got[0] != first || got[1] != second || got[2] != sharedPart || got[3] != crashedPart {
		t.Errorf("suspects %v, want both requests and the parts of the second", got)
	}
}
