package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"almondrill/core/place"
	"almondrill/core/route"
	"almondrill/io/fakes/local"
)

// shutdown is how a scripted endpoint ends, which has sent a part of its answers and takes no more connections.
type shutdown struct {
	name string
	// closesIdle is set if it closes idle connections with its listener.
	closesIdle bool
	// killed is set if its process ends before its answers do.
	killed bool
	// answers are in progress, the last of which ends later than the others.
	answers int
	// cut is how many of them callers must not get as whole.
	cut int
}

// leavingServer is an endpoint that shuts down while it sends answers without framing.
type leavingServer struct {
	li    net.Listener
	begun sync.WaitGroup // until each answer has begun
	end   chan struct{}  // closed when the answers may end

	mu    sync.Mutex // guards all below
	conns map[net.Conn]bool
	ended int // answers
}

// serve serves a connection, and more of them while the listener is open.
func (ls *leavingServer) serve(fl *fleet, media, start, rest string, sh shutdown) {
	for {
		co, err := ls.li.Accept()
		if err != nil {
			return
		}
		ls.mu.Lock()
		ls.conns[co] = false
		ls.mu.Unlock()
		go func() {
			defer co.Close()
			se, sent := <-fl.readRequests(0, co)
			if !sent {
				return
			}
			ls.mu.Lock()
			ls.conns[co] = true
			ls.mu.Unlock()
			byClose.write(se, co, http.StatusOK, media, start, false)
			ls.begun.Done()
			<-ls.end
			if sh.killed {
				return
			}
			ls.mu.Lock()
			ls.ended++
			last := ls.ended == sh.answers
			ls.mu.Unlock()
			if last {
				time.Sleep(600 * time.Millisecond)
			}
			_, _ = io.WriteString(co, rest)
		}()
	}
}

// shutDown closes the listener, and ends the answers a while later.
func (ls *leavingServer) shutDown(sh shutdown) {
	ls.begun.Wait()
	time.Sleep(150 * time.Millisecond) // the router connects beside the answers meanwhile
	_ = ls.li.Close()
	closeConns := func(all bool) {
		ls.mu.Lock()
		defer ls.mu.Unlock()
		for co, busy := range ls.conns {
			if all || !busy {
				_ = co.Close()
			}
		}
	}
	if sh.closesIdle {
		closeConns(false)
	}
	time.Sleep(100 * time.Millisecond)
	if sh.killed {
		closeConns(true)
	}
	close(ls.end)
}

// Guards against whole answers that are broken off because their endpoint has stopped listening, as it does before it
// ends its last answers, and against parts of answers that are taken for whole because it was killed then.
func TestUnframedAnswersOfAnEndpointThatShutsDown(t *testing.T) {
	long := strings.Repeat("x", 2<<20)
	for _, sh := range []shutdown{
		{name: "keeps idle connections", answers: 1},
		{name: "keeps idle connections", answers: 4},
		{name: "closes idle connections", closesIdle: true, answers: 4, cut: 1}, // the end of the last one looks like a kill
		{name: "is killed", killed: true, answers: 1, cut: 1},
		{name: "is killed", killed: true, answers: 4, cut: 4},
		{name: "closes idle connections and is killed", closesIdle: true, killed: true, answers: 4, cut: 4},
	} {
		for _, ca := range []struct {
			name, media, start, rest string
			ro                       route.Route
		}{
			{"stream", eventStream, eventText(1, 3), eventText(4, 6), stream},
			{"plain", "text/plain", "half", "whole", route.Route{Kind: route.OnceOnly}},
			{"long", "text/plain", long, "whole", route.Route{Kind: route.OnceOnly}},
		} {
			t.Run(fmt.Sprintf("%s, %d, %s", sh.name, sh.answers, ca.name), func(t *testing.T) {
				t.Parallel()
				fl := newFleet(t).configure(ca.ro)
				ls := &leavingServer{li: local.Listen(t), end: make(chan struct{}), conns: map[net.Conn]bool{}}
				ls.begun.Add(sh.answers)
				fl.re.Placer.Register(time.Now(), place.Endpoint{ID: "e0", Addr: ls.li.Addr().String(), Pool: "pool", Zone: "a", Slots: 8})
				go ls.serve(fl, ca.media, ca.start, ca.rest, sh)
				go ls.shutDown(sh)
				var cut atomic.Int64
				var callers sync.WaitGroup
				for range sh.answers {
					callers.Go(func() {
						rs, body, err := fl.send("POST", "/r/x", "")
						switch {
						case err != nil || rs.StatusCode != http.StatusOK:
							cut.Add(1)
						case body != ca.start+ca.rest:
							t.Errorf("got %d bytes as a whole answer, want %d", len(body), len(ca.start+ca.rest))
						}
					})
				}
				callers.Wait()
				if int(cut.Load()) != sh.cut {
					t.Errorf("%d of %d answers were cut, want %d", cut.Load(), sh.answers, sh.cut)
				}
			})
		}
	}
}

// Guards against a whole answer that is lost because its endpoint stopped listening before the answer began, so that no
// connection could be made beside it any more.
func TestUnframedAnswerThatBeginsAfterItsEndpointStoppedListening(t *testing.T) {
	fl := newFleet(t).configure(route.Route{Kind: route.OnceOnly})
	li := local.Listen(t)
	fl.re.Placer.Register(time.Now(), place.Endpoint{ID: "e0", Addr: li.Addr().String(), Pool: "pool", Zone: "a", Slots: 8})
	var requests atomic.Int64
	go func() {
		for {
			co, err := li.Accept()
			if err != nil {
				return
			}
			go func() {
				defer co.Close()
				se, sent := <-fl.readRequests(0, co)
				if !sent {
					return
				}
				if requests.Add(1) == 2 {
					time.Sleep(100 * time.Millisecond)
					_ = li.Close()
					time.Sleep(100 * time.Millisecond)
				}
				byClose.write(se, co, http.StatusOK, "text/plain", "whole", false)
			}()
		}
	}()
	for range 2 {
		if rs, body, err := fl.send("POST", "/r/x", ""); err != nil || rs.StatusCode != http.StatusOK || body != "whole" {
			t.Errorf("got %q, error %v", body, err)
		}
		fl.re.Conns.CloseIdle(li.Addr().String())
	}
}
