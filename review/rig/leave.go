package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const leaveConfig = `{"Version":7,"Routes":[{"Name":"draft","Host":"case.example","PathPrefix":"/draft/","RouteKind":"stream","TimeoutMs":10000,"GoalMs":600,"Priority":1,"Service":"draft-pool","MaxAttempts":1,"Public":false,"Sticky":false,"Resumable":false,"GapGoalMs":300}],
"Services":[{"Name":"draft-pool","HealthPath":"/healthz","MaxConns":310,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","ApiKeys":["` + apiKey + `"],"Priority":1}]}`

const (
	leaveWorkers = 4
	// leaving is how many workers leave, one leaveGap after the other.
	leaving  = 2
	leaveGap = 1500 * time.Millisecond
	// A worker that leaves serves for serveOn after its report: DrainMs and a little longer. Then it takes no more
	// channels, finishes the answers that it has begun, and exits.
	serveOn = drainMs*time.Millisecond + 500*time.Millisecond
	// A draft has draftEvents, one each draftPause.
	draftEvents = 55
	draftPause  = 100 * time.Millisecond
	draftUsers  = 40
	draftLasts  = 18 * time.Second
	// leaveAt is when the first worker leaves. Each requester has used its channel by then.
	leaveAt = 11 * time.Second
	// lostAnswers is how many requests may lose their answers.
	lostAnswers = 3
)

// drafter is a worker whose streams end with their channels.
type drafter struct {
	sc    *scene
	id    string
	born  int64
	li    net.Listener
	mu    sync.Mutex // guards all below
	whole map[string]bool
	open  sync.WaitGroup
}

// leave has workers leave that finish what they have begun.
func leave(sc *scene) (bool, error) {
	var workers []*drafter
	for ix := range leaveWorkers {
		dr, err := sc.startDrafter(ix)
		if err != nil {
			return false, err
		}
		workers = append(workers, dr)
	}
	if err := sc.startRouters(leaveConfig, 2); err != nil {
		return false, err
	}
	time.Sleep(contact)
	until := time.Now().Add(draftLasts)
	var mu sync.Mutex
	sent, whole, lost := 0, 0, 0
	var users sync.WaitGroup
	for user := range draftUsers {
		users.Go(func() {
			time.Sleep(time.Duration(user) * 5 * time.Second / draftUsers)
			ro := sc.routers[user%len(sc.routers)]
			var channel net.Conn
			used := 0
			for time.Now().Before(until) {
				if channel == nil {
					co, err := net.DialTimeout("tcp", ro.front, time.Second)
					if err != nil {
						continue
					}
					channel, used = co, 0
				}
				an := sendOn(channel, requestID(), http.MethodPost, "/draft/2f", []byte("draft"), 10*time.Second)
				finished := false
				for _, dr := range workers {
					finished = finished || dr.finished(an.id)
				}
				sc.log("request %s, number %d on its channel, its worker has sent all: %t; the requester got status %d, %d events, end: %v",
					an.id, used+1, finished, an.status, bytes.Count(an.body, []byte("\n\n")), an.err)
				mu.Lock()
				sent++
				if an.err == nil && an.status == http.StatusOK {
					whole++
				}
				if an.err != nil && finished && used > 0 {
					lost++
					sc.log("request %s has lost a whole answer on a kept channel", an.id)
				}
				mu.Unlock()
				if used++; an.err != nil {
					_ = channel.Close()
					channel = nil
				}
			}
		})
	}
	time.Sleep(leaveAt)
	if sc.trouble {
		for _, dr := range workers[:leaving] {
			dr.leave()
			time.Sleep(leaveGap)
		}
	}
	users.Wait()
	sc.log("%d requests sent, %d answered whole; %d on kept channels ended without the answer that their worker had sent, %d may", sent, whole, lost, lostAnswers)
	return lost > lostAnswers, nil
}

func (sc *scene) startDrafter(ix int) (*drafter, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	dr := &drafter{sc: sc, id: fmt.Sprintf("i-%08x", 0x3d000000+ix), born: time.Now().UnixMilli(), li: li, whole: map[string]bool{}}
	dr.report("ready")
	sc.log("worker %s starts at %s", dr.id, li.Addr())
	go func() {
		for {
			co, err := li.Accept()
			if err != nil {
				return
			}
			go dr.serve(co)
		}
	}()
	return dr, nil
}

func (dr *drafter) report(state string) {
	dr.sc.store.set(names.ServersPrefix+dr.id, registration("draft-pool", dr.li.Addr().String(), dr.sc.fleet.zone, "v1", state, 48, dr.born))
}

// leave reports that the worker drains, and ends it in due time.
func (dr *drafter) leave() {
	dr.report("draining")
	dr.sc.log("worker %s reports that it drains", dr.id)
	time.AfterFunc(serveOn, func() {
		_ = dr.li.Close()
		dr.sc.log("worker %s takes no more channels, and finishes its answers", dr.id)
		dr.open.Wait()
		dr.sc.store.set(names.ServersPrefix+dr.id, nil)
		dr.sc.log("worker %s exits", dr.id)
	})
}

func (dr *drafter) finished(id string) bool {
	dr.mu.Lock()
	defer dr.mu.Unlock()
	return dr.whole[id]
}

// serve answers the request on a channel, and closes it at the end of the answer.
func (dr *drafter) serve(co net.Conn) {
	defer co.Close()
	rq, err := http.ReadRequest(bufio.NewReader(co))
	if err != nil {
		return
	}
	dr.open.Add(1)
	defer dr.open.Done()
	_, _ = io.Copy(io.Discard, rq.Body)
	id := rq.Header.Get(names.RequestID)
	if rq.Header.Get(names.Expect) != dr.id {
		_, _ = fmt.Fprintf(co, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", names.RequestID, id)
		return
	}
	_, err = fmt.Fprintf(co, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", answerHeader(dr.id, id))
	for number := 1; number <= draftEvents && err == nil; number++ {
		time.Sleep(draftPause)
		_, err = fmt.Fprintf(co, "id: %d\ndata: part of a draft\n\n", number)
	}
	if err == nil {
		dr.mu.Lock()
		dr.whole[id] = true
		dr.mu.Unlock()
	}
}
