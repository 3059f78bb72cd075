package demo_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/io/client"
	"almondrill/io/conf"
	"almondrill/io/demo"
	"almondrill/io/fakes/engine"
	"almondrill/io/load"
	"almondrill/io/logs"
	"almondrill/io/node"
	"almondrill/io/stats"
)

func router(fl *demo.Fleet) *node.Process { return fl.Process("router-00") }

func post(t *testing.T, addr, path, key, body string, header http.Header) (int, string) {
	t.Helper()
	rq, err := http.NewRequest(http.MethodPost, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if header != nil {
		rq.Header = header
	}
	rq.Header.Set("Authorization", "Bearer "+key)
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		t.Fatal(err)
	}
	defer rs.Body.Close()
	text, _ := io.ReadAll(rs.Body)
	return rs.StatusCode, string(text)
}

// An invalid request must be refused with the right status and reason, and counted under that
// reason.
func TestBadRequestsAreRefusedAndCounted(t *testing.T) {
	fl := startFleet(t)
	const chatPath = "/v1/chat/completions"
	good := `{"model":"demo-model","messages":[{"role":"user","content":"x"}]}`
	for _, one := range []struct {
		name, path, key, body string
		header                http.Header
		status                int
		reason                core.Reason
	}{
		{"malformed", chatPath, demo.Key, `{"model":`, nil, 400, core.ReasonBadRequest},
		{"no messages", chatPath, demo.Key, `{"model":"demo-model"}`, nil, 400, core.ReasonBadRequest},
		{"wrong key", chatPath, "nobody", good, nil, 401, core.ReasonBadKey},
		{"unknown model", chatPath, demo.Key, `{"model":"x","messages":[{"role":"user","content":"x"}]}`, nil, 404, core.ReasonUnknownModel},
		{"unknown service", "/v1/services/x/y", demo.Key, "", nil, 404, core.ReasonUnknownModel},
		{"unknown path", "/v2/chat", demo.Key, "", nil, 404, core.ReasonBadRequest},
		{"counters", "/debug/vars", demo.Key, "", nil, 404, core.ReasonBadRequest},
		{"priority", chatPath, demo.Key, good, http.Header{"X-Priority": {"top"}}, 400, core.ReasonBadRequest},
		{"timeout", chatPath, demo.Key, good, http.Header{"X-Request-Timeout": {"5"}}, 400, core.ReasonBadRequest},
		{"too large", chatPath, demo.Key, strings.Repeat("x", 9<<20), nil, 413, core.ReasonTooLarge},
	} {
		before := router(fl).Stats.Refusals(one.reason)
		status, text := post(t, router(fl).CallersAddr(), one.path, one.key, one.body, one.header)
		if status != one.status || !strings.Contains(text, `"Reason":"`+string(one.reason)+`"`) || !strings.Contains(text, `"Outcome":"NotRun"`) {
			t.Errorf("%s: %d %s", one.name, status, text)
		}
		if router(fl).Stats.Refusals(one.reason) != before+1 {
			t.Errorf("%s: the refusal was not counted", one.name)
		}
	}
}

// A caller sends half of its body and then nothing. It must be refused within BodyTimeout, and its
// connection closed.
func TestSlowCallerIsRefused(t *testing.T) {
	fl := startFleet(t)
	conn, err := net.Dial("tcp", router(fl).CallersAddr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+demo.Key+
		"\r\nContent-Length: 100\r\n\r\n{\"model\"")
	text, err := io.ReadAll(conn)
	if err != nil || !bytes.Contains(text, []byte("SlowCaller")) || !bytes.Contains(text, []byte("408")) {
		t.Errorf("%s %v", text, err)
	}
}

// An engine aborts a response. The stream must end with an error event and a response that is not
// streamed must break off, so that neither looks complete to the caller.
func TestTruncatedResponsesNeverLookWhole(t *testing.T) {
	fl := startFleet(t)
	for _, en := range fl.FakeEngines {
		en.SetFaults(engine.Faults{CutAfter: 3})
	}
	cl := &client.Client{Key: demo.Key}
	rs := cl.Chat(context.Background(), router(fl).CallersAddr(), chat(true))
	if rs.Outcome != core.Failed || rs.Reason != core.ReasonCutShort || rs.Answer == "" {
		t.Errorf("stream: %s %s %v %q", rs.Outcome, rs.Reason, rs.Err, rs.Answer)
	}
	if rs = cl.Chat(context.Background(), router(fl).CallersAddr(), chat(false)); rs.Outcome == core.Whole {
		t.Errorf("plain: %s %q", rs.Outcome, rs.Answer)
	}
}

// An engine responds with the ids of other attempts. These responses must reach no caller. As chats
// may be repeated, another engine serves the request while the retry budget lasts; after that the
// caller gets the reason.
func TestReplyToAnotherAttemptIsDropped(t *testing.T) {
	fl := startFleet(t)
	fl.FakeEngines[0].SetFaults(engine.Faults{Crossed: true})
	cl := &client.Client{Key: demo.Key}
	crossed := int64(0)
	for n := range 30 {
		ch := chat(false)
		ch.ID = core.ChatID(strings.Repeat("x", n+1))
		rs := cl.Chat(context.Background(), router(fl).CallersAddr(), ch)
		if rs.Outcome != core.Whole && rs.Reason != core.ReasonCrossed {
			t.Errorf("%s %s", rs.Outcome, rs.Reason)
		}
	}
	for _, pr := range fl.Processes {
		crossed += pr.Stats.Refusals(core.ReasonCrossed)
	}
	if retried := router(fl).Stats.Retries(core.ReasonCrossed); crossed == 0 || retried == 0 {
		t.Errorf("%d replies to another attempt, %d requests retried", crossed, retried)
	}
}

// A router and an agent are shut down under load. No response may be truncated: requests in
// progress are completed, and new ones go to the other processes.
func TestShutdownUnderLoadTruncatesNothing(t *testing.T) {
	fl := startFleet(t)
	var all sync.WaitGroup
	reports := make([]*load.Report, 2)
	for ix, addr := range fl.RouterAddrs() {
		plan := load.Plan{
			Addr: addr, Key: demo.Key, Model: demo.Model, Rate: 100, Duration: time.Second, MaxTokens: 40, Streamed: 0.5, Seed: uint64(ix),
		}
		if ix == 0 {
			// The balancer sends callers of the stopping router to the other one.
			plan.Duration = 300 * time.Millisecond
		}
		all.Go(func() { reports[ix] = load.Run(context.Background(), plan) })
	}
	time.Sleep(350 * time.Millisecond)
	all.Go(func() { _ = fl.Process("engine-01").Stop() })
	all.Go(func() { _ = router(fl).Stop() })
	all.Wait()
	for ix, rep := range reports {
		if rep.Sent == 0 || rep.Outcomes["Whole"] != rep.Sent {
			t.Errorf("router %d: sent %d, %v %v", ix, rep.Sent, rep.Outcomes, rep.Reasons)
		}
	}
}

// A router starts while the KV store cannot be reached and no peer is known. It must report that on
// /readyz and refuse requests as not run.
func TestStartWithoutKVRefusesRequests(t *testing.T) {
	pr := &node.Process{Role: core.RoleRouter, Logs: logs.Discard(), Settings: &conf.Settings{
		Name: "alone", Zone: "a", Region: "north", PeersAddr: "127.0.0.1:0", CallersAddr: "127.0.0.1:0", AdminAddr: "127.0.0.1:0",
		KVAddr: "127.0.0.1:1", VMsAddr: "127.0.0.1:1", DrainDelay: time.Millisecond,
	}}
	if err := pr.Listen(); err != nil {
		t.Fatal(err)
	}
	if err := pr.Build(); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- pr.Run(context.Background()) }()
	status, text := post(t, pr.CallersAddr(), "/v1/chat/completions", demo.Key, "{}", nil)
	if status != 503 || !strings.Contains(text, string(core.ReasonNoConfig)) || pr.Stats.Value(stats.AnswersNotRun) != 1 {
		t.Errorf("%d %s", status, text)
	}
	rs, err := http.Get("http://" + pr.AdminAddr() + "/readyz")
	if err != nil || rs.StatusCode != 503 {
		t.Errorf("readyz: %v %v", rs, err)
	}
	_ = pr.Stop()
	if err = <-done; err != nil {
		t.Error(err)
	}
}
