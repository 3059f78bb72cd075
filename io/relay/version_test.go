package relay_test

import (
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/core/route"
)

// setSoftware registers the endpoints with these versions of their software.
func (fl *fleet) setSoftware(versions ...core.SoftwareVersion) {
	for ix, version := range versions {
		fl.re.Placer.Register(time.Now(), place.Endpoint{
			ID: core.EndpointID(fmt.Sprint("e", ix)), Addr: fl.addrs[ix], Pool: "pool", Zone: "a", Slots: 8, Software: version,
		})
	}
}

// breaksAfterThree sends three events and then breaks off. If resumed after these, it sends the other two.
func breaksAfterThree(se *received, co net.Conn) bool {
	if se.request.Header.Get("Last-Event-Id") == "3" {
		writeEvents(se, co, 4, 5)
		endChunks(co)
		return true
	}
	writeEvents(se, co, 1, 3)
	time.Sleep(5 * time.Millisecond)
	return false
}

// Guards against a second attempt of the router that continues a stream at another software version than
// the one that began it.
func TestBrokenStreamResumesAtItsVersion(t *testing.T) {
	versions := []core.SoftwareVersion{"v1", "v2", "v1", "v2"}
	fl := newFleet(t, slices.Repeat([]script{breaksAfterThree}, len(versions))...).configure(resumable)
	fl.setSoftware(versions...)
	for number := range 12 {
		_, body, err := fl.send("POST", "/r/x", "hello")
		got := fl.requests()
		if err != nil || body != eventText(1, 5) || len(got) != 2*(number+1) {
			t.Fatalf("%q, %v after %d sends", body, err, len(got))
		}
		first, second := got[2*number].endpoint, got[2*number+1].endpoint
		if versions[first] != versions[second] {
			t.Errorf("the stream began at %s and continued at %s", versions[first], versions[second])
		}
	}
}

// Guards against a stream that continues at another software version where no other endpoint of its
// version is left. The caller must see at once that it was cut.
func TestBrokenStreamOfLastEndpointIsCut(t *testing.T) {
	fl := newFleet(t, breaksAfterThree, breaksAfterThree).configure(resumable)
	fl.setSoftware("v1", "v2")
	began := time.Now()
	_, body, err := fl.send("POST", "/r/x", "hello")
	if err == nil || body != eventText(1, 3) || len(fl.requests()) != 1 {
		t.Errorf("%q, %v after %d sends, want a cut after the third event and one send", body, err, len(fl.requests()))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("the caller saw it after %s", took)
	}
}

// Guards against a stalled stream that is abandoned for an endpoint of another software version.
func TestStalledStreamStaysAtItsVersion(t *testing.T) {
	fl := newFleet(t, silentAfterTwo, silentAfterTwo).configure(route.Route{
		Kind: route.Stream, MaxAttempts: 2, GapGoal: 100 * time.Millisecond, Resumable: true, Timeout: 2 * time.Second,
	})
	fl.setSoftware("v1", "v2")
	if _, body, err := fl.send("POST", "/r/x", "hello"); err == nil || len(fl.requests()) != 1 {
		t.Errorf("%q, %v after %d sends, want a cut and one send", body, err, len(fl.requests()))
	}
}

// Guards against a second attempt that is kept to a version although the first one brought no event.
func TestAttemptWithoutEventsMayChangeVersion(t *testing.T) {
	failing := func(*received, net.Conn) bool { return false }
	whole := func(se *received, co net.Conn) bool {
		writeEvents(se, co, 1, 5)
		endChunks(co)
		return true
	}
	fl := newFleet(t, failing, whole).configure(resumable)
	fl.setSoftware("v1", "v2")
	for range 4 {
		if _, body, err := fl.send("POST", "/r/x", "hello"); err != nil || body != eventText(1, 5) {
			t.Fatalf("%q, %v", body, err)
		}
	}
}

// Guards against a migration to an engine of another software version.
func TestMigrationStaysAtItsVersion(t *testing.T) {
	for name, ca := range map[string]struct {
		faults
		versions []core.SoftwareVersion
	}{
		"next":                  {versions: []core.SoftwareVersion{"v1", "v1", "v2", "v2"}},
		"second":                {versions: []core.SoftwareVersion{"v1", "v2", "v1", "v2"}},
		"last":                  {versions: []core.SoftwareVersion{"v1", "v2", "v2", "v1"}},
		"no engine of the same": {versions: []core.SoftwareVersion{"v1", "v2", "v3", "v4"}},
		"target refuses":        {versions: []core.SoftwareVersion{"v1", "v1", "v2", "v2"}, faults: faults{targetRefuses: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			versions := ca.versions
			en, pl := newEngines(t, len(versions), 60, moving, ca.faults)
			en.fl.setSoftware(versions...)
			rs, rd := en.fl.openStream(t.Context())
			defer rs.Body.Close()
			first, _ := rd.ReadString('\n')
			pl.arm()
			rest, err := io.ReadAll(rd)
			if got := first + string(rest); err != nil || got != eventText(1, 60) {
				t.Errorf("%q, %v", got, err)
			}
			migrations := 1
			if versions[0] != versions[1] && versions[1] != versions[2] && versions[0] != versions[2] {
				migrations = 0
			}
			en.checkEnd(t, pl, 1, migrations)
			en.mu.Lock()
			defer en.mu.Unlock()
			for _, at := range en.continuedAt {
				if versions[at] != versions[en.source] {
					t.Errorf("the stream began at %s and continued at %s", versions[en.source], versions[at])
				}
			}
		})
	}
}
