package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of the cases with two software versions. A stream takes twelve seconds, within a deadline of fifteen.
const (
	streamCount    = 24
	streamEvents   = 40
	eventInterval  = 300 * time.Millisecond
	streamDeadline = 15 * time.Second
	ofEachVersion  = 2
	releaseGap     = time.Second
	// A requester has one retry, which a channel that cannot be opened does not use up. It waits for onePause; longPause is longer than routers take to start and to be in
	// touch again. It abandons a stream that has brought no event for longestGap.
	maxRetries    = 1
	onePause      = time.Second
	longPause     = 4 * time.Second
	longestGap    = 8 * gapGoalMs * time.Millisecond
	gapGoalMs     = 600
	maxMixed      = 2
	removedAfter  = 4 * time.Second
	rollingPlayed = 25 * time.Second
	rollingFrom   = 6 * time.Second
	rollingGap    = 2 * time.Second
	rollingEvery  = 125 * time.Millisecond
	minTakenUp    = 12
)

// modelRoute is the route of streams that may be resumed.
func modelRoute() routeSpec {
	return routeSpec{
		Name: streamRoute, Host: requesterHost, PathPrefix: streamPath, RouteKind: "stream", TimeoutMs: 15000, GoalMs: 500,
		Priority: 0, Service: modelPool, MaxAttempts: 2, Sticky: true, Resumable: true, GapGoalMs: gapGoalMs,
	}
}

// startVersions starts routers, and workers of two software versions side by side. It returns those of the old
// version.
func (ru *run) startVersions() (*fleet, []*worker, error) {
	ru.putManifest([]routeSpec{modelRoute()}, []serviceSpec{engines()})
	old, err := ru.startWorkers("v1", 0, ofEachVersion)
	if err != nil {
		return nil, nil, err
	}
	if _, err = ru.startWorkers("v2", 0, ofEachVersion); err != nil {
		return nil, nil, err
	}
	fl, err := startFleet(ru.dir, ru.sto, ru.rec, 4)
	if err != nil {
		return nil, nil, err
	}
	if err = fl.awaitReady(20 * time.Second); err != nil {
		fl.stop()
		return nil, nil, err
	}
	time.Sleep(contact + readyInterval)
	return fl, old, nil
}

// playVersions plays the second half of a release: the last workers of the old software version are replaced one
// after the other. While streams that they began are still running, all routers are killed. The requesters take
// their streams up again.
func playVersions(ru *run) (int, error) {
	fl, old, err := ru.startVersions()
	if err != nil {
		return failed, err
	}
	defer fl.stop()
	streams, group := ru.startStreams(fl, "begun", onePause)
	time.Sleep(time.Second)
	for ix, wo := range old {
		if _, err = ru.startWorkers("v2", ofEachVersion+ix, 1); err != nil {
			return failed, err
		}
		wo.drain()
		go wo.leaveAfter(drainTime)
		time.Sleep(releaseGap)
	}
	time.Sleep(drainTime)
	if ru.trouble {
		fl.killAll()
	}
	group.Wait()
	mixed, whole := 0, 0
	for _, ts := range streams {
		ru.rec.add("stream %s: %d events of %v, whole %t, attempts %d", ts.name, len(ts.events), ts.versions(), ts.whole, ts.attempts)
		if len(ts.versions()) > 1 {
			mixed++
		}
		if ts.whole {
			whole++
		}
	}
	ru.rec.add("%d of %d streams hold events of two versions, %d are whole; the rule allows %d", mixed, streamCount, whole, maxMixed)
	if mixed > maxMixed {
		return broken, nil
	}
	return held, nil
}

// playTakenUp kills all routers while workers of two software versions serve side by side. The requesters take
// their streams up again, at intervals.
func playTakenUp(ru *run) (int, error) {
	fl, _, err := ru.startVersions()
	if err != nil {
		return failed, err
	}
	defer fl.stop()
	streams, group := ru.startStreams(fl, "begun", longPause)
	time.Sleep(2 * time.Second)
	if ru.trouble {
		fl.killAll()
	}
	time.Sleep(restartDelay + contact + readyInterval)
	fresh, freshGroup := ru.startStreams(fl, "fresh", longPause)
	group.Wait()
	freshGroup.Wait()
	takenUp, wentOn, begun := 0, 0, 0
	for _, ts := range streams {
		ru.rec.add("stream %s: %d events of %v, whole %t, attempts %d; taken up in touch %t, went on %t", ts.name, len(ts.events), ts.versions(), ts.whole, ts.attempts, ts.takenUp, ts.wentOn)
		if ts.takenUp {
			takenUp++
		}
		if ts.takenUp && ts.wentOn {
			wentOn++
		}
	}
	for _, ts := range fresh {
		if len(ts.events) > 0 {
			begun++
		}
	}
	return ru.judgeTakenUp(takenUp, wentOn, len(fresh), begun), nil
}

// playRolling stops and starts the routers in turn while workers of two software versions serve side by side. The
// requesters take streams up again that a router breaks off when it stops.
func playRolling(ru *run) (int, error) {
	fl, _, err := ru.startVersions()
	if err != nil {
		return failed, err
	}
	defer fl.stop()
	var mu sync.Mutex
	var streams []*takenStream
	var group sync.WaitGroup
	end := time.Now().Add(rollingPlayed)
	time.AfterFunc(rollingFrom, func() {
		if ru.trouble {
			fl.roll(rollingGap)
		}
	})
	for number := 0; time.Now().Before(end); number++ {
		ts := &takenStream{name: fmt.Sprintf("r%03d", number), number: number, fl: fl, rec: ru.rec, pause: onePause}
		mu.Lock()
		streams = append(streams, ts)
		mu.Unlock()
		group.Go(ts.play)
		time.Sleep(rollingEvery)
	}
	group.Wait()
	var fresh, begun, takenUp, wentOn int
	for _, ts := range streams {
		ru.rec.add("stream %s: %d events of %v, whole %t, attempts %d; began in touch %t; taken up in touch %t, went on %t",
			ts.name, len(ts.events), ts.versions(), ts.whole, ts.attempts, ts.beganInTouch, ts.takenUp, ts.wentOn)
		if ts.beganInTouch {
			fresh++
			begun += min(1, len(ts.events))
		}
		if ts.takenUp {
			takenUp++
		}
		if ts.takenUp && ts.wentOn {
			wentOn++
		}
	}
	return ru.judgeTakenUp(takenUp, wentOn, fresh, begun), nil
}

// playPlanned stops and starts the routers in turn, and meanwhile takes the workers of the old software version
// away. These never report that they drain: their entries are removed, and they go on serving.
func playPlanned(ru *run) (int, error) {
	fl, old, err := ru.startVersions()
	if err != nil {
		return failed, err
	}
	defer fl.stop()
	var mu sync.Mutex
	var streams []*takenStream
	var group sync.WaitGroup
	end := time.Now().Add(rollingPlayed)
	time.AfterFunc(rollingFrom, func() {
		if ru.trouble {
			fl.roll(rollingGap)
		}
	})
	for ix, wo := range old {
		time.AfterFunc(rollingFrom+removedAfter+time.Duration(ix)*releaseGap, wo.removeEntry)
	}
	for number := 0; time.Now().Before(end); number++ {
		ts := &takenStream{name: fmt.Sprintf("p%03d", number), number: number, fl: fl, rec: ru.rec, pause: onePause}
		mu.Lock()
		streams = append(streams, ts)
		mu.Unlock()
		group.Go(ts.play)
		time.Sleep(rollingEvery)
	}
	group.Wait()
	mixed := 0
	for _, ts := range streams {
		ru.rec.add("stream %s: %d events of %v, whole %t, attempts %d", ts.name, len(ts.events), ts.versions(), ts.whole, ts.attempts)
		if len(ts.versions()) > 1 {
			mixed++
		}
	}
	ru.rec.add("%d of %d streams hold events of two versions; the rule allows %d", mixed, len(streams), maxMixed)
	if mixed > maxMixed {
		return broken, nil
	}
	return held, nil
}

// removeEntry takes a worker away that never reports that it drains.
func (wo *worker) removeEntry() {
	wo.sto.remove(names.ServersPrefix + wo.id)
	wo.rec.add("the entry of worker %s is removed; it goes on serving", wo.id)
}

// judgeTakenUp compares the share of streams that went on with that of new streams that began.
func (ru *run) judgeTakenUp(takenUp, wentOn, fresh, begun int) int {
	ru.rec.add("%d streams were taken up at machines in touch, %d of them went on; %d of %d new streams began; the rule asks for half of that share from %d streams on",
		takenUp, wentOn, begun, fresh, minTakenUp)
	if takenUp >= minTakenUp && 2*wentOn*fresh < begun*takenUp {
		return broken
	}
	return held
}

// startWorkers starts model workers of a software version.
func (ru *run) startWorkers(version string, from, count int) ([]*worker, error) {
	var all []*worker
	for ix := range count {
		wo := &worker{
			id: fmt.Sprintf("i-%s-%d", version, from+ix), service: modelPool, zone: zones[(from+ix)%len(zones)], version: version, slots: workerSlots,
			serve: serveStream(streamEvents, eventInterval), sto: ru.sto, rec: ru.rec,
		}
		if err := wo.start(workerHost); err != nil {
			return nil, err
		}
		all = append(all, wo)
	}
	return all, nil
}

// leaveAfter ends a draining worker once it has served that long and has no work left.
func (wo *worker) leaveAfter(served time.Duration) {
	time.Sleep(served)
	for wo.atWork() > 0 {
		time.Sleep(20 * time.Millisecond)
	}
	wo.leave()
}

// startStreams sends requests for streams. The group waits for their ends.
func (ru *run) startStreams(fl *fleet, kind string, pause time.Duration) ([]*takenStream, *sync.WaitGroup) {
	streams, group := make([]*takenStream, streamCount), new(sync.WaitGroup)
	for ix := range streams {
		streams[ix] = &takenStream{name: fmt.Sprintf("%s%02d", kind, ix), number: ix, fl: fl, rec: ru.rec, pause: pause}
		group.Go(streams[ix].play)
		time.Sleep(20 * time.Millisecond)
	}
	return streams, group
}

// takenStream is a stream that its requester takes up again, at any router, when it breaks off.
type takenStream struct {
	name   string
	number int
	fl     *fleet
	rec    *record
	// pause is how long the requester waits before it tries again, unless it is told a longer time.
	pause time.Duration

	events   []event
	attempts int
	whole    bool
	// beganInTouch is set if the first attempt was made at a router in touch.
	beganInTouch bool
	// takenUp is set once the stream was taken up at a router in touch, wentOn once it went on then.
	takenUp, wentOn bool
}

// play sends the request, and sends it again until the stream is whole or its deadline has passed.
func (ts *takenStream) play() {
	began, lastEvent, firstID, sent := time.Now(), time.Now(), "", 0
	for left := streamDeadline; left > 0 && !ts.whole && sent <= maxRetries && time.Since(lastEvent) < longestGap; left = streamDeadline - time.Since(began) {
		ro := ts.fl.pick(ts.number + ts.attempts)
		ts.attempts++
		rq := modelRequest(fmt.Sprintf("9c41%s%02d%02d", ts.name[:1], ts.number, ts.attempts), "prompt "+ts.name, ts.number)
		rq.deadline = left
		before, inTouch := len(ts.events), ro.inTouch(time.Now())
		if before > 0 {
			rq.header["Last-Event-Id"] = strconv.Itoa(ts.events[before-1].id)
			rq.header["Resumes"] = firstID
		}
		an := rq.send(ro.front(), func(ev event) { ts.events, lastEvent = append(ts.events, ev), time.Now() })
		if before == 0 && len(ts.events) > 0 {
			firstID = rq.id
		}
		ts.whole = an.whole && an.status == http.StatusOK
		if !an.sentAt.IsZero() {
			sent++
			ts.rec.add("stream %s, attempt %d at %s (in touch %t): sent with Last-Event-Id %q, got %d, %d events, whole %t %s", ts.name, ts.attempts, ro.name,
				inTouch, rq.header["Last-Event-Id"], an.status, len(an.events), an.whole, an.body)
			if ts.attempts == 1 {
				ts.beganInTouch = inTouch
			}
			if before > 0 && inTouch {
				ts.takenUp, ts.wentOn = true, ts.wentOn || len(an.events) > 0
			}
		}
		if !ts.whole {
			time.Sleep(max(ts.pause, an.retryAfter(0)))
		}
	}
}

// modelRequest is a request for a stream. Its prompt has two parts that others share.
func modelRequest(id, body string, number int) *request {
	return &request{
		id: id, method: http.MethodPost, path: streamPath + "2f", key: tenantKey, body: body, deadline: streamDeadline, header: map[string]string{
			names.Model: "m", names.Tokens: "760,200",
			names.Prefix: fmt.Sprintf("5c1e07a2:119,91bd%04x:580,e440%02x:61", number%7, number),
		},
	}
}

// versions returns the software versions whose events the requester has got.
func (ts *takenStream) versions() []string {
	var all []string
	for _, ev := range ts.events {
		if version := ev.data[:2]; len(all) == 0 || all[len(all)-1] != version {
			all = append(all, version)
		}
	}
	return all
}
