package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// workerCommand is the first argument of a worker that is a process of its own: then the kernel closes its
// channels when it is killed, as it does for any program.
const workerCommand = "worker"

// processWorker is a worker in a process of its own. Its entry in the store is written for it.
type processWorker struct {
	*worker
	cmd *exec.Cmd
}

// startProcess starts a worker process that answers in the given way.
func (ru *run) startProcess(id, service, zone, way string, slots int) (*processWorker, error) {
	pw := &processWorker{worker: &worker{id: id, service: service, zone: zone, version: "v1", slots: slots, sto: ru.sto, rec: ru.rec, state: "ready"}}
	pw.cmd = exec.Command(os.Args[0], workerCommand, id, way)
	pw.cmd.Stderr = os.Stderr
	pw.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := pw.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err = pw.cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("worker %s says nothing", id)
	}
	pw.addr = lines.Text()
	pw.register()
	ru.rec.add("worker %s (%s at %s) is ready", id, service, pw.addr)
	go func() {
		for lines.Scan() {
			ru.rec.add("worker %s %s", id, lines.Text())
		}
		_ = pw.cmd.Wait()
	}()
	return pw, nil
}

// kill kills the process. The store removes its entry after three heartbeat intervals.
func (pw *processWorker) kill() {
	_ = pw.cmd.Process.Signal(syscall.SIGKILL)
	pw.rec.add("worker %s is killed", pw.id)
	time.AfterFunc(3*heartbeat, func() { pw.sto.remove(names.ServersPrefix + pw.id) })
}

// ways are how worker processes answer: with neither a length nor chunks.
var ways = map[string]func(wo *worker, wr http.ResponseWriter, rq *http.Request){
	"plain":  serveUnframed,
	"stream": serveUnframedStream,
}

// serveWorker is the main function of a worker process.
func serveWorker(id, way string) int {
	wo := &worker{id: id, state: "ready", slots: workerSlots, serve: ways[way], rec: &record{began: time.Now(), out: os.Stdout}}
	if wo.serve == nil {
		return failed
	}
	if err := wo.listen(workerHost); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	fmt.Println(wo.addr)
	select {}
}

const (
	plainSize = 800
	plainWork = 60 * time.Millisecond
	plainEnd  = "-the-end"
	// A stream has so many events, and so much time between them.
	unframedEvents = 60
	unframedGap    = 100 * time.Millisecond
)

// plainBody is the whole body of an answer.
func plainBody(id string) string {
	return id + " " + strings.Repeat("x", plainSize-len(id)-len(plainEnd)-1) + plainEnd
}

// serveUnframed writes the first half of the answer, works, and writes the rest. The answer has neither a length
// nor chunks, and ends with its channel.
func serveUnframed(_ *worker, wr http.ResponseWriter, rq *http.Request) {
	id := rq.Header.Get(names.RequestID)
	fmt.Println("runs", id)
	wr.Header().Set("Transfer-Encoding", "identity") // package http closes the channel at the end, and does not send the field
	wr.Header().Set("Content-Type", "application/octet-stream")
	body := plainBody(id)
	_, _ = wr.Write([]byte(body[:plainSize/2]))
	_ = http.NewResponseController(wr).Flush()
	time.Sleep(plainWork)
	_, _ = wr.Write([]byte(body[plainSize/2:]))
}

// serveUnframedStream writes a stream that ends with its channel.
func serveUnframedStream(wo *worker, wr http.ResponseWriter, rq *http.Request) {
	wr.Header().Set("Transfer-Encoding", "identity")
	serveStream(unframedEvents, unframedGap)(wo, wr, rq)
}
