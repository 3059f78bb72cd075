package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case: a request that crashes workers comes again after the store was down and all routers were
// killed.
const (
	crashingBody  = "the request that crashes"
	storeDown     = 5 * time.Second
	killedAfter   = 2 * time.Second
	againEvery    = 1200 * time.Millisecond
	againFor      = 30 * time.Second
	crashesToKnow = 3
	retriesAllow  = 3
)

// playForgotten sends a request that crashes the workers that run it, while the store is down, kills all routers,
// and sends the request again once the store has been stable.
func playForgotten(ru *run) (int, error) {
	ru.putManifest([]routeSpec{{
		Name: plainRoute, Host: requesterHost, PathPrefix: plainPath, RouteKind: "idempotent", TimeoutMs: 2000, GoalMs: 300,
		Priority: 2, Service: plainPool, MaxAttempts: 2,
	}}, []serviceSpec{plains()})
	fc := &forgottenCase{ru: ru, touch: map[string]bool{}}
	for range modelWorkers {
		if err := fc.start(); err != nil {
			return failed, err
		}
	}
	fl, err := startFleet(ru.dir, ru.sto, ru.rec, 4)
	if err != nil {
		return failed, err
	}
	defer fl.stop()
	if err = fl.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(contact + readyInterval)
	if ru.trouble {
		ru.sto.goDown(storeDown)
		ru.rec.add("the store is down for %s", storeDown)
		time.AfterFunc(killedAfter, fl.killAll)
	}
	began := time.Now()
	for number := 0; fc.crashes() < crashesToKnow && time.Since(began) < killedAfter; number++ {
		fc.send(fl.pick(number), number)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(storeDown + contact + readyInterval - time.Since(began))
	const later = 100
	for number, end := later, time.Now().Add(againFor); time.Now().Before(end); number++ {
		fc.send(fl.pick(number), number)
		time.Sleep(againEvery)
	}
	return fc.verdict(), nil
}

// forgottenCase is the state of the case.
type forgottenCase struct {
	ru *run

	mu      sync.Mutex // guards all below
	started int
	reached []badSend
	touch   map[string]bool
}

// start starts a worker. One that has crashed is back some seconds later, under another id.
func (fc *forgottenCase) start() error {
	fc.mu.Lock()
	fc.started++
	wo := &worker{id: fmt.Sprintf("i-%04d", fc.started), service: plainPool, zone: zones[fc.started%3], version: "v1", slots: plainSlots, sto: fc.ru.sto, rec: fc.ru.rec}
	fc.mu.Unlock()
	wo.serve = func(wo *worker, _ http.ResponseWriter, rq *http.Request) {
		id := rq.Header.Get(names.RequestID)
		fc.mu.Lock()
		fc.reached = append(fc.reached, badSend{id, time.Now()})
		fc.mu.Unlock()
		wo.crash("it begins to run " + id)
		time.AfterFunc(workerBack, func() {
			if err := fc.start(); err != nil {
				fc.ru.rec.add("a worker cannot be started: %v", err)
			}
		})
	}
	return wo.start(workerHost)
}

func (fc *forgottenCase) crashes() int {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return len(fc.reached)
}

func (fc *forgottenCase) send(ro *router, number int) {
	rq := &request{id: fmt.Sprintf("9c41d07be2%06x", number), method: http.MethodGet, path: plainPath + "2f", key: tenantKey, body: crashingBody, deadline: 4 * time.Second}
	inTouch := ro.inTouch(time.Now())
	fc.mu.Lock()
	fc.touch[rq.id] = inTouch
	fc.mu.Unlock()
	an := rq.send(ro.front(), nil)
	fc.ru.rec.add("request %s at %s (in touch %t) got %d, whole %t %s %v", rq.id, ro.name, inTouch, an.status, an.whole, an.body, an.err)
}

// verdict counts the retries that reached workers later than ContactMs after the third crash.
func (fc *forgottenCase) verdict() int {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	late := 0
	for ix, bs := range fc.reached {
		if ix >= crashesToKnow && bs.at.After(fc.reached[crashesToKnow-1].at.Add(contact)) && fc.touch[bs.id] {
			late++
		}
	}
	fc.ru.rec.add("the request reached workers %d times, %d of them later than %s after the third crash; the rule allows %d", len(fc.reached), late, contact, retriesAllow)
	if late > retriesAllow {
		return broken
	}
	return held
}
