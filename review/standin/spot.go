package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case: a worker is gone two seconds after its notice.
const (
	spotWorkers = 3
	spotStreams = 24
	spotNotice  = 2 * time.Second
)

// playSpot gives a worker notice and takes it away, while it answers with streams that have neither a length nor
// chunks.
func playSpot(ru *run) (int, error) {
	ru.putManifest([]routeSpec{modelRoute()}, []serviceSpec{engines()})
	var workers []*processWorker
	for ix := range spotWorkers {
		pw, err := ru.startProcess(fmt.Sprintf("i-%04d", ix+1), modelPool, zones[ix%3], "stream", workerSlots)
		if err != nil {
			return failed, err
		}
		defer pw.kill()
		workers = append(workers, pw)
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
		time.AfterFunc(time.Second, workers[0].drain)
		time.AfterFunc(time.Second+spotNotice, workers[0].kill)
	}
	var mu sync.Mutex
	cut, whole := 0, 0
	var group sync.WaitGroup
	for number := range spotStreams {
		group.Go(func() {
			ro := fl.pick(number)
			rq := modelRequest(fmt.Sprintf("9c41d07be2%06x", number), fmt.Sprint("prompt ", number), number)
			an := rq.send(ro.front(), nil)
			mu.Lock()
			defer mu.Unlock()
			ru.rec.add("stream %s at %s got %d with the stamp %q, %d of %d events, ends as complete: %t", rq.id, ro.name, an.status,
				an.header.Get(names.Stamp), len(an.events), unframedEvents, an.whole)
			switch {
			case an.status == http.StatusOK && an.whole && len(an.events) < unframedEvents:
				cut++
			case an.status == http.StatusOK && an.whole:
				whole++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	ru.rec.add("%d of %d streams are whole, %d end as complete before their last event; the rule allows none", whole, spotStreams, cut)
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}
