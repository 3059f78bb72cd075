package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const poisonConfig = `{"Version":7,"Routes":[{"Name":"book","Host":"case.example","PathPrefix":"/book/","RouteKind":"non_idempotent","TimeoutMs":4000,"GoalMs":300,"Priority":1,"Service":"book-app","MaxAttempts":1,"Public":false,"Sticky":false,"Resumable":false,"GapGoalMs":0}],
"Services":[{"Name":"book-app","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","ApiKeys":["` + apiKey + `"],"Priority":1}]}`

const (
	// poisonEvery is the pause between two rounds of the poison, which comes at two machines each time, poisonTakes how long it runs until its worker crashes,
	// and workerDown how long that is down.
	poisonEvery = 5 * time.Second
	poisonTakes = time.Second
	workerDown  = 2500 * time.Millisecond
	// killedAfter is how long after the begin of the third run all routers are killed, routersDown how long they
	// are down.
	killedAfter  = 500 * time.Millisecond
	routersDown  = 700 * time.Millisecond
	poisonRounds = 9
	soundEvery   = 300 * time.Millisecond
	// poisonRetries is how many retries may reach workers after the third crash.
	poisonRetries = 3
)

// poison kills all routers while workers run a request that crashes them, the third time.
func poison(sc *scene) (bool, error) {
	var mu sync.Mutex
	var runs, crashes []time.Time
	crashed := map[string]bool{}
	poisonBody := []byte("poison")
	third := make(chan struct{})
	run := func(wo *worker, wr http.ResponseWriter, rq *http.Request) {
		body, _ := io.ReadAll(rq.Body)
		if !bytes.Equal(body, poisonBody) {
			work(rq.Context(), 30*time.Millisecond)
			_, _ = fmt.Fprint(wr, "booked")
			return
		}
		mu.Lock()
		runs = append(runs, time.Now())
		number := len(runs)
		mu.Unlock()
		id := wo.currentID()
		sc.log("worker %s begins to run the poison, run %d", id, number)
		if number == 3 {
			close(third)
		}
		time.Sleep(poisonTakes)
		mu.Lock()
		defer mu.Unlock()
		if !crashed[id] {
			crashed[id] = true
			crashes = append(crashes, time.Now())
			wo.crash()
			time.AfterFunc(workerDown, func() { _ = wo.start() })
		}
		panic(http.ErrAbortHandler)
	}
	if _, err := sc.startWorkers("book-app", 4, &worker{version: "v1", slots: 6, run: run}); err != nil {
		return false, err
	}
	if err := sc.startRouters(poisonConfig, 3); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	go sc.sendSound()
	if sc.trouble {
		go func() {
			<-third
			time.Sleep(killedAfter)
			sc.killRouters(routersDown)
		}()
	}
	for round := range poisonRounds {
		began := time.Now()
		for _, ro := range []*router{sc.routers[round%len(sc.routers)], sc.routers[(round+1)%len(sc.routers)]} {
			go func() {
				sc.log("the poison is sent to %s, round %d", ro.name, round+1)
				an := send(ro.front, http.MethodPost, "/book/2f", poisonBody, 4*time.Second)
				sc.log("the poison at %s, round %d: %s", ro.name, round+1, an)
			}()
		}
		time.Sleep(time.Until(began.Add(poisonEvery)))
	}
	mu.Lock()
	defer mu.Unlock()
	if len(crashes) < 3 {
		return false, fmt.Errorf("the poison crashed %d workers, fewer than three", len(crashes))
	}
	counted := 0
	from := crashes[2].Add(contact)
	for ix, began := range runs {
		inTouch := true
		for _, ro := range sc.routers {
			inTouch = inTouch && began.Sub(ro.started) > contact
		}
		if began.After(from) && inTouch {
			counted++
			sc.log("run %d of the poison counts, %.1f s after the third crash", ix+1, began.Sub(crashes[2]).Seconds())
		}
	}
	sc.log("%d retries reached workers later than ContactMs after the third crash, %d are allowed", counted, poisonRetries)
	return counted > poisonRetries, nil
}

// sendSound sends sound requests of the same customer and route until the case ends.
func (sc *scene) sendSound() {
	for number := 0; ; number++ {
		time.Sleep(soundEvery)
		ro := sc.routers[number%len(sc.routers)]
		go func() {
			an := send(ro.front, http.MethodPost, "/book/2f", fmt.Appendf(nil, "sound %d", number), 2*time.Second)
			sc.log("sound request %d at %s: %s", number, ro.name, an)
		}()
	}
}

// killRouters kills all routers at once and starts them again.
func (sc *scene) killRouters(down time.Duration) {
	for _, ro := range sc.routers {
		ro.signal(syscall.SIGKILL)
	}
	for _, ro := range sc.routers {
		<-ro.exited
	}
	time.Sleep(down)
	for _, ro := range sc.routers {
		if err := ro.start(); err != nil {
			sc.log("router %s does not start: %v", ro.name, err)
		}
	}
}
