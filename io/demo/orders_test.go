package demo_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/io/client"
	"almondrill/io/demo"
	"almondrill/io/oper"
	"almondrill/io/opsrpc"
)

// An operator declares a new version while chats are running. The router that holds the lease must
// have the engines load it one after another, and status must report the progress. No chat may
// fail, and no engine may be interrupted.
func TestNewVersionIsLoadedEverywhere(t *testing.T) {
	fl := startFleet(t)
	client, closeConn, err := oper.Dial(router(fl).PeersAddr(), demo.OperatorKey)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = closeConn() }()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	doc := demo.Document()
	doc.Pools[0].Version, doc.Pools[0].Adapters = "2", []string{"danish"}
	data, _ := json.Marshal(doc)
	if _, err = client.Apply(ctx, &opsrpc.ApplyCall{Document: data, Planned: 1, ID: "version-2"}); err != nil {
		t.Fatal(err)
	}
	stop, chats := make(chan struct{}), sync.WaitGroup{}
	for range 4 {
		chats.Go(func() { chatUntil(t, fl, stop) })
	}
	for !allDeclared(ctx, t, client) {
		time.Sleep(200 * time.Millisecond)
	}
	close(stop)
	chats.Wait()
	for ix, en := range fl.FakeEngines {
		if st := en.State(); st.Version != "2" || len(st.Adapters) != 1 || en.Stats().Interrupted > 0 {
			t.Errorf("engine %d: %+v, interrupted %d", ix, st, en.Stats().Interrupted)
		}
	}
}

func chatUntil(t *testing.T, fl *demo.Fleet, stop <-chan struct{}) {
	cl := &client.Client{Key: demo.Key}
	for {
		select {
		case <-stop:
			return
		default:
		}
		if rs := cl.Chat(context.Background(), router(fl).CallersAddr(), chat(true)); rs.Outcome != core.Whole {
			t.Errorf("%s %s %v", rs.Outcome, rs.Reason, rs.Err)
		}
	}
}

// allDeclared reports whether status shows all endpoints as declared. It fails the test if the call
// fails.
func allDeclared(ctx context.Context, t *testing.T, client opsrpc.OperatorsClient) bool {
	t.Helper()
	re, err := client.Status(ctx, &opsrpc.StatusCall{})
	if err != nil {
		t.Fatal(err)
	}
	for _, es := range re.Endpoints {
		if es.Wanted != "" || es.Phase != string(core.PhaseReady) || es.Version != "2" {
			return false
		}
	}
	return len(re.Endpoints) == len(demo.Document().Pools)*3
}
