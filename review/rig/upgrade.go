package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const upgradeConfig = `{"Version":7,"Routes":[{"Name":"chat","Host":"case.example","PathPrefix":"/chat/","RouteKind":"stream","TimeoutMs":10000,"GoalMs":600,"Priority":1,"Service":"chat-pool","MaxAttempts":2,"Public":false,"Sticky":false,"Resumable":true,"GapGoalMs":300}],
"Services":[{"Name":"chat-pool","HealthPath":"/healthz","MaxConns":310,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","ApiKeys":["` + apiKey + `"],"Priority":1}]}`

const (
	upgradeWorkers = 4
	upgradeRouters = 6
	// chatDeadline is how long a requester waits for the whole stream.
	chatDeadline = 10 * time.Second
	// A stream has chatEvents, one each chatPause. A new one begins each chatEvery.
	chatEvents = 40
	chatPause  = 80 * time.Millisecond
	chatEvery  = 50 * time.Millisecond
	// crashes are how many workers crash, one crashEvery after the other, and crashDown is how long each is down.
	crashes    = 3
	crashEvery = 2400 * time.Millisecond
	crashDown  = 500 * time.Millisecond
	// storeAway is how long the store does not answer.
	storeAway = 8 * time.Second
	// mixedStreams is how many streams may hold events of two versions.
	mixedStreams = 2
)

// upgrade has workers crash one after the other. Each starts again under its id, with the next version of its
// software. The store does not answer meanwhile.
func upgrade(sc *scene) (bool, error) {
	model := &worker{version: "v1", slots: 48, run: runChat, keepsID: true}
	workers, err := sc.startWorkers("chat-pool", upgradeWorkers, model)
	if err != nil {
		return false, err
	}
	if err = sc.startRouters(upgradeConfig, upgradeRouters); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	ended := make(chan struct{})
	var streams []*chat
	go func() {
		defer close(ended)
		streams = sc.sendChats(14 * time.Second)
	}()
	time.Sleep(2 * time.Second)
	if sc.trouble {
		sc.log("the store does not answer")
		sc.store.pause(true)
		time.AfterFunc(storeAway, func() {
			sc.store.pause(false)
			sc.log("the store answers again")
		})
	}
	time.Sleep(time.Second)
	for _, wo := range workers[:crashes] {
		next := time.Now().Add(crashEvery)
		wo.crash()
		time.Sleep(crashDown)
		wo.setVersion("v2")
		if err = wo.start(); err != nil {
			return false, err
		}
		time.Sleep(time.Until(next))
	}
	<-ended
	mixed, whole := 0, 0
	for _, ch := range streams {
		sc.log("stream %s, %d events, whole: %t:%s", ch.first, ch.last, ch.whole, ch.seen)
		if len(ch.versions) > 1 {
			mixed++
			sc.log("stream %s holds events of two versions", ch.first)
		}
		if ch.whole {
			whole++
		}
	}
	sc.log("%d streams, %d of them whole; %d hold events of two versions, %d may", len(streams), whole, mixed, mixedStreams)
	return mixed > mixedStreams, nil
}

// runChat sends the events of a stream, after the last one that the requester has.
func runChat(wo *worker, wr http.ResponseWriter, rq *http.Request) {
	version := wo.currentVersion()
	last, _ := strconv.Atoi(rq.Header.Get("Last-Event-Id"))
	wr.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(wr)
	for number := last + 1; number <= chatEvents; number++ {
		if !work(rq.Context(), chatPause) {
			return
		}
		if _, err := fmt.Fprintf(wr, "id: %d\ndata: %s of %s\n\n", number, version, wo.currentID()); err != nil {
			return
		}
		_ = control.Flush()
	}
}

// chat is a stream of a requester, over its tries.
type chat struct {
	first    string
	versions map[string]bool
	seen     string
	last     int
	whole    bool
	// deadline is when the whole stream is due, and until when the requester closes its channel.
	deadline, until time.Time
}

// sendChats begins streams until the time is over, and waits for their ends.
func (sc *scene) sendChats(lasts time.Duration) []*chat {
	var all []*chat
	var running sync.WaitGroup
	for until := time.Now().Add(lasts); time.Now().Before(until); time.Sleep(chatEvery) {
		ch := &chat{first: requestID(), versions: map[string]bool{}}
		all = append(all, ch)
		ro := sc.routers[len(all)%len(sc.routers)]
		running.Go(func() {
			err := ch.try(ro.front, ch.first)
			if err == nil {
				return
			}
			sc.log("stream %s broke off after event %d: %v", ch.first, ch.last, err)
			if err = ch.try(ro.front, requestID()); err != nil {
				sc.log("stream %s was not continued: %v", ch.first, err)
			}
		})
	}
	running.Wait()
	return all
}

// try sends the request, or takes the stream up after its last event.
func (ch *chat) try(addr, id string) error {
	co, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err
	}
	defer co.Close()
	if ch.deadline.IsZero() {
		ch.deadline = time.Now().Add(chatDeadline)
	}
	_ = co.SetDeadline(ch.deadline)
	if !ch.until.IsZero() {
		_ = co.SetDeadline(ch.until)
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "POST /chat/2f HTTP/1.1\r\nHost: case.example\r\n%sContent-Length: 4\r\n", requestHeader(id, time.Until(ch.deadline)))
	if ch.last > 0 {
		fmt.Fprintf(&out, "Last-Event-Id: %d\r\nResumes: %s\r\n", ch.last, ch.first)
	}
	out.WriteString("\r\nchat")
	if _, err = co.Write(out.Bytes()); err != nil {
		return err
	}
	rs, err := http.ReadResponse(bufio.NewReader(co), &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", rs.StatusCode)
	}
	lines := bufio.NewScanner(rs.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			number, _ := strconv.Atoi(value)
			if number != ch.last+1 {
				return fmt.Errorf("event %d follows event %d", number, ch.last)
			}
			ch.last = number
		case "data":
			version, _, _ := strings.Cut(value, " ")
			if !ch.versions[version] {
				ch.seen += fmt.Sprintf(" event %d: %s;", ch.last, value)
			}
			ch.versions[version] = true
		}
	}
	if err = lines.Err(); err != nil {
		return err
	}
	if ch.whole = ch.last == chatEvents; !ch.whole {
		return fmt.Errorf("ended after event %d", ch.last)
	}
	return nil
}
