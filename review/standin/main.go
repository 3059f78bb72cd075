// Standin plays one case of the review: it starts routers as the deploy file says, with stand-ins of the
// platform, of workers and of requesters, on loopback addresses.
//
// # Usage
//
//	target/review/standin CASE RECORD
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. With TROUBLE=0 in
// the environment it plays the case without its disruption.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit statuses.
const (
	held   = 0
	broken = 1
	failed = 2
)

// record is the case's record.txt.
type record struct {
	began time.Time

	mu  sync.Mutex // guards out
	out *os.File
}

// add adds a line with the time since the begin.
func (rec *record) add(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.out, "%8.3f s  %s\n", time.Since(rec.began).Seconds(), fmt.Sprintf(format, args...))
}

// run is what a case has to work with.
type run struct {
	rec     *record
	dir     string
	sto     *store
	trouble bool
}

var cases = map[string]func(ru *run) (int, error){
	"forgotten": playForgotten,
	"parts":     playParts,
	"planned":   playPlanned,
	"rolling":   playRolling,
	"slow":      playSlow,
	"spot":      playSpot,
	"takenup":   playTakenUp,
	"unframed":  playUnframed,
	"versions":  playVersions,
}

func main() {
	os.Exit(play())
}

func play() int {
	if len(os.Args) == 4 && os.Args[1] == workerCommand {
		return serveWorker(os.Args[2], os.Args[3])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return failed
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer out.Close()
	ru := &run{rec: &record{began: time.Now(), out: out}, trouble: os.Getenv("TROUBLE") != "0"}
	if ru.dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer os.RemoveAll(ru.dir)
	if ru.sto, err = startStore(storeHost + ":0"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	ru.rec.add("trouble: %t", ru.trouble)
	status, err := cases[os.Args[1]](ru)
	if err != nil {
		ru.rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	verdict := "the rule held"
	if status == broken {
		verdict = "the rule was broken"
	}
	ru.rec.add("%s", verdict)
	fmt.Println(verdict)
	return status
}
