package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const strayConfig = `{"Version":7,"Routes":[{"Name":"pay","Host":"case.example","PathPrefix":"/pay/","RouteKind":"non_idempotent","TimeoutMs":4000,"GoalMs":300,"Priority":1,"Service":"pay-app","MaxAttempts":1,"Public":false,"Sticky":false,"Resumable":false,"GapGoalMs":0}],
"Services":[{"Name":"pay-app","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
"Tenants":[{"Name":"hule930","ApiKeys":["` + apiKey + `"],"Priority":1}]}`

const (
	strayWorkers = 4
	// Half of the workers are faulty for a time: after one of strayEvery of their answers, more bytes follow.
	strayFaulty = strayWorkers / 2
	strayEvery  = 50
	strayFrom   = 5 * time.Second
	strayUntil  = 10 * time.Second
	strayWork   = 15 * time.Millisecond
	strayLasts  = 15 * time.Second
	strayUsers  = 8
	strayPause  = 30 * time.Millisecond
)

// strayBytes follow a complete answer and belong to no request: a rejection, as the examples of messages show it.
var strayBytes = "HTTP/1.1 503 Service Unavailable\r\n" + names.NotRun + ": 1\r\nContent-Length: 0\r\n\r\n"

// payments are what workers have run.
type payments struct {
	mu  sync.Mutex // guards all below
	ran map[string]string
	// from and until are when the faulty workers are at fault.
	from, until time.Time
	// answers and followed count the answers of each worker, and those that more bytes followed.
	answers, followed map[string]int
}

// stray has faulty workers send more bytes after a complete answer, when that to the channel's next request is
// expected.
func stray(sc *scene) (bool, error) {
	pa := &payments{ran: map[string]string{}, answers: map[string]int{}, followed: map[string]int{}}
	for ix := range strayWorkers {
		if err := sc.startPayWorker(pa, ix); err != nil {
			return false, err
		}
	}
	if err := sc.startRouters(strayConfig, 2); err != nil {
		return false, err
	}
	time.Sleep(contact)
	pa.mu.Lock()
	pa.from, pa.until = time.Now().Add(strayFrom), time.Now().Add(strayUntil)
	pa.mu.Unlock()
	var mu sync.Mutex
	sent, refused, broken := 0, 0, 0
	var users sync.WaitGroup
	until := time.Now().Add(strayLasts)
	for user := range strayUsers {
		users.Go(func() {
			for number := user; time.Now().Before(until); number++ {
				an := send(sc.routers[number%len(sc.routers)].front, http.MethodPost, "/pay/2f", []byte("pay"), 4*time.Second)
				time.Sleep(strayPause)
				pa.mu.Lock()
				by, ran := pa.ran[an.id]
				pa.mu.Unlock()
				if !ran {
					by = "nowhere"
				}
				sc.log("request %s, run at %s: %s", an.id, by, an)
				mu.Lock()
				sent++
				if an.err == nil && an.status == http.StatusServiceUnavailable {
					refused++
					if ran {
						broken++
						sc.log("request %s has run and was refused", an.id)
					}
				}
				mu.Unlock()
			}
		})
	}
	users.Wait()
	pa.mu.Lock()
	defer pa.mu.Unlock()
	for id, answers := range pa.answers {
		sc.log("worker %s gave %d answers in the time of the fault, more bytes followed %d of them", id, answers, pa.followed[id])
	}
	sc.log("%d requests sent, %d refused with 503, %d of these had run", sent, refused, broken)
	return broken > 0, nil
}

// startPayWorker starts a worker that writes its answers itself.
func (sc *scene) startPayWorker(pa *payments, ix int) error {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	id := fmt.Sprintf("i-%08x", 0x7f000000+ix)
	sc.store.set(names.ServersPrefix+id, registration("pay-app", li.Addr().String(), sc.fleet.zone, "v1", "ready", 6, time.Now().UnixMilli()))
	sc.log("worker %s starts at %s; faulty: %t", id, li.Addr(), sc.trouble && ix < strayFaulty)
	go func() {
		for {
			co, err := li.Accept()
			if err != nil {
				return
			}
			go sc.servePay(pa, co, id, sc.trouble && ix < strayFaulty)
		}
	}()
	return nil
}

// servePay answers the requests on a channel.
func (sc *scene) servePay(pa *payments, co net.Conn, id string, faulty bool) {
	defer co.Close()
	rd := bufio.NewReader(co)
	more := ""
	for {
		rq, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, rq.Body)
		_, _ = io.WriteString(co, more)
		more = ""
		if _, err = io.WriteString(co, pa.answer(rq, id)); err != nil {
			return
		}
		if pa.isFollowed(id, faulty) {
			more = strayBytes
		}
	}
}

// answer runs a request and returns its answer.
func (pa *payments) answer(rq *http.Request, id string) string {
	request := rq.Header.Get(names.RequestID)
	if expected := rq.Header.Get(names.Expect); expected != id {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names.RequestID, request, names.Instance, id)
	}
	pa.mu.Lock()
	pa.ran[request] = id
	pa.mu.Unlock()
	time.Sleep(strayWork)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: 4\r\n\r\npaid", answerHeader(id, request))
}

// isFollowed counts an answer of a worker, and reports whether more bytes follow it.
func (pa *payments) isFollowed(id string, may bool) bool {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	now := time.Now()
	if now.Before(pa.from) || now.After(pa.until) {
		return false
	}
	pa.answers[id]++
	if !may || (pa.followed[id]+1)*strayEvery > pa.answers[id] {
		return false
	}
	pa.followed[id]++
	return true
}
