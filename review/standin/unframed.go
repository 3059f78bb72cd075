package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case. Each worker has some two requests at work.
const (
	plainWorkers  = 3
	plainInterval = 10 * time.Millisecond
	plainDeadline = 4 * time.Second
	plainPlayed   = 25 * time.Second
	crashEvery    = 5 * time.Second
	crashFor      = 4 * time.Second
	crashCount    = 4
)

// playUnframed kills workers, one after the other, while they answer plain requests. Their answers have neither a
// length nor chunks.
func playUnframed(ru *run) (int, error) {
	ru.putManifest([]routeSpec{{
		Name: plainRoute, Host: requesterHost, PathPrefix: plainPath, RouteKind: "idempotent", TimeoutMs: 2000, GoalMs: 300,
		Priority: 2, Service: plainPool, MaxAttempts: 2,
	}}, []serviceSpec{plains()})
	pool := &plainWorkersOf{ru: ru}
	defer pool.killAll()
	for range plainWorkers {
		if err := pool.start(); err != nil {
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
	time.Sleep(contact)
	if ru.trouble {
		go pool.crash()
	}
	var mu sync.Mutex
	cut, byStatus := 0, map[int]int{}
	var group sync.WaitGroup
	for number, end := 0, time.Now().Add(plainPlayed); time.Now().Before(end); number++ {
		group.Go(func() {
			ro := fl.pick(number)
			rq := &request{id: fmt.Sprintf("9c41d07be2%06x", number), method: http.MethodGet, path: plainPath + "2f", key: tenantKey, deadline: plainDeadline}
			an := rq.send(ro.front(), nil)
			isCut := an.status == http.StatusOK && an.whole && an.body != plainBody(rq.id)
			ru.rec.add("request %s at %s got %d with the stamp %q, %d of %d bytes, ends as complete: %t, %v", rq.id, ro.name, an.status,
				an.header.Get(names.Stamp), len(an.body), plainSize, an.whole, an.err)
			mu.Lock()
			defer mu.Unlock()
			byStatus[an.status]++
			if isCut {
				cut++
				ru.rec.add("request %s: a success with a part of its worker's body", rq.id)
			}
		})
		time.Sleep(plainInterval)
	}
	group.Wait()
	ru.rec.add("answers by status: %v; %d successes lack a part of their worker's body; the rule allows none", byStatus, cut)
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}

// plainWorkersOf is the workers of the plain service.
type plainWorkersOf struct {
	ru *run

	mu      sync.Mutex // guards all below
	started int
	alive   []*processWorker
}

// start starts one more worker.
func (pw *plainWorkersOf) start() error {
	pw.mu.Lock()
	defer pw.mu.Unlock()
	pw.started++
	wo, err := pw.ru.startProcess(fmt.Sprintf("i-%04d", pw.started), plainPool, zones[pw.started%3], "plain", plainSlots)
	if err == nil {
		pw.alive = append(pw.alive, wo)
	}
	return err
}

// crash kills one worker after the other. Each is back after some seconds, as a new one.
func (pw *plainWorkersOf) crash() {
	for range crashCount {
		time.Sleep(crashEvery)
		pw.mu.Lock()
		wo := pw.alive[0]
		pw.alive = pw.alive[1:]
		pw.mu.Unlock()
		wo.kill()
		time.AfterFunc(crashFor, func() {
			if err := pw.start(); err != nil {
				pw.ru.rec.add("a worker cannot be started: %v", err)
			}
		})
	}
}

func (pw *plainWorkersOf) killAll() {
	pw.mu.Lock()
	defer pw.mu.Unlock()
	for _, wo := range pw.alive {
		wo.kill()
	}
}
