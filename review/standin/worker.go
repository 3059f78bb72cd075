package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in of one worker: one incarnation, with an id of its own.
type worker struct {
	id, service, zone, version, addr string
	slots                            int
	// serve answers a request that the worker runs.
	serve func(wo *worker, wr http.ResponseWriter, rq *http.Request)
	sto   *store
	rec   *record

	server *http.Server
	mu     sync.Mutex // guards all below
	conns  map[net.Conn]bool
	state  string
	seqNo  int
	// running counts the requests that the worker works on.
	running int
	ended   bool
}

// start listens on a free port and registers.
func (wo *worker) start(host string) error {
	if err := wo.listen(host); err != nil {
		return err
	}
	wo.register()
	wo.rec.add("worker %s (%s %s at %s) is ready", wo.id, wo.service, wo.version, wo.addr)
	return nil
}

// listen serves on a free port.
func (wo *worker) listen(host string) error {
	li, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return err
	}
	wo.addr, wo.state, wo.conns = li.Addr().String(), "ready", map[net.Conn]bool{}
	wo.server = &http.Server{Handler: http.HandlerFunc(wo.handle), ConnState: wo.track, IdleTimeout: 10 * time.Second}
	go func() { _ = wo.server.Serve(li) }()
	return nil
}

func (wo *worker) track(co net.Conn, cs http.ConnState) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	switch cs {
	case http.StateNew:
		wo.conns[co] = true
	case http.StateClosed, http.StateHijacked:
		delete(wo.conns, co)
	}
}

// register writes the worker's entry.
func (wo *worker) register() {
	wo.mu.Lock()
	wo.seqNo++
	entry := map[string]any{
		"Service": wo.service, "Address": wo.addr, "Zone": wo.zone, "Version": wo.version, "Slots": wo.slots, "State": wo.state,
		"ColdLeftMs": 0, "Stage": "colocated", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}}, "SeqNo": wo.seqNo,
	}
	wo.mu.Unlock()
	wo.sto.put(names.ServersPrefix+wo.id, entry)
}

// drain announces that the worker leaves.
func (wo *worker) drain() {
	wo.mu.Lock()
	wo.state = "draining"
	wo.mu.Unlock()
	wo.register()
	wo.rec.add("worker %s reports draining", wo.id)
}

// leave ends a worker that has announced it: it removes its entry and exits.
func (wo *worker) leave() {
	wo.sto.remove(names.ServersPrefix + wo.id)
	wo.mu.Lock()
	wo.ended = true
	running := wo.running
	wo.mu.Unlock()
	_ = wo.server.Close()
	wo.rec.add("worker %s has left with %d requests at work, its entry is gone", wo.id, running)
}

// crash ends the process at once: its channels are reset and nothing listens at its address. The store removes
// its entry after three heartbeat intervals.
func (wo *worker) crash(why string) {
	wo.mu.Lock()
	if wo.ended {
		wo.mu.Unlock()
		return
	}
	wo.ended = true
	conns := wo.conns
	wo.conns = map[net.Conn]bool{}
	wo.mu.Unlock()
	for co := range conns {
		if tcp, ok := co.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = wo.server.Close()
	wo.rec.add("worker %s crashes: %s", wo.id, why)
	time.AfterFunc(3*heartbeat, func() { wo.sto.remove(names.ServersPrefix + wo.id) })
}

func (wo *worker) atWork() int {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return wo.running
}

func (wo *worker) handle(wr http.ResponseWriter, rq *http.Request) {
	hd := wr.Header()
	hd.Set(names.Instance, wo.id)
	wo.mu.Lock()
	draining, running := wo.state == "draining", wo.running
	wo.mu.Unlock()
	hd.Set(names.Load, fmt.Sprintf("%d,0,%d", running, wo.slots))
	switch {
	case rq.URL.Path == "/healthz" && draining:
		wr.WriteHeader(http.StatusServiceUnavailable)
		return
	case rq.URL.Path == "/healthz":
		return
	case rq.URL.Path == names.ReportPath:
		hd.Set("Content-Type", "application/json")
		_ = json.NewEncoder(wr).Encode(map[string]any{
			"Stage": "colocated", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}},
			"Busy": false, "SeqNo": 0, "Queued": 0, "Running": running, "KvUsed": 0, "KvTotal": kvCapacity, "Handles": 0,
		})
		return
	case strings.HasPrefix(rq.URL.Path, "/almondrill/"):
		wr.WriteHeader(http.StatusNotFound)
		return
	}
	hd.Set(names.RequestID, rq.Header.Get(names.RequestID))
	if expect := rq.Header.Get(names.Expect); expect != "" && expect != wo.id {
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, rq.Body); err != nil {
		return
	}
	wo.mu.Lock()
	wo.running++
	wo.mu.Unlock()
	defer func() {
		wo.mu.Lock()
		defer wo.mu.Unlock()
		wo.running--
	}()
	hd.Set(names.Stamp, wo.id+"."+rq.Header.Get(names.RequestID))
	wo.serve(wo, wr, rq)
}

// serveStream answers with events that name the worker's software version. It goes on after Last-Event-Id.
func serveStream(count int, every time.Duration) func(wo *worker, wr http.ResponseWriter, rq *http.Request) {
	return func(wo *worker, wr http.ResponseWriter, rq *http.Request) {
		after, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
		wo.rec.add("worker %s (%s) runs %s from event %d", wo.id, wo.version, rq.Header.Get(names.RequestID), after+1)
		wr.Header().Set("Content-Type", "text/event-stream")
		for number := after + 1; number <= count; number++ {
			select {
			case <-time.After(every):
			case <-rq.Context().Done():
				wo.rec.add("worker %s drops %s: its channel was closed", wo.id, rq.Header.Get(names.RequestID))
				return
			}
			last := ""
			if number == count {
				last = " last"
			}
			if _, err := fmt.Fprintf(wr, "id: %d\ndata: %s%s\n\n", number, wo.version, last); err != nil {
				return
			}
			_ = http.NewResponseController(wr).Flush()
		}
	}
}
