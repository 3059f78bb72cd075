package relay_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/migr"
	"almondrill/core/route"
	"almondrill/io/relay"
)

// copies are the names of copy requests in these tests.
var copies = &relay.CopyDialect{
	Path: "/copy", HandlePath: "/handle/", From: "X-From",
	Format: func(cr relay.CopyRequest) []byte { data, _ := json.Marshal(cr); return data },
	Parse:  func(body []byte) (made relay.Copy, err error) { return made, json.Unmarshal(body, &made) },
}

// reply is how a fake engine answers a copy request: with a status, or in one of the ways below.
type reply int

const (
	copied reply = http.StatusOK
	// noAnswer leaves the request unanswered, lostAnswer does so after it was carried out.
	noAnswer reply = iota
	lostAnswer
	// lateAnswer answers after the stream has ended.
	lateAnswer
	// cutAnswer breaks the answer off inside its body, and does not carry the request out.
	cutAnswer
)

// faults are the deviations of the fake engines; the zero value has none.
type faults struct {
	// first and last are the replies to the copy requests; zero stands for copied.
	first, last reply
	// noHandle omits the handle of a refused last copy, and lostHandle that of one for which the stream
	// was stopped.
	noHandle, lostHandle bool
	// answersTwice sends the answer to the first copy twice, and that to the last one later.
	answersTwice bool
	// extra is what the source sends during the first copy, in addition to the events. With garbles, it
	// is not sent as a chunk.
	extra   string
	garbles bool
	// crash cuts the stream after the first copy, staysOpen keeps it open after the stop. cutAt is the
	// event at which the source cuts it, 0 if none.
	crash, staysOpen bool
	cutAt            int
	// targetRefuses and allRefuse refuse handles. After an event of the continued stream, cutTarget cuts
	// it, and hangTarget sends nothing more. silentTarget sends no event at all.
	targetRefuses, allRefuse, cutTarget, hangTarget, silentTarget bool
	// gap omits the second event of the continued stream, and sends the third together with the first.
	gap bool
	// repeats and skips are how many events the target repeats and omits.
	repeats, skips int
}

// engines are fake engines that run streams of total events and copy them to one another.
type engines struct {
	fl    *fleet
	total int
	pause time.Duration
	faults

	mu sync.Mutex // guards all below
	// active counts the engines at which the stream runs, executions the sends without a copy.
	active, executions int
	violations         []string
	stop               chan struct{}
	produced           int
	// sendExtra is set while the extra text is to be sent.
	sendExtra bool
	// source is the engine that runs the stream first.
	source int
	// unused are the handles that are neither used nor freed; made counts all.
	unused map[relay.Handle]bool
	made   int
	// continuedAt lists the engines that have continued the stream from a copy.
	continuedAt []int
	sentHeaders []http.Header
}

// newEngines starts a router with engines of that number and the fake planner.
func newEngines(t *testing.T, count, total int, ro route.Route, fa faults) (*engines, *planner) {
	en := &engines{total: total, pause: 5 * time.Millisecond, faults: fa, unused: map[relay.Handle]bool{}, stop: make(chan struct{})}
	en.fl = newFleet(t, slices.Repeat([]script{en.serve}, count)...)
	pl := &planner{runs: map[uint64]migr.Run{}, avoid: map[core.EndpointID]bool{}}
	en.fl.re.Dialect.Copies = copies
	en.fl.re.Dialect.RouterOnly = append(slices.Clone(dialect.RouterOnly), copies.From)
	en.fl.re.NewPlanner = func() relay.Planner { return pl }
	en.fl.configurePool(ro, route.Pool{ID: "pool", Engine: true, Moves: true, HandleTTL: 2 * time.Second})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	pl.start = func() { go func() { _ = en.fl.re.RunMigrations(ctx) }() }
	return en, pl
}

func (en *engines) serve(se *received, co net.Conn) bool {
	switch path := se.request.URL.Path; {
	case se.request.Header.Get(dialect.RequestID) != "": // engines run any request that bears an id
	case path == copies.Path:
		return en.copy(se, co)
	case strings.HasPrefix(path, copies.HandlePath):
		en.mu.Lock()
		delete(en.unused, relay.Handle(strings.TrimPrefix(path, copies.HandlePath)))
		en.mu.Unlock()
		_, _ = io.WriteString(co, formatResponse(se, http.StatusOK, ""))
		return true
	}
	return en.run(se, co)
}

// copy answers a copy request at the engine that runs the stream.
func (en *engines) copy(se *received, co net.Conn) bool {
	var cr relay.CopyRequest
	_ = json.Unmarshal([]byte(se.body), &cr)
	en.mu.Lock()
	defer en.mu.Unlock()
	how := en.first
	if cr.Last {
		how = en.last
	}
	if en.answersTwice && cr.Last {
		time.Sleep(answerDelay)
	}
	switch {
	case en.crash && cr.Last:
		return false
	case how == noAnswer:
		en.mu.Unlock()
		<-se.closed
		en.mu.Lock()
		return false
	case how == cutAnswer:
		_, _ = io.WriteString(co, strings.TrimSuffix(formatResponse(se, http.StatusOK, `{"Handle":"h1"}`), `"}`))
		return false
	case how == lateAnswer:
		en.mu.Unlock()
		for en.running() {
			time.Sleep(time.Millisecond)
		}
		en.mu.Lock()
	case en.active == 0 || cr.RequestID != "id-1":
		_, _ = io.WriteString(co, formatResponse(se, http.StatusNotFound, ""))
		return true
	case how != 0 && how != copied && how != lostAnswer && (!cr.Last || en.noHandle):
		_, _ = io.WriteString(co, formatResponse(se, int(how), ""))
		return true
	}
	if cr.Last {
		en.halt()
	} else {
		en.made++
		en.unused[en.handle()] = true
	}
	if how == lostAnswer {
		return false
	}
	status := http.StatusOK
	if how != 0 && how != lateAnswer {
		status = int(how)
	}
	body, _ := json.Marshal(relay.Copy{Handle: en.handle(), Events: uint64(en.produced)})
	if en.lostHandle && cr.Last {
		body = nil
	}
	if !cr.Last {
		en.awaitExtra()
	}
	answer := formatResponse(se, status, string(body))
	_, _ = io.WriteString(co, answer)
	if en.answersTwice && !cr.Last {
		time.Sleep(answerDelay)
		_, _ = io.WriteString(co, answer)
	}
	if en.crash && !cr.Last {
		en.halt()
		return false
	}
	return true
}

// answerDelay is the time between two answers to a copy request. The router sends the next request
// meanwhile.
const answerDelay = 10 * time.Millisecond

// awaitExtra waits until the source has sent the extra text and the router has read it; the lock is
// held.
func (en *engines) awaitExtra() {
	if en.extra == "" {
		return
	}
	en.sendExtra = true
	for sent := false; !sent; {
		sent = !en.sendExtra
		en.mu.Unlock()
		time.Sleep(answerDelay)
		en.mu.Lock()
	}
}

func (en *engines) handle() relay.Handle { return relay.Handle(fmt.Sprint("h", en.made)) }

func (en *engines) running() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.active > 0
}

// halt stops the stream; the lock is held.
func (en *engines) halt() {
	select {
	case <-en.stop:
	default:
		close(en.stop)
		en.active--
	}
}

// closeDelay is how long an engine takes at most to notice that the router has closed its connection,
// which the router does not await before it resumes a stream that may be repeated.
const closeDelay = 100 * time.Millisecond

// admit decides on a send of the stream, and returns the id of the first event.
func (en *engines) admit(se *received) (from int, stop chan struct{}, ok bool) {
	hd := se.request.Header
	en.mu.Lock()
	defer en.mu.Unlock()
	after, _ := strconv.Atoi(hd.Get("Last-Event-Id"))
	en.sentHeaders = append(en.sentHeaders, hd)
	_, handle, continues := strings.Cut(hd.Get(copies.From), "/")
	switch {
	case !continues && en.executions == 0:
		en.source = se.endpoint
		fallthrough
	case !continues:
		en.executions++
	case !en.unused[relay.Handle(handle)] || en.allRefuse || en.targetRefuses && se.endpoint != en.source:
		return 0, nil, false
	default:
		delete(en.unused, relay.Handle(handle))
		en.continuedAt = append(en.continuedAt, se.endpoint)
		after += en.skips - en.repeats
	}
	for end := time.Now().Add(closeDelay); !continues && en.active > 0 && time.Now().Before(end); {
		en.mu.Unlock()
		time.Sleep(time.Millisecond)
		en.mu.Lock()
	}
	if en.active > 0 {
		en.violations = append(en.violations, fmt.Sprintf("sent to engine %d while it runs", se.endpoint))
	}
	en.active++
	en.stop = make(chan struct{})
	return after + 1, en.stop, true
}

// run streams the events until the end, a stop, or the close of the connection.
func (en *engines) run(se *received, co net.Conn) bool {
	from, stop, ok := en.admit(se)
	if !ok {
		_, _ = io.WriteString(co, strings.Replace(formatResponse(se, http.StatusServiceUnavailable, ""), "\r\n", "\r\nX-Not-Run: 1\r\n", 1))
		return true
	}
	defer func() {
		en.mu.Lock()
		defer en.mu.Unlock()
		select {
		case <-stop:
		default:
			close(stop)
			en.active--
		}
	}()
	writeEvents(se, co, from, from-1)
	for id := from; id <= en.total; id++ {
		if (en.cutTarget || en.hangTarget) && se.request.Header.Get(copies.From) != "" && id == from+1 {
			if en.hangTarget {
				<-se.closed
			}
			return false
		}
		if en.cutAt == id && se.request.Header.Get(copies.From) == "" {
			return false
		}
		if en.silentTarget && se.request.Header.Get(copies.From) != "" {
			<-se.closed
			return false
		}
		text := eventText(id, id)
		if en.gap && se.request.Header.Get(copies.From) != "" {
			text += eventText(id+2, id+2)
		}
		writeChunk(co, text)
		en.mu.Lock()
		en.produced = id
		switch {
		case en.sendExtra && en.garbles:
			_, _ = io.WriteString(co, en.extra)
		case en.sendExtra:
			writeChunk(co, en.extra)
		}
		en.sendExtra = false
		en.mu.Unlock()
		select {
		case <-time.After(en.pause):
		case <-se.closed:
			return false
		case <-stop:
			if en.staysOpen {
				<-se.closed
			}
			return false
		}
	}
	endChunks(co)
	return true
}

// planner returns one plan for each run once it is armed.
type planner struct {
	// start starts the loop that asks for plans, once.
	start func()
	once  sync.Once

	mu    sync.Mutex // guards all below
	runs  map[uint64]migr.Run
	armed bool
	avoid map[core.EndpointID]bool
	// reserved counts the targets that were reserved.
	reserved int
	// done lists the results of Done with a target.
	done []bool
}

func (pl *planner) Add(now time.Time, run migr.Run) { pl.Update(now, run) }

func (pl *planner) Update(_ time.Time, run migr.Run) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.runs[run.ID] = run
}

func (pl *planner) Remove(_ time.Time, id uint64) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	delete(pl.runs, id)
}

func (pl *planner) Due(time.Time) (plans []migr.Plan) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, run := range pl.runs {
		if pl.armed {
			plans = append(plans, migr.Plan{Run: run, Reason: migr.Slow, Basis: "test"})
		}
	}
	pl.armed = pl.armed && len(plans) == 0
	return plans
}

func (pl *planner) Excluded(time.Time, uint64) []core.EndpointID { return nil }

func (pl *planner) Reserve(_ time.Time, _ uint64, target core.EndpointID) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if !pl.avoid[target] {
		pl.reserved++
	}
	return !pl.avoid[target]
}

func (pl *planner) Done(_ time.Time, _ uint64, target core.EndpointID, ok bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if target != "" {
		pl.done = append(pl.done, ok)
	}
}

func (pl *planner) Snapshot(time.Time) migr.Snapshot { return migr.Snapshot{} }

// arm makes the next call of Due return the runs.
func (pl *planner) arm() {
	pl.once.Do(pl.start)
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.armed = true
}

func (pl *planner) results() []bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return slices.Clone(pl.done)
}

// openStream begins a caller's request.
func (fl *fleet) openStream(ctx context.Context) (*http.Response, *bufio.Reader) {
	rq, _ := http.NewRequestWithContext(ctx, "POST", fl.front.URL+"/r/x?a=b", strings.NewReader("hello"))
	rq.Header.Set("X-Key", "k")
	rq.Header.Set("X-Id", "id-1")
	rs, err := http.DefaultTransport.RoundTrip(rq)
	if err != nil {
		fl.t.Fatal(err)
	}
	return rs, bufio.NewReader(rs.Body)
}
