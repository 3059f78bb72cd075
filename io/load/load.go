// Package load is an open-loop load generator for routers, with or without agents, and for engines.
//
// # Concepts
//
// Requests are sent at random times, whether or not earlier ones have completed, so a slow fleet
// does not reduce the load. Each turn of a chat is sent some think time after the response to the
// one before, with the conversation so far.
//
// # Usage
//
//	rep := load.Run(ctx, load.Plan{Addr: addr, Key: key, Rate: 100, Duration: time.Minute})
//	fmt.Print(rep.Table())
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"almondrill/core"
	"almondrill/io/client"
)

// Plan describes the load to generate.
type Plan struct {
	// Addr is a router's address for callers, or the address of an engine.
	Addr  string
	Key   string
	Model string
	// Rate is the mean number of requests a second.
	Rate     float64
	Duration time.Duration
	// Chats bounds the chats that wait for their next turn; beyond it the oldest is dropped. 0 means
	// no bound. Think is the mean time between a response and the chat's next turn.
	Chats int
	Think time.Duration
	Seed  uint64
	// MaxTokens is the maximum number of tokens of a response.
	MaxTokens int
	// Streamed and Once are the fractions of requests that are streamed, and that carry an
	// idempotency key.
	Streamed float64
	Once     float64
	// MostOpen bounds the requests in flight; a further one is not sent, and counted as Unsent.
	// 0 means 10,000.
	MostOpen int
}

// Report is the result of Run.
type Report struct {
	Sent, Unsent int
	Outcomes     map[string]int
	Reasons      map[string]int
	FirstToken   Times
	BetweenToken Times
	WholeAnswer  Times
}

// Times are quantiles of a time, in milliseconds.
type Times struct{ P50, P95, P99, Max float64 }

const (
	maxTurns   = 8
	maxLatency = int64(10 * time.Minute)
	digits     = 3
)

// generator is the state of one call of Run.
type generator struct {
	pl     Plan
	client *client.Client

	mu                     sync.Mutex // guards all below
	rep                    Report
	first, between, answer *hdrhistogram.Histogram
	idle                   []*chat
	rand                   *rand.Rand
	inFlight               int
	chatCount              int
}

type chat struct {
	id       core.ChatID
	hint     string
	messages []client.Message
	readyAt  time.Time
}

// Run sends the plan's requests and waits for their responses.
func Run(ctx context.Context, pl Plan) *Report {
	if pl.MostOpen == 0 {
		pl.MostOpen = 10_000
	}
	transport := &http.Transport{MaxIdleConnsPerHost: pl.MostOpen, DisableCompression: true}
	defer transport.CloseIdleConnections()
	ge := &generator{
		pl: pl, client: &client.Client{Key: pl.Key, HTTP: &http.Client{Transport: transport}},
		rand:  rand.New(rand.NewPCG(pl.Seed, 1)),
		first: newHistogram(), between: newHistogram(), answer: newHistogram(),
		rep: Report{Outcomes: map[string]int{}, Reasons: map[string]int{}},
	}
	var all sync.WaitGroup
	next, end := time.Now(), time.Now().Add(pl.Duration)
	for next.Before(end) && ctx.Err() == nil {
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		if ch := ge.nextChat(); ch != nil {
			all.Go(func() { ge.send(ctx, ch) })
		}
		next = next.Add(ge.nextInterval())
	}
	all.Wait()
	return ge.report()
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, digits) }

// nextInterval draws the time to the next request. Arrivals are independent of each other.
func (ge *generator) nextInterval() time.Duration {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	return time.Duration(-math.Log(1-ge.rand.Float64()) / ge.pl.Rate * float64(time.Second))
}

// nextChat returns a chat whose think time is over, or a new one. It returns nil if too many
// requests are in flight.
func (ge *generator) nextChat() *chat {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	if ge.inFlight >= ge.pl.MostOpen {
		ge.rep.Unsent++
		return nil
	}
	ge.inFlight++
	ge.rep.Sent++
	if len(ge.idle) > 0 && time.Now().After(ge.idle[0].readyAt) {
		ch := ge.idle[0]
		ge.idle = ge.idle[1:]
		return ch
	}
	ge.chatCount++
	if ge.pl.Chats > 0 && len(ge.idle) >= ge.pl.Chats {
		ge.idle = ge.idle[1:]
	}
	return &chat{id: core.ChatID(fmt.Sprintf("load-%d-%d", ge.pl.Seed, ge.chatCount))}
}

func (ge *generator) chance(part float64) bool {
	ge.mu.Lock()
	defer ge.mu.Unlock()
	return ge.rand.Float64() < part
}

func (ge *generator) send(ctx context.Context, ch *chat) {
	ch.messages = append(ch.messages, client.Message{
		Role: "user", Content: fmt.Sprintf("%s asks %d", ch.id, len(ch.messages)),
	})
	rq := &client.Chat{
		Model: ge.pl.Model, ID: ch.id, Hint: ch.hint, Stream: ge.chance(ge.pl.Streamed),
		MaxTokens: ge.pl.MaxTokens, Messages: ch.messages,
	}
	if ge.chance(ge.pl.Once) {
		rq.IdemKey = fmt.Sprintf("%s-%d", ch.id, len(ch.messages))
	}
	rs := ge.client.Chat(ctx, ge.pl.Addr, rq)
	ch.hint = rs.Hint
	ch.messages = append(ch.messages, client.Message{Role: "assistant", Content: rs.Answer})
	if len(ch.messages) > 2*maxTurns {
		ch.messages = ch.messages[:0]
	}
	ge.record(ch, rs)
}

func (ge *generator) record(ch *chat, rs *client.Result) {
	think := -math.Log(1-rand.Float64()) * float64(ge.pl.Think)
	ge.mu.Lock()
	defer ge.mu.Unlock()
	ge.inFlight--
	ch.readyAt = time.Now().Add(time.Duration(think))
	ge.idle = append(ge.idle, ch)
	ge.rep.Outcomes[rs.Outcome.String()]++
	if rs.Reason != "" {
		ge.rep.Reasons[string(rs.Reason)]++
	}
	if rs.Outcome != core.Whole {
		return
	}
	// RecordValue fails only for a time above maxLatency, which is left out.
	_ = ge.first.RecordValue(int64(rs.First))
	_ = ge.answer.RecordValue(int64(rs.Total))
	for _, gap := range rs.Gaps {
		_ = ge.between.RecordValue(int64(gap))
	}
}

func (ge *generator) report() *Report {
	ge.rep.FirstToken = quantilesOf(ge.first)
	ge.rep.BetweenToken = quantilesOf(ge.between)
	ge.rep.WholeAnswer = quantilesOf(ge.answer)
	return &ge.rep
}

func quantilesOf(hi *hdrhistogram.Histogram) Times {
	at := func(quantile float64) float64 {
		return float64(hi.ValueAtQuantile(quantile)) / float64(time.Millisecond)
	}
	return Times{P50: at(50), P95: at(95), P99: at(99), Max: float64(hi.Max()) / float64(time.Millisecond)}
}

// Table formats the report for people.
func (re *Report) Table() string {
	var out strings.Builder
	fmt.Fprintf(&out, "sent %d, not sent because too many were in flight %d\n", re.Sent, re.Unsent)
	for _, counts := range []map[string]int{re.Outcomes, re.Reasons} {
		names := make([]string, 0, len(counts))
		for name := range counts {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			fmt.Fprintf(&out, "  %-16s %d\n", name, counts[name])
		}
	}
	fmt.Fprintf(&out, "%-16s %9s %9s %9s %9s\n", "milliseconds", "p50", "p95", "p99", "max")
	for _, row := range []struct {
		name string
		ti   Times
	}{{"first token", re.FirstToken}, {"between tokens", re.BetweenToken}, {"whole answer", re.WholeAnswer}} {
		fmt.Fprintf(&out, "%-16s %9.2f %9.2f %9.2f %9.2f\n", row.name, row.ti.P50, row.ti.P95, row.ti.P99, row.ti.Max)
	}
	return out.String()
}

// JSON encodes the report for programs.
func (re *Report) JSON() string {
	text, _ := json.Marshal(re)
	return string(text)
}
