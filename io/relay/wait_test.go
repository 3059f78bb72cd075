package relay_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"almondrill/core/demand"
	"almondrill/core/place"
	"almondrill/core/route"
	"almondrill/io/relay"
	"almondrill/io/stats"
)

// queueFleet is a router with one plain endpoint, which holds each request until it is released.
type queueFleet struct {
	*fleet
	release chan struct{}
	// statuses has the statuses of the responses to sendAsync, 0 for none.
	statuses chan int
}

func newQueueFleet(t *testing.T) *queueFleet {
	t.Helper()
	qf := &queueFleet{release: make(chan struct{}), statuses: make(chan int, 40)}
	qf.fleet = newFleet(t, func(se *received, co net.Conn) bool {
		<-qf.release
		return respond(http.StatusOK, "ok")(se, co)
	}).configure(route.Route{Kind: route.Idempotent, FirstByteGoal: time.Second})
	return qf
}

func (qf *queueFleet) sendAsync(ctx context.Context) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, qf.front.URL+"/r/x", nil)
	if err != nil {
		panic(err)
	}
	rq.Header.Set("X-Key", "k")
	go func() {
		rs, err := http.DefaultTransport.RoundTrip(rq)
		if err != nil {
			qf.statuses <- 0
			return
		}
		_ = rs.Body.Close()
		qf.statuses <- rs.StatusCode
	}()
}

// limit puts a level in force that allows one call at a time, which takes callMs. The customer is
// slightly over its share, so that the router does not exceed the level for it, except by one call
// at first.
func (qf *queueFleet) limit(callMs uint16) {
	qf.sendAsync(context.Background())
	qf.release <- struct{}{} // the queue of the pool exists from its first request on
	qf.wantStatus(http.StatusOK)
	qf.re.ApplyLevel(time.Now(), demand.Level{Pool: demand.HashPool("pool"), AtMs: 1, Places: 1, CallMs: callMs, Over: []demand.Share{
		{ID: demand.HashCustomer("herb"), Admit: 254},
	}})
}

// fill sends requests until one waits. It returns how many reached the endpoint, and a function by
// which the caller of the waiting one disconnects.
func (qf *queueFleet) fill() (sent int, disconnect func()) {
	qf.t.Helper()
	for range 5 {
		before := len(qf.requests())
		ctx, cancel := context.WithCancel(context.Background())
		qf.t.Cleanup(cancel)
		qf.sendAsync(ctx)
		qf.eventually("a request is sent or waits", func() bool { return qf.waiting() > 0 || len(qf.requests()) > before })
		if qf.waiting() > 0 {
			return before, cancel
		}
	}
	qf.t.Fatal("no request waits")
	return 0, nil
}

func (qf *queueFleet) waiting() int64 { return qf.re.Stats.Value(stats.RequestsWaiting) }

func (qf *queueFleet) eventually(what string, is func() bool) {
	qf.t.Helper()
	for range 400 {
		if is() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	qf.t.Fatal("not within 2 s:", what)
}

func (qf *queueFleet) wantStatus(status int) {
	qf.t.Helper()
	if got := <-qf.statuses; got != status {
		qf.t.Errorf("status %d, want %d", got, status)
	}
}

// waitingPool returns what the router shows to operators.
func (fl *fleet) waitingPool() relay.WaitingPool {
	fl.t.Helper()
	rw := httptest.NewRecorder()
	fl.re.WaitingHandler().ServeHTTP(rw, httptest.NewRequest(http.MethodGet, relay.WaitingPath, nil))
	var all relay.Waiting
	if err := json.Unmarshal(rw.Body.Bytes(), &all); err != nil || len(all.Pools) != 1 {
		fl.t.Fatal(err, rw.Body)
	}
	return all.Pools[0]
}

// Guards against a request that waits although its turn has come, and against places that are not
// released: a later request would wait for nothing. The log must say how long it waited and why.
func TestRequestWaitsForItsTurn(t *testing.T) {
	qf := newQueueFleet(t)
	logged, lines := observer.New(zapcore.InfoLevel)
	qf.re.Log = zap.New(logged)
	qf.limit(50)
	sent, _ := qf.fill()
	if wp := qf.waitingPool(); wp.Waiting != 1 || wp.Level == nil || !wp.Level.InForce || len(wp.Customers) != 1 || wp.Customers[0].Customer != "herb" || wp.Customers[0].Running != sent-1 {
		t.Errorf("operators see %+v, want one waiting and %d running requests of herb, and a level", wp, sent-1)
	}
	close(qf.release)
	for range sent {
		qf.wantStatus(http.StatusOK)
	}
	if got := qf.re.Stats.Value(stats.AdmittedAfterWait); got != 1 || qf.waiting() != 0 {
		t.Errorf("%d requests were admitted after a wait and %d wait, want 1 and 0", got, qf.waiting())
	}
	qf.eventually("all places are released", func() bool { return qf.waitingPool().Running == 0 })
	waits := 0
	for _, line := range lines.FilterMessage("Served.").FilterFieldKey("LevelAge").All() {
		if waited, _ := line.ContextMap()["Waited"].(time.Duration); waited > 0 && line.ContextMap()["Ahead"] != nil {
			waits++
		}
	}
	if waits != 1 {
		t.Errorf("%d lines tell of a wait under a level, want 1", waits)
	}
}

// Guards against requests whose callers have disconnected: they must not reach an endpoint, nor keep
// others from theirs.
func TestCallerGoneWhileWaiting(t *testing.T) {
	qf := newQueueFleet(t)
	qf.limit(50)
	sent, disconnect := qf.fill()
	running := qf.waitingPool().Running
	disconnect()
	qf.eventually("nothing waits", func() bool { return qf.waiting() == 0 })
	if wp := qf.waitingPool(); wp.Waiting != 0 || wp.Running != running {
		t.Errorf("%d requests wait and %d run, want 0 and %d", wp.Waiting, wp.Running, running)
	}
	if got := len(qf.requests()); got != sent {
		t.Errorf("%d requests reached the endpoint, want %d", got, sent)
	}
	close(qf.release)
	qf.sendAsync(context.Background())
	answered := 0
	for range sent + 1 {
		if <-qf.statuses == http.StatusOK {
			answered++
		}
	}
	if answered != sent {
		t.Errorf("%d requests were served, want %d", answered, sent)
	}
}

// Guards against requests that are sent although they are refused, or held although they cannot be
// served, against jitter on the times that the queue reserves for their return, and against a time
// after their deadline.
func TestRefusedRequestReachesNoEndpoint(t *testing.T) {
	for callMs, retryAfter := range map[uint16]string{1500: "0.250", 5000: ""} {
		qf := newQueueFleet(t)
		qf.limit(callMs)
		for qf.waitingPool().Running < 2 {
			before := len(qf.requests())
			qf.sendAsync(context.Background())
			qf.eventually("the request is sent", func() bool { return len(qf.requests()) > before })
		}
		reached := len(qf.requests())
		began := time.Now()
		rs, body, err := qf.send("GET", "/r/x", "")
		qf.expect(rs, err, http.StatusServiceUnavailable, reached)
		if took := time.Since(began); took > 125*time.Millisecond {
			t.Errorf("refused after %s, want at most an eighth of the goal", took)
		}
		if got := rs.Header.Get("Retry-After"); got != retryAfter {
			t.Errorf("Retry-After %q with calls of %d ms, want %q", got, callMs, retryAfter)
		}
		if !strings.Contains(body, `"NotRun"`) || !strings.Contains(body, `"ShareExceeded"`) || qf.re.Stats.Value(stats.RefusedByShare) != 1 {
			t.Errorf("refused with %s, want ShareExceeded, not run, and a count of 1", body)
		}
		close(qf.release)
	}
}

// Guards against a process that ends while requests wait: they would be cut off.
func TestShutdownRefusesWaiting(t *testing.T) {
	qf := newQueueFleet(t)
	qf.limit(50)
	sent, _ := qf.fill()
	qf.re.CloseQueues()
	qf.wantStatus(http.StatusServiceUnavailable)
	if got := len(qf.requests()); got != sent {
		t.Errorf("%d requests reached the endpoint, want %d", got, sent)
	}
	close(qf.release)
	for range sent - 1 {
		qf.wantStatus(http.StatusOK)
	}
}

// Guards against waits and messages while capacity is not short.
func TestNothingWaitsWhileCapacityIsFree(t *testing.T) {
	qf := newQueueFleet(t)
	for range 3 { // of 8 slots
		qf.sendAsync(context.Background())
	}
	qf.eventually("all requests are sent", func() bool { return len(qf.requests()) == 3 })
	if reports := qf.re.Reports(time.Now()); len(reports) > 0 {
		t.Errorf("reported %+v, although most slots are free", reports)
	}
	close(qf.release)
	for range 3 {
		qf.wantStatus(http.StatusOK)
	}
	if wp := qf.waitingPool(); wp.Totals.AdmittedAtOnce != 3 || wp.Limited != "" || qf.re.Stats.Value(stats.AdmittedAfterWait) != 0 {
		t.Errorf("pool %+v, want 3 requests that were admitted at once", wp)
	}
}

// Guards against a pool whose owner learns only at the end of an interval that its slots are being
// taken, and against routers that report so again at each tick.
func TestCompetitionIsReportedAtOnce(t *testing.T) {
	qf := newQueueFleet(t)
	for range 20 {
		qf.sendAsync(context.Background())
	}
	qf.eventually("all requests are sent", func() bool { return len(qf.requests()) == 20 })
	time.Sleep(20 * time.Millisecond) // the pool's calls are counted every 10 ms
	now := time.Now()
	reports := qf.re.EarlyReports(now)
	if len(reports) != 1 || reports[0].Pool != demand.HashPool("pool") || reports[0].Slots != 8 {
		t.Errorf("reported %+v, want one report of the pool with its 8 slots", reports)
	}
	if again := qf.re.EarlyReports(now.Add(10 * time.Millisecond)); len(again) > 0 {
		t.Errorf("reported again: %+v", again)
	}
	close(qf.release)
}

// Guards against choices that ignore peers' reports while no level is in force, and against those
// that go by them while one is: a peer reported that it has calls at the first endpoint.
func TestChoiceByOwnCallsOnlyUnderLevel(t *testing.T) {
	fl := newFleet(t, respond(http.StatusOK, "first"), respond(http.StatusOK, "second")).
		configure(route.Route{Kind: route.Idempotent, FirstByteGoal: time.Second})
	hash := place.EndpointHash("e0", 0)
	fl.re.Placer.ApplyLoadReport(time.Now(), "peer", []byte{byte(hash >> 56), byte(hash >> 48), 6})
	served := func() map[string]int {
		by := map[string]int{}
		for range 20 {
			_, body, err := fl.send("GET", "/r/x", "")
			if err != nil {
				t.Fatal(err)
			}
			by[body]++
		}
		return by
	}
	if by := served(); by["second"] != 20 {
		t.Errorf("without a level, requests were served by %v, want all by the second endpoint", by)
	}
	fl.re.ApplyLevel(time.Now(), demand.Level{Pool: demand.HashPool("pool"), AtMs: 1, Places: 16, CallMs: 30})
	if by := served(); by["first"] < 3 || by["second"] < 3 {
		t.Errorf("under a level, requests were served by %v, want both endpoints", by)
	}
}

// Guards against places that are released twice or never: each kind of ending of one or two
// attempts, some of which abort the response by a panic, must release exactly one.
func TestPlaceIsReleasedOnce(t *testing.T) {
	for _, en := range endings() {
		t.Run(en.name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			scripted := func(se *received, co net.Conn) bool {
				if se.request.URL.Path == "/r/held" {
					<-release
					return respond(http.StatusOK, "ok")(se, co)
				}
				return en.end(se, co)
			}
			fl := newFleet(t, scripted, scripted).configure(route.Route{Kind: route.Idempotent, MaxAttempts: 2, FirstByteGoal: time.Second})
			held := make(chan struct{})
			go func() {
				defer close(held)
				_, _, _ = fl.send("GET", "/r/held", "")
			}()
			qf := &queueFleet{fleet: fl}
			qf.eventually("the first request is sent", func() bool { return len(fl.requests()) == 1 })
			_, _, _ = fl.send("POST", "/r/x", "draft", "X-Wait", "100")
			qf.eventually("one place is in use", func() bool { return fl.waitingPool().Running <= 1 })
			if got := fl.waitingPool().Running; got != 1 {
				t.Errorf("%d places are in use, want that of the held request", got)
			}
			close(release)
			<-held
			qf.eventually("no place is in use", func() bool { return fl.waitingPool().Running == 0 })
		})
	}
}

// Guards against a pool's owner that counts idle routers as busy ones, and gives away only a part of the
// places: a router without requests for the pool must report that it has no demand.
func TestIdleRouterReportsNoDemand(t *testing.T) {
	qf := newQueueFleet(t)
	now := time.Now()
	qf.re.ApplyLevel(now, demand.Level{Pool: demand.HashPool("pool"), AtMs: 1, Places: 8, CallMs: 30, OfferedPer10s: 1000})
	reports := qf.re.Reports(now.Add(200 * time.Millisecond))
	if len(reports) != 1 || reports[0].Pool != demand.HashPool("pool") || reports[0].OfferedPer10s != 0 || reports[0].Running != 0 {
		t.Errorf("reported %+v, want one report without demand", reports)
	}
}
