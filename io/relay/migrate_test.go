package relay_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/migr"
	"almondrill/core/place"
	"almondrill/core/route"
	"almondrill/io/stats"
)

var (
	moving          = route.Route{Kind: route.Stream, MaxAttempts: 1, GapGoal: 100 * time.Millisecond, Timeout: 6 * time.Second}
	movingResumable = route.Route{Kind: route.Stream, MaxAttempts: 2, GapGoal: 100 * time.Millisecond, Timeout: 6 * time.Second, Resumable: true}
)

// Each case has one of the failures that the execution of a migration has to survive. The caller must
// get all events once and in order, or see that the stream was cut; the stream must never run at two
// engines, and only a stream that may be repeated may be executed twice; neither copies nor calls may
// be left over.
func TestMigration(t *testing.T) {
	// at says where the stream continued from a copy.
	type at int
	const (
		nowhere at = iota
		atTarget
		atSource
	)
	dead := func(en *engines) {
		en.fl.re.Placer.Register(time.Now(), place.Endpoint{ID: "dead", Addr: "127.0.0.1:9", Pool: "pool", Zone: "a", Slots: 8})
	}
	reconfigure := func(en *engines) { en.fl.configurePool(movingResumable, route.Pool{ID: "pool", Engine: true}) }
	removeSource := func(en *engines) { en.fl.re.Placer.Remove(core.EndpointID(fmt.Sprint("e", en.source))) }
	spendBudget := func(en *engines) { en.fl.re.Budget.SetBound(0, 2.4) } // one further send, the migration's
	twice := moving
	twice.MaxAttempts = 2
	short := moving
	short.Timeout = time.Second
	for name, ca := range map[string]struct {
		faults
		route  route.Route
		count  int // engines, 2 if 0
		total  int // events, 60 if 0
		before func(en *engines)
		// cut is set if the caller sees a cut, executions is 1 if 0.
		cut        bool
		executions int
		continued  at
		done       []bool
	}{
		"no failure":                      {continued: atTarget, done: []bool{true}},
		"first copy: no such run":         {faults: faults{first: 404}, done: []bool{false}},
		"first copy: call in progress":    {faults: faults{first: 409}, done: []bool{false}},
		"first copy: no room":             {faults: faults{first: 503}, done: []bool{false}},
		"first copy: not answered":        {faults: faults{first: noAnswer}, total: 300, done: []bool{false}},
		"ends before it is stopped":       {faults: faults{first: lateAnswer}, done: []bool{false}},
		"ends while it is stopped":        {faults: faults{last: lateAnswer}, done: []bool{false}},
		"last copy: no room":              {faults: faults{last: 503}, continued: atSource, done: []bool{false}},
		"last copy: refused":              {faults: faults{last: 409, noHandle: true}, done: []bool{false}},
		"last copy: lost":                 {faults: faults{last: noAnswer}, total: 500, done: []bool{false}},
		"first copy: answer broken off":   {faults: faults{first: cutAnswer}, done: []bool{false}},
		"last copy: answer broken off":    {faults: faults{last: cutAnswer}, total: 500, done: []bool{false}},
		"last copy: answer lost":          {faults: faults{last: lostAnswer}, continued: atTarget, done: []bool{true}},
		"last copy: lost, later a crash":  {faults: faults{last: noAnswer, cutAt: 190}, total: 300, continued: atTarget, done: []bool{true}},
		"source crashes":                  {faults: faults{crash: true}, continued: atTarget, done: []bool{true}},
		"source keeps its stream open":    {faults: faults{staysOpen: true}, continued: atTarget, done: []bool{true}},
		"target refuses":                  {faults: faults{targetRefuses: true}, continued: atSource, done: []bool{false}},
		"target refuses, budget spent":    {faults: faults{targetRefuses: true}, before: spendBudget, continued: atSource, done: []bool{false}},
		"target cannot be reached":        {count: 1, before: dead, continued: atSource, done: []bool{false}},
		"all refuse":                      {faults: faults{allRefuse: true}, cut: true, done: []bool{false}},
		"all refuse, resumable":           {faults: faults{allRefuse: true}, route: movingResumable, executions: 2, done: []bool{false}},
		"crash, target refuses":           {faults: faults{crash: true, targetRefuses: true}, cut: true, done: []bool{false}},
		"target fails later":              {faults: faults{cutTarget: true}, cut: true, continued: atTarget, done: []bool{true}},
		"target fails later, resumable":   {faults: faults{cutTarget: true}, route: movingResumable, executions: 2, continued: atTarget, done: []bool{true}},
		"target hangs later, resumable":   {faults: faults{hangTarget: true}, route: movingResumable, executions: 2, continued: atTarget, done: []bool{true}},
		"deadline passes later":           {route: short, total: 1000, cut: true, continued: atTarget, done: []bool{true}},
		"configuration changes":           {before: reconfigure, continued: atTarget, done: []bool{true}},
		"target sends nothing, resumable": {faults: faults{silentTarget: true}, route: movingResumable, executions: 2, continued: atTarget, done: []bool{false}},
		"last copy: handle lost":          {faults: faults{last: 503, lostHandle: true}, continued: atTarget, done: []bool{true}},
		"first copy: answered twice":      {faults: faults{answersTwice: true, last: 409, noHandle: true}, total: 300, done: []bool{false}},
		"target repeats events":           {faults: faults{repeats: 2}, continued: atTarget, done: []bool{true}},
		"target omits an event":           {faults: faults{skips: 1}, cut: true, continued: atTarget, done: []bool{false}},
		"target omits a later event":      {faults: faults{gap: true}, cut: true, continued: atTarget, done: []bool{false}},
		"target omits, resumable":         {faults: faults{skips: 1}, route: movingResumable, executions: 2, continued: atTarget, done: []bool{false}},
		// The read fails though the source has neither stopped nor closed the stream.
		"source breaks the framing":          {faults: faults{extra: "no chunk\r\n", garbles: true}, cut: true, done: []bool{false}},
		"all refuse, two attempts":           {faults: faults{allRefuse: true}, route: twice, cut: true, done: []bool{false}},
		"last copy: no room, source removed": {faults: faults{last: 503}, before: removeSource, continued: atSource, done: []bool{false}},
		"no other engine":                    {count: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ro := ca.route
			if ro.Kind != route.Stream {
				ro = moving
			}
			en, pl := newEngines(t, cmp.Or(ca.count, 2), max(60, ca.total), ro, ca.faults)
			rs, rd := en.fl.openStream(context.Background())
			defer rs.Body.Close()
			first := make([]byte, len(eventText(1, 2)))
			_, _ = io.ReadFull(rd, first)
			if ca.before != nil {
				ca.before(en)
			}
			pl.arm()
			rest, err := io.ReadAll(rd)
			got, want := string(first)+string(rest), eventText(1, en.total)
			if ca.cut != (err != nil) || !ca.cut && got != want || len(got) > len(want) || got != want[:len(got)] {
				t.Errorf("got %q, %v; want a cut: %t", got, err, ca.cut)
			}
			en.checkEnd(t, pl, max(1, ca.executions), len(ca.done))
			if done := pl.results(); !slices.Equal(done, ca.done) {
				t.Errorf("migrations ended with %v, want %v", done, ca.done)
			}
			en.mu.Lock()
			defer en.mu.Unlock()
			where := nowhere
			if len(en.continuedAt) == 1 {
				where = atTarget
				if en.continuedAt[0] == en.source {
					where = atSource
				}
			}
			if where != ca.continued {
				t.Errorf("continued at %v, the source is %d, want %d", en.continuedAt, en.source, ca.continued)
			}
		})
	}
}

// checkEnd checks, once a request has ended, that nothing of it is left.
func (en *engines) checkEnd(t *testing.T, pl *planner, executions, migrations int) {
	t.Helper()
	waitFor(t, "the migrations end", func() bool { return len(pl.results()) == migrations })
	waitFor(t, "all calls are released", func() bool { return len(en.fl.re.Placer.LoadReport()) == 0 })
	waitFor(t, "the stream is removed, and runs nowhere", func() bool {
		pl.mu.Lock()
		defer pl.mu.Unlock()
		return len(pl.runs) == 0 && !en.running()
	})
	if !en.crash {
		waitFor(t, "copies are used or freed", func() bool {
			en.mu.Lock()
			defer en.mu.Unlock()
			return len(en.unused) == 0
		})
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.executions != executions {
		t.Errorf("%d executions, want %d", en.executions, executions)
	}
	for _, what := range en.violations {
		t.Error(what)
	}
	st := en.fl.re.Stats
	if begun, ended := st.Migrations(stats.MigrationsBegun, migr.Slow), st.Migrations(stats.MigrationsDone, migr.Slow)+st.Migrations(stats.MigrationsFailed, migr.Slow); int(begun) != migrations || begun != ended {
		t.Errorf("%d migrations begun and %d ended, want %d", begun, ended, migrations)
	}
}

// The caller disconnects during the first copy: the source must be closed, and the copy freed as soon
// as its handle is known.
func TestCallerDisconnectsDuringMigration(t *testing.T) {
	en, pl := newEngines(t, 2, 400, moving, faults{first: lateAnswer})
	ctx, cancel := context.WithCancel(t.Context())
	rs, rd := en.fl.openStream(ctx)
	_, _ = rd.ReadString('\n')
	pl.arm()
	waitFor(t, "the copy begins", func() bool { return en.fl.re.Stats.Migrations(stats.MigrationsBegun, migr.Slow) == 1 })
	cancel()
	_ = rs.Body.Close()
	waitClosed(t, en.fl.requests()[0])
	en.checkEnd(t, pl, 1, 1)
}

// The send that continues a stream must be the request that the source got, with the header that names
// the copy, the last event and the remaining time. A caller must not be able to set that header.
func TestContinuedRequestIsTheSame(t *testing.T) {
	en, pl := newEngines(t, 2, 100, moving, faults{})
	rs, rd := en.fl.openStream(t.Context())
	defer rs.Body.Close()
	_, _ = rd.ReadString('\n')
	time.Sleep(50 * time.Millisecond)
	pl.arm()
	_, _ = io.ReadAll(rd)
	en.checkEnd(t, pl, 1, 1)
	var sends []*received
	for _, se := range en.fl.requests() {
		if se.request.URL.Path == "/r/x" {
			sends = append(sends, se)
		}
	}
	if len(sends) != 2 || sends[1].body != "hello" || sends[1].request.RequestURI != sends[0].request.RequestURI || sends[1].request.Header.Get("X-Id") != "id-1" {
		t.Fatalf("%d sends, the last with %v", len(sends), sends[len(sends)-1].request)
	}
	first, second := sends[0].request.Header, sends[1].request.Header
	if first.Get(copies.From) != "" || second.Get(copies.From) != en.fl.addrs[sends[0].endpoint]+"/h1" {
		t.Errorf("%s is %q, then %q", copies.From, first.Get(copies.From), second.Get(copies.From))
	}
	if second.Get("Last-Event-Id") == "" || len(second.Get("X-Wait")) > len(first.Get("X-Wait")) || second.Get("X-Wait") >= first.Get("X-Wait") {
		t.Errorf("last event %q, remaining time %q after %q", second.Get("Last-Event-Id"), second.Get("X-Wait"), first.Get("X-Wait"))
	}
	if rs.Header.Get("X-Stamp") != "s"+string(rune('0'+sends[0].endpoint)) {
		t.Errorf("stamp %s, want that of the first engine", rs.Header.Get("X-Stamp"))
	}
}

// No migration begins where the pool does not declare that its engines copy streams, in a router that
// shuts down, where the retry budget is spent, where the body of the request was released for lack of
// memory, or to an engine that the planner excludes.
func TestNoMigration(t *testing.T) {
	for name, prepare := range map[string]func(en *engines, pl *planner){
		"not declared": func(en *engines, _ *planner) { en.fl.configurePool(moving, route.Pool{ID: "pool", Engine: true}) },
		"shuts down":   func(en *engines, _ *planner) { en.fl.shuttingDown = true },
		"budget":       func(en *engines, _ *planner) { en.fl.re.Budget.SetBound(0, 0) },
		"memory":       func(en *engines, _ *planner) { en.fl.re.Memory.SetLimit(10) },
		"excluded":     func(_ *engines, pl *planner) { pl.avoid["e0"], pl.avoid["e1"] = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			en, pl := newEngines(t, 2, 60, moving, faults{})
			prepare(en, pl)
			pl.arm()
			rs, rd := en.fl.openStream(t.Context())
			defer rs.Body.Close()
			if body, err := io.ReadAll(rd); err != nil || string(body) != eventText(1, 60) {
				t.Errorf("%q, %v", body, err)
			}
			en.checkEnd(t, pl, 1, 0)
			if sends := len(en.fl.requests()); sends != 1 {
				t.Errorf("%d requests reached engines, want 1", sends)
			}
			// A planner counts a target that was reserved and not used as failed.
			if pl.mu.Lock(); pl.reserved > 0 {
				t.Errorf("%d targets were reserved", pl.reserved)
			}
			pl.mu.Unlock()
		})
	}
}

// A comment does not prevent a migration. After an event without a number, the stream cannot continue
// elsewhere without a duplicate: it must not be stopped.
func TestUnnumberedEventDuringMigration(t *testing.T) {
	for extra, done := range map[string]bool{": waiting\n\n": true, "data: x\n\n": false} {
		t.Run(extra, func(t *testing.T) {
			t.Parallel()
			en, pl := newEngines(t, 2, 60, moving, faults{extra: extra})
			rs, rd := en.fl.openStream(t.Context())
			defer rs.Body.Close()
			first, _ := rd.ReadString('\n')
			pl.arm()
			rest, err := io.ReadAll(rd)
			if got := strings.Replace(first+string(rest), extra, "", 1); err != nil || got != eventText(1, 60) {
				t.Errorf("%q, %v", got, err)
			}
			en.checkEnd(t, pl, 1, 1)
			if !slices.Equal(pl.results(), []bool{done}) {
				t.Errorf("migrations ended with %v, want %t", pl.results(), done)
			}
		})
	}
}

// A caller may disconnect at any time of a migration: no call, copy or run may be left over then.
func TestCallerDisconnectsAtAnyTime(t *testing.T) {
	for name, fa := range map[string]faults{
		"no failure": {}, "no room": {last: 503}, "target refuses": {targetRefuses: true}, "all refuse": {allRefuse: true},
		"answer lost": {last: lostAnswer}, "stays open": {staysOpen: true}, "target is silent": {silentTarget: true}, "target hangs": {hangTarget: true},
	} {
		for after := time.Duration(0); after < 2*planTime; after += planTime / 10 {
			t.Run(name+" "+after.String(), func(t *testing.T) {
				t.Parallel()
				en, pl := newEngines(t, 2, 400, moving, fa)
				ctx, cancel := context.WithCancel(t.Context())
				rs, rd := en.fl.openStream(ctx)
				_, _ = rd.ReadString('\n')
				pl.arm()
				time.Sleep(after)
				cancel()
				_ = rs.Body.Close()
				waitFor(t, "all calls are released", func() bool { return len(en.fl.re.Placer.LoadReport()) == 0 })
				en.checkEnd(t, pl, 1, int(en.fl.re.Stats.Migrations(stats.MigrationsBegun, migr.Slow)))
			})
		}
	}
}

// planTime is how long the router takes at most to begin a migration that is due.
const planTime = 50 * time.Millisecond

// A request may be quarantined between the stop and the next send: what was taken over from the
// migration must be released. That the source stopped on demand is no crash.
func TestQuarantineDuringMigration(t *testing.T) {
	en, pl := newEngines(t, 2, 60, moving, faults{})
	cd := &fakeCrashDetector{allowed: 1}
	en.fl.re.Crashes = cd
	rs, rd := en.fl.openStream(t.Context())
	defer rs.Body.Close()
	_, _ = rd.ReadString('\n')
	pl.arm()
	if rest, err := io.ReadAll(rd); err == nil {
		t.Errorf("got %q, want a cut", rest)
	}
	en.checkEnd(t, pl, 1, 1)
	cd.mu.Lock()
	defer cd.mu.Unlock()
	if len(cd.interrupted) != 0 {
		t.Errorf("%v counted as crashed", cd.interrupted)
	}
}
