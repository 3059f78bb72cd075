package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/ledger"
	"almondrill/core/place"
	"almondrill/core/retry"
	"almondrill/core/route"
	"almondrill/io/clock"
	"almondrill/io/conns"
	"almondrill/io/fakes/local"
	"almondrill/io/relay"
	"almondrill/io/stats"
)

// dialect uses its own header names, so that the tests do not depend on a platform's.
var dialect = relay.Dialect{
	RequestID: "X-Id", Deadline: "X-Wait", Key: "X-Key", Customer: "X-Customer", Expect: "X-Expect",
	NotRun: "X-Not-Run", Stamp: "X-Stamp", Rank: "X-Rank", MaxRank: 9, Resume: "Last-Event-Id", Resumes: "X-Resumes", Fetch: "X-Fetch",
	RouterOnly: []string{"X-Key", "X-Customer", "X-Expect", "X-Rank", "X-Fetch", "X-Secret"},
	Prompt:     func(http.Header) []place.Part { return nil },
	Load:       func(http.Header) (relay.Load, bool) { return relay.Load{}, false },
	Notice:     notice,
}

// notice is the dialect's Notice function.
func notice(_ int, hd http.Header) relay.Notice {
	backoff, _ := time.ParseDuration(hd.Get("X-Backoff"))
	return relay.Notice{Draining: hd.Get("X-Leaving") != "", Backoff: backoff}
}

// received is a request as received by an endpoint.
type received struct {
	endpoint int // index of the endpoint
	request  *http.Request
	body     string
	closed   chan struct{} // closed when the router closes the connection
}

// fleet is a router with scripted endpoints.
type fleet struct {
	t            *testing.T
	re           *relay.Relay
	front        *httptest.Server
	addrs        []string
	viewAge      time.Duration
	shuttingDown bool

	// panics counts requests whose handler panicked, other than with http.ErrAbortHandler.
	panics atomic.Int64

	mu  sync.Mutex // guards got
	got []*received
}

// script responds to a request by writing to the connection. It returns false to close it.
type script func(se *received, co net.Conn) bool

// formatResponse returns a well-formed response of an endpoint.
func formatResponse(se *received, status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Stamp: s%d\r\nContent-Length: %d\r\n\r\n%s",
		status, se.request.Header.Get("X-Id"), se.endpoint, len(body), body)
}

func respondWith(text func(se *received) string) script {
	return func(se *received, co net.Conn) bool {
		_, _ = io.WriteString(co, text(se))
		return true
	}
}

func respond(status int, body string) script {
	return respondWith(func(se *received) string { return formatResponse(se, status, body) })
}

// newFleet starts a router, and an endpoint per script, all in one pool.
func newFleet(t *testing.T, scripts ...script) *fleet {
	t.Helper()
	fl := &fleet{t: t}
	ra := clock.NewRand(1)
	one := func() int { return 1 }
	fl.re = &relay.Relay{
		Dialect: dialect, Self: "router", Conns: &conns.Pool{}, Memory: &ledger.Ledger{}, Stats: stats.New(), Latency: &stats.Latencies{}, Rand: ra, Log: zap.NewNop(),
		Placer:       &place.Placer{Zone: "a", Rand: ra, RouterCount: one},
		Budget:       &retry.Window{Ratio: 0.2, Slack: 200, Span: 10 * time.Second, Routers: one},
		ViewAge:      func() time.Duration { return fl.viewAge },
		ShuttingDown: func() bool { return fl.shuttingDown },
	}
	for ix, sc := range scripts {
		addr := fl.startEndpoint(ix, sc)
		fl.addrs = append(fl.addrs, addr)
		fl.re.Placer.Register(time.Now(), place.Endpoint{
			ID: core.EndpointID(fmt.Sprint("e", ix)), Addr: addr, Pool: "pool", Zone: "a", Slots: 8,
		})
	}
	fl.front = httptest.NewServer(http.HandlerFunc(fl.serveCaller))
	t.Cleanup(fl.front.Close)
	return fl
}

// serveCaller serves a caller's request, and counts panics.
func (fl *fleet) serveCaller(wr http.ResponseWriter, rq *http.Request) {
	defer func() {
		fault := recover()
		if fault == nil {
			return
		}
		if fault != http.ErrAbortHandler {
			fl.panics.Add(1)
		}
		panic(http.ErrAbortHandler)
	}()
	fl.re.ServeHTTP(wr, rq)
}

func (fl *fleet) startEndpoint(ix int, sc script) string {
	li := local.Listen(fl.t)
	go func() {
		for {
			co, err := li.Accept()
			if err != nil {
				return
			}
			go fl.serveConn(ix, sc, co)
		}
	}()
	return li.Addr().String()
}

func (fl *fleet) serveConn(ix int, sc script, co net.Conn) {
	defer co.Close()
	for se := range fl.readRequests(ix, co) {
		if !sc(se, co) {
			return
		}
	}
}

// readRequests reads a connection's requests. When the router closes the connection, it closes the
// last request's closed channel.
func (fl *fleet) readRequests(ix int, co net.Conn) <-chan *received {
	requests := make(chan *received, 1)
	go func() {
		defer close(requests)
		rd := bufio.NewReader(co)
		closed := make(chan struct{})
		for {
			rq, err := http.ReadRequest(rd)
			var body []byte
			if err == nil {
				body, err = io.ReadAll(rq.Body)
			}
			if err != nil {
				close(closed)
				return
			}
			closed = make(chan struct{})
			se := &received{endpoint: ix, request: rq, body: string(body), closed: closed}
			fl.mu.Lock()
			fl.got = append(fl.got, se)
			fl.mu.Unlock()
			requests <- se
		}
	}()
	return requests
}

func (fl *fleet) requests() []*received {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return append([]*received(nil), fl.got...)
}

// configure installs a configuration with this route, under /r/.
func (fl *fleet) configure(ro route.Route) *fleet {
	return fl.configurePool(ro, route.Pool{ID: "pool"})
}

// configurePool is configure with a pool other than the default one.
func (fl *fleet) configurePool(ro route.Route, po route.Pool) *fleet {
	fl.t.Helper()
	ro.Split = []route.PoolShare{{Pool: "pool", Weight: 1}}
	return fl.configureRoute(ro, po)
}

// configureSplit is configure with a route that is split among pools.
func (fl *fleet) configureSplit(ro route.Route, split []route.PoolShare) *fleet {
	fl.t.Helper()
	var pools []route.Pool
	for _, sh := range split {
		pools = append(pools, route.Pool{ID: sh.Pool})
	}
	ro.Split = split
	return fl.configureRoute(ro, pools...)
}

func (fl *fleet) configureRoute(ro route.Route, pools ...route.Pool) *fleet {
	fl.t.Helper()
	ro.Name, ro.Host, ro.Prefix = "r", "127.0.0.1", "/r/"
	if ro.Timeout == 0 {
		ro.Timeout = 3 * time.Second
	}
	ro.MaxAttempts = max(1, ro.MaxAttempts)
	ta, err := route.Compile(&route.Document{
		Version: 1, Routes: []route.Route{ro}, Pools: pools,
		KeyRequired: true, Keys: map[string]core.CustomerID{"k": "herb"}, Limits: route.Limits{MaxBody: 1 << 20},
	})
	if err != nil {
		fl.t.Fatal(err)
	}
	fl.re.SetTable(ta)
	return fl
}

// send sends a caller's request and reads the response.
func (fl *fleet) send(method, path, body string, header ...string) (*http.Response, string, error) {
	fl.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	fl.t.Cleanup(cancel)
	rq, err := http.NewRequestWithContext(ctx, method, fl.front.URL+path, strings.NewReader(body))
	if err != nil {
		fl.t.Fatal(err)
	}
	rq.Header.Set("X-Key", "k")
	rq.Header.Set("X-Id", "id-1")
	for ix := 0; ix+1 < len(header); ix += 2 {
		rq.Header.Set(header[ix], header[ix+1])
	}
	rs, err := http.DefaultTransport.RoundTrip(rq)
	if err != nil {
		return nil, "", err
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	return rs, string(data), err
}

// expect checks a response's status, and how many requests have reached endpoints.
func (fl *fleet) expect(rs *http.Response, err error, status, requests int) {
	fl.t.Helper()
	if err != nil {
		fl.t.Fatal(err)
	}
	if rs.StatusCode != status {
		fl.t.Errorf("status %d, want %d", rs.StatusCode, status)
	}
	if got := len(fl.requests()); got != requests {
		fl.t.Errorf("%d requests reached endpoints, want %d", got, requests)
	}
}
