package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/io/client"
	"almondrill/io/clock"
)

// Workload is what Drive sends.
type Workload struct {
	Requests int
	Seed     uint64
	// Parallel is the number of concurrent callers; 0 means 16.
	Parallel int
}

// Report is the result of Drive.
type Report struct {
	Requests                     int
	Whole                        int
	NotRun                       int
	Failed                       int
	Unknown                      int
	Doubled                      int
	Crossed                      int
	CutShort                     int
	FalseNotRun                  int
	ReuseRatio                   float64
	MaxOverMean                  float64
	ControlBytesPerSecondPerNode float64
}

// Passed reports whether every request was answered completely and no guarantee was violated.
func (re *Report) Passed() bool {
	return re.Whole == re.Requests && re.Doubled == 0 && re.Crossed == 0 && re.CutShort == 0 && re.FalseNotRun == 0
}

// driver is the state of one call of Drive.
type driver struct {
	fl     *Fleet
	client *client.Client
	addrs  []string

	mu        sync.Mutex // guards all below
	rep       Report
	returning int
	reused    int
}

// Drive sends mixed requests: multi-turn chats, streamed or not; lookups; and non-idempotent
// drafts, each through two routers at once.
func (fl *Fleet) Drive(ctx context.Context, wl Workload) *Report {
	if wl.Parallel == 0 {
		wl.Parallel = 16
	}
	dv := &driver{fl: fl, client: &client.Client{Key: Key, HTTP: NewHTTP()}, addrs: fl.RouterAddrs()}
	before, start := fl.controlBytes(), time.Now()
	stop := make(chan struct{})
	peak := make(chan float64, 1)
	go func() { peak <- fl.peakSkew(stop) }()
	dv.run(ctx, wl)
	close(stop)
	dv.rep.MaxOverMean = <-peak
	counts := fl.Audit.Counts()
	dv.rep.Doubled, dv.rep.Crossed = counts.Duplicates, counts.Crossed
	dv.rep.CutShort, dv.rep.FalseNotRun = counts.CutShort, counts.FalseNotRun
	if dv.returning > 0 {
		dv.rep.ReuseRatio = float64(dv.reused) / float64(dv.returning)
	}
	sent := float64(fl.controlBytes() - before)
	dv.rep.ControlBytesPerSecondPerNode = sent / time.Since(start).Seconds() / float64(len(fl.Processes))
	return &dv.rep
}

// NewHTTP returns an HTTP client that many callers can use at once.
func NewHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}}
}

func (dv *driver) run(ctx context.Context, wl Workload) {
	var callers sync.WaitGroup
	for worker := range wl.Parallel {
		share := wl.Requests / wl.Parallel
		if worker < wl.Requests%wl.Parallel {
			share++
		}
		callers.Go(func() { dv.caller(ctx, worker, share, clock.NewRand(wl.Seed*1000+uint64(worker))) })
	}
	callers.Wait()
}

// Requests are drawn from 0 to 99: lookups below lookupsBelow, drafts from there to below
// draftsBelow, turns of chats beyond.
const (
	lookupsBelow = 20
	draftsBelow  = 30
	turnsPerChat = 4
)

// caller sends count requests. It has one chat at a time, of turnsPerChat turns.
func (dv *driver) caller(ctx context.Context, worker, count int, ra *clock.Rand) {
	var chat *conversation
	for number := range count {
		name := fmt.Sprintf("c%d-r%d", worker, number)
		addr := dv.addrs[ra.Uint64()%uint64(len(dv.addrs))]
		switch draw := ra.Uint64() % 100; {
		case draw < lookupsBelow:
			dv.lookup(ctx, addr, name)
		case draw < draftsBelow:
			dv.draft(ctx, name)
		default:
			if chat == nil || chat.turns >= turnsPerChat {
				chat = &conversation{id: core.ChatID("chat-" + name)}
			}
			dv.turn(ctx, addr, name, chat, ra)
		}
	}
}

func (dv *driver) lookup(ctx context.Context, addr, name string) {
	rs := dv.client.Service(ctx, addr, http.MethodGet, Lookups, "entry/"+name, "", "")
	dv.record("/entry/"+name+"|", rs)
}

// draft sends the same non-idempotent call through two routers at once, as a caller does that
// retries early. Both must return the response of a single execution.
func (dv *driver) draft(ctx context.Context, name string) {
	var both sync.WaitGroup
	results := make([]*client.Result, 2)
	for ix := range results {
		both.Go(func() {
			addr := dv.addrs[ix%len(dv.addrs)]
			results[ix] = dv.client.Service(ctx, addr, http.MethodPost, Lookups, "drafts", "key-"+name, "draft "+name)
		})
	}
	both.Wait()
	dv.record("/drafts|draft "+name, results...)
}

type conversation struct {
	id       core.ChatID
	hint     string
	turns    int
	messages []client.Message
}

func (dv *driver) turn(ctx context.Context, addr, name string, co *conversation, ra *clock.Rand) {
	co.messages = append(co.messages, client.Message{Role: "user", Content: "question of " + name})
	ch := &client.Chat{
		Model: Model, ID: co.id, Stream: ra.Uint64()%2 == 0, MaxTokens: 8 + int(ra.Uint64()%24), Messages: co.messages,
	}
	if ra.Uint64()%2 == 0 {
		ch.Hint = co.hint
	}
	rs := dv.client.Chat(ctx, addr, ch)
	dv.record("question of "+name, rs)
	dv.reuse(co, rs)
	co.hint = rs.Hint
	co.turns++
	co.messages = append(co.messages, client.Message{Role: "assistant", Content: rs.Answer})
}

func (dv *driver) reuse(co *conversation, rs *client.Result) {
	if co.turns == 0 {
		return
	}
	dv.mu.Lock()
	defer dv.mu.Unlock()
	dv.returning++
	if rs.Cached > 0 {
		dv.reused++
	}
}

// record counts the outcome of a request and passes it to the audit. A request that was sent more
// than once counts once, with its worst outcome.
func (dv *driver) record(nonce string, results ...*client.Result) {
	worst := core.Whole
	for _, rs := range results {
		switch rs.Outcome {
		case core.Whole:
			dv.fl.Audit.RecordReceived(nonce, rs.Answer)
		case core.NotRun:
			if len(results) == 1 {
				dv.fl.Audit.RecordNotRun(nonce)
			}
		}
		worst = max(worst, rs.Outcome)
	}
	dv.mu.Lock()
	defer dv.mu.Unlock()
	dv.rep.Requests++
	switch worst {
	case core.Whole:
		dv.rep.Whole++
	case core.NotRun:
		dv.rep.NotRun++
	case core.Failed:
		dv.rep.Failed++
	case core.Unknown:
		dv.rep.Unknown++
	}
}

func (fl *Fleet) controlBytes() core.Bytes {
	var sum core.Bytes
	for _, pr := range fl.Processes {
		sum += pr.ControlBytes()
	}
	return sum
}

// peakSkew samples the ratio of the busiest engine's load to the mean load of the pool until stop
// is closed, and returns the largest. It skips samples whose mean is below FloorWork, as the load
// cap is not applied there, and returns 0 if there are no others.
func (fl *Fleet) peakSkew(stop chan struct{}) float64 {
	peak := 0.0
	for {
		select {
		case <-stop:
			return peak
		case <-time.After(5 * time.Millisecond):
		}
		peak = max(peak, fl.skew())
	}
}

func (fl *Fleet) skew() float64 {
	var sum, highest float64
	count := 0
	for _, pr := range fl.Processes {
		if pr.Agent() == nil || pr.Agent().Slots[0].Pool != chatPool {
			continue
		}
		load := float64(pr.Agent().Slots[0].Gate().Load())
		sum += load
		highest = max(highest, load)
		count++
	}
	if sum < float64(decl.DefaultFloorWork)*float64(count) {
		return 0
	}
	return highest / (sum / float64(count))
}
