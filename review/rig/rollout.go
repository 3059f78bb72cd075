package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const longConfig = `{"Version":7,"Routes":[{"Name":"digest","Host":"case.example","PathPrefix":"/chat/","RouteKind":"stream","TimeoutMs":15000,"GoalMs":1000,"Priority":1,"Service":"chat-pool","MaxAttempts":2,"Public":false,"Sticky":false,"Resumable":true,"GapGoalMs":600}],
"Services":[{"Name":"chat-pool","HealthPath":"/healthz","MaxConns":310,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","ApiKeys":["` + apiKey + `"],"Priority":1}]}`

const (
	rolloutRouters = 4
	rolloutWorkers = 4
	// Streams begin for rolloutBegin, one each rolloutEvery. At its end one router is killed, the first worker of the next
	// version starts newVersionAfter later, and the streams are taken up again rolloutAfter after the kill.
	rolloutBegin    = 3 * time.Second
	rolloutEvery    = 50 * time.Millisecond
	newVersionAfter = 500 * time.Millisecond
	rolloutAfter    = 1500 * time.Millisecond
	// A stream has longEvents, one each longPause, and longDeadline is how long its requester waits for the whole.
	longEvents   = 70
	longPause    = 100 * time.Millisecond
	longDeadline = 15 * time.Second
	newStreams   = 40
	// leastTakenUp is from how many streams on the rule judges, leastShare the part of the share of new streams.
	leastTakenUp = 12
	leastShare   = 0.5
)

// rollout kills one router. A moment later a release begins: the first worker of the next version starts beside the others, and then
// the requesters of the killed router take up their streams at the others.
func rollout(sc *scene) (bool, error) {
	if _, err := sc.startWorkers("chat-pool", rolloutWorkers, &worker{version: "v1", slots: 200, run: runLong}); err != nil {
		return false, err
	}
	if err := sc.startRouters(longConfig, rolloutRouters); err != nil {
		return false, err
	}
	time.Sleep(contact + 2*time.Second)
	killed := time.Now().Add(rolloutBegin)
	var streams []*chat
	var running sync.WaitGroup
	for time.Now().Before(killed.Add(-rolloutEvery)) {
		ch := &chat{first: requestID(), versions: map[string]bool{}, until: killed, deadline: time.Now().Add(longDeadline)}
		streams = append(streams, ch)
		running.Go(func() { _ = ch.try(sc.routers[0].front, ch.first) })
		time.Sleep(rolloutEvery)
	}
	time.Sleep(time.Until(killed))
	if sc.trouble {
		sc.routers[0].signal(syscall.SIGKILL)
	}
	running.Wait()
	time.Sleep(newVersionAfter)
	if _, err := sc.startWorkers("chat-pool", 1, &worker{version: "v2", slots: 200, run: runLong}); err != nil {
		return false, err
	}
	time.Sleep(time.Until(killed.Add(rolloutAfter)))
	var mu sync.Mutex
	takenUp, goOn, begun := 0, 0, 0
	for ix, ch := range streams {
		if ch.last == 0 {
			continue
		}
		takenUp++
		ro := sc.routers[1+ix%(len(sc.routers)-1)]
		running.Go(func() {
			last := ch.last
			ch.until = ch.deadline
			err := ch.try(ro.front, requestID())
			mu.Lock()
			defer mu.Unlock()
			sc.log("stream %s, taken up at %s after event %d, has %d events now: %v", ch.first, ro.name, last, ch.last, err)
			if ch.last > last {
				goOn++
			}
		})
	}
	for ix := range newStreams {
		ro := sc.routers[1+ix%(len(sc.routers)-1)]
		running.Go(func() {
			ch := &chat{first: requestID(), versions: map[string]bool{}, until: time.Now().Add(time.Second)}
			_ = ch.try(ro.front, ch.first)
			mu.Lock()
			defer mu.Unlock()
			if ch.last > 0 {
				begun++
			}
		})
	}
	running.Wait()
	ofTakenUp, ofNew := float64(goOn)/float64(max(1, takenUp)), float64(begun)/newStreams
	sc.log("%d streams were taken up, %.2f of them go on; of %d new streams, %.2f begin", takenUp, ofTakenUp, newStreams, ofNew)
	if takenUp < leastTakenUp {
		return false, fmt.Errorf("only %d streams were taken up", takenUp)
	}
	return ofTakenUp < leastShare*ofNew, nil
}

// runLong sends the events of a long stream, after the last one that the requester has.
func runLong(wo *worker, wr http.ResponseWriter, rq *http.Request) {
	last, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
	wr.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(wr)
	for number := last + 1; number <= longEvents; number++ {
		if !work(rq.Context(), longPause) {
			return
		}
		if _, err := fmt.Fprintf(wr, "id: %d\ndata: %s of %s\n\n", number, wo.version, wo.currentID()); err != nil {
			return
		}
		_ = control.Flush()
	}
}
