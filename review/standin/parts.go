package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case. A prompt has as many parts as the turns of a long chat, and one that is its own.
const (
	defaultParts   = 20
	badPart        = "bad0bad0"
	modelWorkers   = 6
	workerBack     = 3 * time.Second
	badInterval    = 1500 * time.Millisecond
	soundInterval  = 250 * time.Millisecond
	partsPlayed    = 45 * time.Second
	requestTimeout = 5 * time.Second
	crashesNamed   = 5
	allowedAfter   = 3
)

// badSend is a request with the bad part that has reached a worker.
type badSend struct {
	id string
	at time.Time
}

// partCase is the state of the case.
type partCase struct {
	ru *run
	fl *fleet

	mu      sync.Mutex // guards all below
	started int
	crashes []time.Time
	reached []badSend
	// touch tells for each request whether its router was in touch when it was sent.
	touch map[string]bool
	sound map[int]int
}

// playParts sends requests that share a part which crashes each worker that begins to answer on it.
func playParts(ru *run) (int, error) {
	pc := &partCase{ru: ru, touch: map[string]bool{}, sound: map[int]int{}}
	ru.putManifest([]routeSpec{modelRoute()}, []serviceSpec{engines()})
	for range modelWorkers {
		if err := pc.startWorker(); err != nil {
			return failed, err
		}
	}
	var err error
	if pc.fl, err = startFleet(ru.dir, ru.sto, ru.rec, 4); err != nil {
		return failed, err
	}
	defer pc.fl.stop()
	if err = pc.fl.awaitReady(20 * time.Second); err != nil {
		return failed, err
	}
	time.Sleep(contact)
	end := time.Now().Add(partsPlayed)
	var group sync.WaitGroup
	group.Go(func() { pc.load(end, badInterval, true) })
	group.Go(func() { pc.load(end, soundInterval, false) })
	group.Wait()
	return pc.verdict(), nil
}

// startWorker starts a worker, which crashes on the bad part and is back some seconds later under another id.
func (pc *partCase) startWorker() error {
	pc.mu.Lock()
	pc.started++
	wo := &worker{
		id: fmt.Sprintf("i-%04d", pc.started), service: modelPool, zone: zones[pc.started%3], version: "v1", slots: workerSlots, sto: pc.ru.sto, rec: pc.ru.rec,
	}
	pc.mu.Unlock()
	answer := serveStream(3, 20*time.Millisecond)
	wo.serve = func(wo *worker, wr http.ResponseWriter, rq *http.Request) {
		if !strings.Contains(rq.Header.Get(names.Prefix), badPart) {
			answer(wo, wr, rq)
			return
		}
		now := time.Now()
		pc.mu.Lock()
		pc.reached = append(pc.reached, badSend{rq.Header.Get(names.RequestID), now})
		if pc.ru.trouble {
			pc.crashes = append(pc.crashes, now)
		}
		pc.mu.Unlock()
		if !pc.ru.trouble {
			answer(wo, wr, rq)
			return
		}
		wo.crash("it begins to answer " + rq.Header.Get(names.RequestID) + ", whose prompt has the bad part")
		time.AfterFunc(workerBack, func() {
			if err := pc.startWorker(); err != nil {
				pc.ru.rec.add("a worker cannot be started: %v", err)
			}
		})
	}
	return wo.start(workerHost)
}

// partCount is how many parts a prompt has, modelCount how many models the requests name in turn.
func partCount() int  { return setting("PARTS", defaultParts) }
func modelCount() int { return setting("MODELS", 1) }

// modelName is the model that a request names.
func modelName(number int) string {
	if number %= modelCount(); number > 0 {
		return fmt.Sprint("m", number)
	}
	return "m"
}

// setting returns a number from the environment.
func setting(name string, other int) int {
	if number, err := strconv.Atoi(os.Getenv(name)); err == nil && number > 0 {
		return number
	}
	return other
}

// prompt lists the parts. All are shared but the last one; in a bad prompt, the one before it is the bad part.
func prompt(number int, bad bool) string {
	count := partCount()
	var parts []string
	for ix := range count - 1 {
		id := fmt.Sprintf("5c1e%04x", ix)
		if bad && ix == count-2 {
			id = badPart
		}
		parts = append(parts, id+":40")
	}
	return strings.Join(append(parts, fmt.Sprintf("e4%06x:61", number)), ",")
}

// load sends requests at intervals, in turn at all routers.
func (pc *partCase) load(end time.Time, every time.Duration, bad bool) {
	kind, first := "sound", 0x100000
	if bad {
		kind, first = "bad", 0x200000
	}
	var group sync.WaitGroup
	for number := 0; time.Now().Before(end); number++ {
		group.Go(func() {
			ro := pc.fl.routers[number%len(pc.fl.routers)]
			rq := &request{
				id: fmt.Sprintf("9c41d07be2%06x", first+number), method: http.MethodPost, path: streamPath + "2f", key: tenantKey,
				body: fmt.Sprintf("prompt %s %d", kind, number), deadline: requestTimeout, header: map[string]string{
					names.Model: modelName(number), names.Tokens: "821,60", names.Prefix: prompt(first+number, bad),
				},
			}
			pc.mu.Lock()
			pc.touch[rq.id] = ro.inTouch(time.Now())
			pc.mu.Unlock()
			an := rq.send(ro.front(), nil)
			pc.mu.Lock()
			if !bad {
				pc.sound[an.status]++
			}
			pc.mu.Unlock()
			pc.ru.rec.add("%s request %s at %s got %d, whole %t %s", kind, rq.id, ro.name, an.status, an.whole, an.body)
		})
		time.Sleep(every)
	}
	group.Wait()
}

// verdict counts what the rule counts: requests with the bad part that reached workers, sent by machines in
// touch later than ContactMs after the fifth crash.
func (pc *partCase) verdict() int {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	rec := pc.ru.rec
	rec.add("prompts of %d parts; %d requests with the bad part reached workers, %d crashes; sound requests by status: %v", partCount(), len(pc.reached), len(pc.crashes), pc.sound)
	if len(pc.crashes) < crashesNamed {
		rec.add("there was no fifth crash")
		return held
	}
	from, late := pc.crashes[crashesNamed-1].Add(contact), 0
	for _, bs := range pc.reached {
		if bs.at.After(from) && pc.touch[bs.id] {
			late++
		}
	}
	rec.add("%d of them later than %s after the fifth crash; the rule allows %d", late, contact, allowedAfter)
	if late > allowedAfter {
		return broken
	}
	return held
}
