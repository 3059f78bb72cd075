// Command rig plays a case of the review: it starts routers as the deploy file says, with stand-ins for the
// platform's store, the workers and the requesters, and judges what these have seen.
//
// # Usage
//
//	rig CASE DIR   // from the repository's root; writes DIR/record.txt
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves out the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record is the log of a case.
type record struct {
	mu    sync.Mutex // guards out
	out   *os.File
	began time.Time
}

func (re *record) log(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  "+format+"\n", append([]any{time.Since(re.began).Seconds()}, args...)...)
	_, _ = re.out.WriteString(line)
}

// scene is what all cases have in common.
type scene struct {
	*record
	trouble bool
	store   *store
	fleet   *fleet
	routers []*router
}

// cases returns whether the rule was broken.
var cases = map[string]func(sc *scene) (bool, error){
	"leave":   leave,
	"poison":  poison,
	"upgrade": upgrade,
	"rollout": rollout,
	"stray":   stray,
}

func main() {
	broken, err := play()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

func play() (broken bool, err error) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		return false, errors.New("usage: rig CASE DIR")
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		return false, err
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "rig-")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs are in", dir)
	}
	re := &record{out: out, began: time.Now()}
	sc := &scene{record: re, trouble: os.Getenv("TROUBLE") != "0", store: newStore(), fleet: &fleet{re: re, dir: dir, zone: "zone-a", retrySlack: 58}}
	defer sc.stop()
	broken, err = cases[os.Args[1]](sc)
	if err == nil {
		re.log("broken: %t", broken)
	}
	return broken, err
}

// startRouters starts the store, and routers at loopback addresses of their own.
func (sc *scene) startRouters(config string, count int) error {
	for ix := range count {
		sc.fleet.ips = append(sc.fleet.ips, fmt.Sprintf("127.0.0.%d", 11+ix))
	}
	port, err := freePort([]string{"127.0.0.1"})
	if err != nil {
		return err
	}
	sc.fleet.store = fmt.Sprintf("127.0.0.1:%d", port)
	if err = sc.store.serve(sc.fleet.store); err != nil {
		return err
	}
	sc.store.set(names.ConfigKey, []byte(config))
	if sc.fleet.ports, err = freePorts(sc.fleet.ips); err != nil {
		return err
	}
	for ix := range count {
		ro, err := sc.fleet.router(ix)
		if err != nil {
			return err
		}
		if err = ro.start(); err != nil {
			return err
		}
		sc.routers = append(sc.routers, ro)
	}
	return sc.awaitReady()
}

func (sc *scene) awaitReady() error {
	const timeout = 10 * time.Second
	for _, ro := range sc.routers {
		if err := ro.awaitReady(timeout); err != nil {
			return err
		}
	}
	return nil
}

// startWorkers starts workers of a service at free loopback addresses.
func (sc *scene) startWorkers(service string, count int, model *worker) ([]*worker, error) {
	var all []*worker
	for range count {
		port, err := freePort([]string{"127.0.0.1"})
		if err != nil {
			return nil, err
		}
		wo := &worker{
			re: sc.record, st: sc.store, service: service, addr: fmt.Sprintf("127.0.0.1:%d", port), zone: sc.fleet.zone,
			version: model.version, slots: model.slots, run: model.run, keepsID: model.keepsID,
		}
		if err = wo.start(); err != nil {
			return nil, err
		}
		all = append(all, wo)
	}
	return all, nil
}

// stop ends the processes that were started.
func (sc *scene) stop() {
	for _, ro := range sc.routers {
		_ = ro.command.Process.Signal(syscall.SIGKILL)
		<-ro.exited
	}
}
