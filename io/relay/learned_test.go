package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"almondrill/core/place"
	"almondrill/core/route"
)

// slowWriter is the response to a caller that takes a time to read each event of the first engine.
type slowWriter struct {
	*httptest.ResponseRecorder
	takes time.Duration
	wrote chan struct{}
}

func (sw *slowWriter) Write(data []byte) (int, error) {
	if sw.Header().Get("X-Stamp") == "s0" {
		time.Sleep(sw.takes)
		sw.wrote <- struct{}{}
	}
	return sw.ResponseRecorder.Write(data)
}

// streamWhen streams an event each time that next returns, for a second.
func streamWhen(next func()) script {
	return streamParts(func(co net.Conn, event string) {
		next()
		writeChunk(co, event)
	})
}

// streamParts streams events for a second, each as write sends it.
func streamParts(write func(co net.Conn, event string)) script {
	return func(se *received, co net.Conn) bool {
		writeEvents(se, co, 1, 1)
		for began, id := time.Now(), 2; time.Since(began) < time.Second; id++ {
			write(co, fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id))
		}
		endChunks(co)
		return true
	}
}

// slowEndpoints streams from three engines. The first pauses between events or, if its callers take
// a time to read, until one of them has read, as if the buffers between them were full. It returns
// the engines that seem slow.
func slowEndpoints(t *testing.T, pause, reading time.Duration) []place.SlowEndpoint {
	wrote := make(chan struct{}, 1000)
	usual := func() { time.Sleep(20 * time.Millisecond) }
	first := func() { time.Sleep(pause) }
	if reading > 0 {
		first = func() { <-wrote }
	}
	return slowAmong(t, reading, wrote, streamWhen(first), streamWhen(usual), streamWhen(usual))
}

// slowAmong streams from engines with these scripts and returns those that seem slow.
func slowAmong(t *testing.T, reading time.Duration, wrote chan struct{}, scripts ...script) []place.SlowEndpoint {
	fl := newFleet(t, scripts...)
	ro := stream
	ro.GapGoal = time.Second
	fl.configurePool(ro, route.Pool{ID: "pool", Engine: true})
	var all sync.WaitGroup
	for range 9 {
		all.Go(func() {
			rq := httptest.NewRequest("POST", "http://127.0.0.1/r/x", strings.NewReader("hello"))
			rq.Header = http.Header{"X-Key": {"k"}, "X-Id": {"id-1"}}
			fl.serveCaller(&slowWriter{httptest.NewRecorder(), reading, wrote}, rq)
		})
	}
	all.Wait()
	return fl.re.Placer.SlowEndpoints(time.Now())
}

// Guards against longer pauses of an engine that the router does not pass on to its placer, and
// against a caller that reads slowly making its engine look slow.
func TestPausesOfStreamsAreLearned(t *testing.T) {
	t.Parallel()
	if slow := slowEndpoints(t, 140*time.Millisecond, 0); len(slow) != 1 || slow[0].ID != "e0" || !slow[0].Learned {
		t.Errorf("slow engines: %+v, want e0, learned", slow)
	}
	if slow := slowEndpoints(t, 0, 140*time.Millisecond); len(slow) != 0 {
		t.Errorf("slow engines whose callers read slowly: %+v, want none", slow)
	}
}

// Guards against pauses that are lost because an engine sends an event in parts: the router then reads
// again while it waits for the engine.
func TestPausesWithinEventsAreLearned(t *testing.T) {
	t.Parallel()
	inParts := func(pause time.Duration) script {
		return streamParts(func(co net.Conn, event string) {
			time.Sleep(pause / 2)
			writeChunk(co, event[:4])
			time.Sleep(pause / 2)
			writeChunk(co, event[4:])
		})
	}
	usual := inParts(20 * time.Millisecond)
	slow := slowAmong(t, 0, make(chan struct{}, 1000), inParts(140*time.Millisecond), usual, usual)
	if len(slow) != 1 || slow[0].ID != "e0" || !slow[0].Learned {
		t.Errorf("slow engines: %+v, want e0, learned", slow)
	}
}
