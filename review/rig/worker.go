package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// lapse is how long the entry of a silent worker stays.
	lapse = 3 * heartbeat
)

var lastWorker atomic.Int64

// worker is a stand-in of an application worker. Each start is a new incarnation with a new id.
type worker struct {
	re      *record
	st      *store
	service string
	addr    string
	zone    string
	version string
	slots   int
	// keepsID is set if the worker starts again under the id that it had.
	keepsID bool
	// run answers a request that the worker runs.
	run func(wo *worker, wr http.ResponseWriter, rq *http.Request)

	mu sync.Mutex // guards all below
	id string
	// starts counts the incarnations.
	starts int
	li     net.Listener
	conns  map[net.Conn]bool
}

// start begins a new incarnation at the worker's address.
func (wo *worker) start() error {
	li, err := net.Listen("tcp", wo.addr)
	if err != nil {
		return err
	}
	wo.mu.Lock()
	if wo.id == "" || !wo.keepsID {
		wo.id = fmt.Sprintf("i-%08x", 0x5a000000+lastWorker.Add(1))
	}
	wo.starts++
	id, version := wo.id, wo.version
	born := time.Now().UnixMilli()
	wo.li, wo.conns = li, map[net.Conn]bool{}
	wo.mu.Unlock()
	srv := &http.Server{
		Handler: http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) { wo.serve(id, wr, rq) }),
		ConnState: func(co net.Conn, cs http.ConnState) {
			wo.mu.Lock()
			defer wo.mu.Unlock()
			if wo.conns[co] = true; cs == http.StateClosed {
				delete(wo.conns, co)
			}
		},
		IdleTimeout: 5 * time.Second,
	}
	go func() { _ = srv.Serve(li) }()
	wo.st.set(names.ServersPrefix+id, registration(wo.service, wo.addr, wo.zone, version, "ready", wo.slots, born))
	wo.re.log("worker %s of %s starts at %s, version %s", id, wo.service, wo.addr, version)
	return nil
}

// crash ends the incarnation as the end of its process does: its address refuses connections, and those that are
// open are reset. The entry lapses.
func (wo *worker) crash() {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	_ = wo.li.Close()
	for co := range wo.conns {
		if tcp, ok := co.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = co.Close()
	}
	id, starts := wo.id, wo.starts
	wo.re.log("worker %s crashes", id)
	time.AfterFunc(lapse, func() {
		wo.mu.Lock()
		defer wo.mu.Unlock()
		if wo.id != id || wo.starts == starts {
			wo.st.set(names.ServersPrefix+id, nil)
		}
	})
}

func (wo *worker) currentID() string {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return wo.id
}

func (wo *worker) currentVersion() string {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	return wo.version
}

func (wo *worker) setVersion(version string) {
	wo.mu.Lock()
	defer wo.mu.Unlock()
	wo.version = version
}

func (wo *worker) serve(id string, wr http.ResponseWriter, rq *http.Request) {
	request := rq.Header.Get(names.RequestID)
	switch expected := rq.Header.Get(names.Expect); {
	case expected != "" && expected != id:
		wr.Header().Set(names.Instance, id)
		wr.WriteHeader(http.StatusMisdirectedRequest)
		return
	case rq.URL.Path == "/healthz":
		wr.Header().Set(names.Instance, id)
		return
	case request == "":
		wr.Header().Set(names.NotRun, "1")
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	wr.Header().Set(names.RequestID, request)
	wr.Header().Set(names.Stamp, "stamp."+id+"."+request)
	wo.run(wo, wr, rq)
}

// work takes the time, and returns false if the request's connection closes before.
func work(ctx context.Context, takes time.Duration) bool {
	select {
	case <-time.After(takes):
		return true
	case <-ctx.Done():
		return false
	}
}
