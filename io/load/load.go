// Package load is an open-loop load generator for any router, or for an engine
// itself.
//
// # Concepts
//
// Requests are sent at their times whether or not earlier ones have been
// answered, so a slow fleet does not slow the load. Chats return after a think
// time with the whole conversation so far.
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

// Plan says what to send.
type Plan struct {
	// Addr is a router's address for callers, or an engine's.
	Addr  string
	Key   string
	Model string
	// Rate is in requests a second.
	Rate     float64
	Duration time.Duration
	// Chats is how many conversations go on at once; Think is the mean pause
	// between a chat's answer and its next turn.
	Chats int
	Think time.Duration
	Seed  uint64
	// MaxTokens is the length of answers.
	MaxTokens int
	// Streamed and Once are the parts of requests that are streamed, and that
	// carry an idempotency key.
	Streamed float64
	Once     float64
	// MostOpen bounds the requests in flight; beyond it a request is not sent and
	// counted as Unsent.
	MostOpen int
}

// Report is the outcome of a Run; times are in milliseconds.
type Report struct {
	Sent, Unsent int
	Outcomes     map[string]int
	Reasons      map[string]int
	FirstToken   Times
	BetweenToken Times
	WholeAnswer  Times
}

// Times are a distribution in milliseconds.
type Times struct{ P50, P95, P99, Max float64 }

const (
	turnsKept = 8
	highest   = int64(10 * time.Minute)
	digits    = 3
)

// run is the state of one Run.
type run struct {
	pl     Plan
	client *client.Client

	mu                     sync.Mutex // guards all below
	rep                    Report
	first, between, answer *hdrhistogram.Histogram
	idle                   []*chat
	rand                   *rand.Rand
	open                   int
	chats                  int
}

type chat struct {
	id       core.ChatID
	hint     string
	messages []client.Message
	ready    time.Time
}

// Run sends the plan's requests and waits for their answers.
func Run(ctx context.Context, pl Plan) *Report {
	if pl.MostOpen == 0 {
		pl.MostOpen = 10_000
	}
	transport := &http.Transport{MaxIdleConnsPerHost: pl.MostOpen, DisableCompression: true}
	defer transport.CloseIdleConnections()
	ru := &run{
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
		if ch := ru.take(); ch != nil {
			all.Go(func() { ru.send(ctx, ch) })
		}
		next = next.Add(ru.gap())
	}
	all.Wait()
	return ru.report()
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highest, digits) }

// gap draws the time to the next request: arrivals are independent of each other.
func (ru *run) gap() time.Duration {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return time.Duration(-math.Log(1-ru.rand.Float64()) / ru.pl.Rate * float64(time.Second))
}

// take finds a chat whose think time is over, or opens one; nil if too many
// requests are open.
func (ru *run) take() *chat {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	if ru.open >= ru.pl.MostOpen {
		ru.rep.Unsent++
		return nil
	}
	ru.open++
	ru.rep.Sent++
	if len(ru.idle) > 0 && time.Now().After(ru.idle[0].ready) {
		ch := ru.idle[0]
		ru.idle = ru.idle[1:]
		return ch
	}
	ru.chats++
	if ru.pl.Chats > 0 && len(ru.idle) >= ru.pl.Chats {
		ru.idle = ru.idle[1:]
	}
	return &chat{id: core.ChatID(fmt.Sprintf("load-%d-%d", ru.pl.Seed, ru.chats))}
}

func (ru *run) draw(part float64) bool {
	ru.mu.Lock()
	defer ru.mu.Unlock()
	return ru.rand.Float64() < part
}

func (ru *run) send(ctx context.Context, ch *chat) {
	ch.messages = append(ch.messages, client.Message{
		Role: "user", Content: fmt.Sprintf("%s asks %d", ch.id, len(ch.messages)),
	})
	rq := &client.Chat{
		Model: ru.pl.Model, ID: ch.id, Hint: ch.hint, Stream: ru.draw(ru.pl.Streamed),
		MaxTokens: ru.pl.MaxTokens, Messages: ch.messages,
	}
	if ru.draw(ru.pl.Once) {
		rq.IdemKey = fmt.Sprintf("%s-%d", ch.id, len(ch.messages))
	}
	rs := ru.client.Chat(ctx, ru.pl.Addr, rq)
	ch.hint = rs.Hint
	ch.messages = append(ch.messages, client.Message{Role: "assistant", Content: rs.Answer})
	if len(ch.messages) > 2*turnsKept {
		ch.messages = ch.messages[:0]
	}
	ru.note(ch, rs)
}

func (ru *run) note(ch *chat, rs *client.Result) {
	think := -math.Log(1-rand.Float64()) * float64(ru.pl.Think)
	ru.mu.Lock()
	defer ru.mu.Unlock()
	ru.open--
	ch.ready = time.Now().Add(time.Duration(think))
	ru.idle = append(ru.idle, ch)
	ru.rep.Outcomes[rs.Outcome.String()]++
	if rs.Reason != "" {
		ru.rep.Reasons[string(rs.Reason)]++
	}
	if rs.Outcome != core.Whole {
		return
	}
	// The only error is a value beyond ten minutes, which is then left out.
	_ = ru.first.RecordValue(int64(rs.First))
	_ = ru.answer.RecordValue(int64(rs.Total))
	for _, gap := range rs.Gaps {
		_ = ru.between.RecordValue(int64(gap))
	}
}

func (ru *run) report() *Report {
	ru.rep.FirstToken = timesOf(ru.first)
	ru.rep.BetweenToken = timesOf(ru.between)
	ru.rep.WholeAnswer = timesOf(ru.answer)
	return &ru.rep
}

func timesOf(hi *hdrhistogram.Histogram) Times {
	at := func(quantile float64) float64 {
		return float64(hi.ValueAtQuantile(quantile)) / float64(time.Millisecond)
	}
	return Times{P50: at(50), P95: at(95), P99: at(99), Max: float64(hi.Max()) / float64(time.Millisecond)}
}

// Table is the report for people.
func (re *Report) Table() string {
	var out strings.Builder
	fmt.Fprintf(&out, "sent %d, not sent for too many open %d\n", re.Sent, re.Unsent)
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

// JSON is the report for programs.
func (re *Report) JSON() string {
	text, _ := json.Marshal(re)
	return string(text)
}
