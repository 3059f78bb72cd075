package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case: requesters read long answers at some ten Mbit/s.
const (
	bigSize       = 2 << 20
	bigWorkers    = 4
	bigReaders    = 16
	readAtOnce    = 4 << 10
	receiveBuffer = 16 << 10
	segmentSize   = 1460
	readPause     = 3 * time.Millisecond
	bigDeadline   = 4 * time.Second
	killAfter     = 300 * time.Millisecond
)

// playSlow kills a router while requesters read slowly. The workers' answers have neither a length nor chunks.
func playSlow(ru *run) (int, error) {
	ru.putManifest([]routeSpec{{
		Name: plainRoute, Host: requesterHost, PathPrefix: plainPath, RouteKind: "idempotent", TimeoutMs: 2000, GoalMs: 300,
		Priority: 2, Service: plainPool, MaxAttempts: 2,
	}}, []serviceSpec{plains()})
	for ix := range bigWorkers {
		wo := &worker{id: fmt.Sprintf("i-%04d", ix+1), service: plainPool, zone: zones[ix%len(zones)], version: "v1", slots: plainSlots, sto: ru.sto, rec: ru.rec, serve: serveBig}
		if err := wo.start(workerHost); err != nil {
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
		time.AfterFunc(killAfter, func() {
			fl.routers[0].signal(syscall.SIGKILL)
			ru.rec.add("router %s is killed", fl.routers[0].name)
		})
	}
	var mu sync.Mutex
	cut, whole := 0, 0
	var group sync.WaitGroup
	for number := range bigReaders {
		group.Go(func() {
			id, ro := fmt.Sprintf("9c41d07be2%06x", number), fl.routers[number%len(fl.routers)]
			got, status, err := readSlowly(ro.front(), id)
			ru.rec.add("request %s at %s got %d and %d of %d bytes, ends as complete: %t, %v", id, ro.name, status, got, bigSize, err == nil, err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && status == http.StatusOK && got < bigSize:
				cut++
			case err == nil && status == http.StatusOK:
				whole++
			}
		})
	}
	group.Wait()
	ru.rec.add("%d of %d answers are whole, %d end as complete too early; the rule allows none", whole, bigReaders, cut)
	if cut > 0 {
		return broken, nil
	}
	return held, nil
}

// serveBig answers with neither a length nor chunks.
func serveBig(wo *worker, wr http.ResponseWriter, rq *http.Request) {
	wo.rec.add("worker %s runs %s", wo.id, rq.Header.Get(names.RequestID))
	wr.Header().Set("Transfer-Encoding", "identity") // package http closes the channel at the end, and does not send the field
	wr.Header().Set("Content-Type", "application/octet-stream")
	_, err := wr.Write(make([]byte, bigSize))
	wo.rec.add("worker %s has answered %s whole: %t", wo.id, rq.Header.Get(names.RequestID), err == nil)
}

// readSlowly returns the length of the answer. The error is nil if it ends as complete.
func readSlowly(front, id string) (got, status int, err error) {
	// The segments of an Ethernet link, and a small receive buffer: on the loopback's own, buffers are far larger.
	di := net.Dialer{Control: func(_, _ string, rc syscall.RawConn) error {
		var failed error
		err := rc.Control(func(fd uintptr) {
			failed = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentSize))
		})
		return errors.Join(err, failed)
	}}
	co, err := di.Dial("tcp", front)
	if err != nil {
		return 0, 0, err
	}
	defer co.Close()
	_, err = fmt.Fprintf(co, "GET %s2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n\r\n",
		plainPath, requesterHost, names.RequestID, id, names.Deadline, bigDeadline.Milliseconds(), names.Credential, tenantKey)
	if err != nil {
		return 0, 0, err
	}
	rs, err := http.ReadResponse(bufio.NewReader(co), nil)
	if err != nil {
		return 0, 0, err
	}
	for buffer := make([]byte, readAtOnce); ; time.Sleep(readPause) {
		count, err := io.ReadFull(rs.Body, buffer)
		got += count
		if err == io.EOF || err == io.ErrUnexpectedEOF && rs.ContentLength < 0 && len(rs.TransferEncoding) == 0 {
			return got, rs.StatusCode, nil
		}
		if err != nil {
			return got, rs.StatusCode, err
		}
	}
}
