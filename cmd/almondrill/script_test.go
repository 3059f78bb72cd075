package main_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"almondrill/core/migr"
	"almondrill/core/waitq"
	"almondrill/io/relay"
)

// The scripts in testdata run the built program and check its output and exit codes.
func TestScripts(t *testing.T) {
	dir := t.TempDir()
	if out, err := exec.Command("go", "build", "-o", filepath.Join(dir, "almondrill"), ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	router := httptest.NewServer(http.HandlerFunc(serveWaiting))
	t.Cleanup(router.Close) // the scripts run after this function has returned
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(en *testscript.Env) error {
			en.Setenv("PATH", dir+string(os.PathListSeparator)+en.Getenv("PATH"))
			en.Setenv("ROUTER", router.Listener.Addr().String())
			return nil
		},
	})
}

// serveWaiting serves what waits at a router.
func serveWaiting(wr http.ResponseWriter, rq *http.Request) {
	if rq.URL.Path != relay.WaitingPath {
		http.NotFound(wr, rq)
		return
	}
	_ = json.NewEncoder(wr).Encode(&relay.Waiting{
		Pools: []relay.WaitingPool{{
			Pool: "ledger", Owner: "10.1.0.40:8203", Running: 3, Waiting: 5, Places: 2.5, Limited: "level",
			Level: &relay.WaitingLevel{Places: 30, OfferedPer10s: 9000, CallMs: 32, AgeMs: 140, InForce: true},
			Customers: []relay.WaitingCustomer{{
				Customer: "herb", Rank: 2, Running: 3, Waiting: 5, Admit: 0.25,
				Recent: waitq.Counts{AdmittedAtOnce: 11, AdmittedAfterWait: 12, RefusedByShare: 13, RefusedForTime: 14},
			}},
		}},
		Engines: []relay.EngineSpeed{{Engine: "i-4", Time: 400, SinceMs: 3210}, {Engine: "i-5", Time: 250, SinceMs: 1000, Learned: true}},
		Migrations: &relay.Migrations{
			Streams: 41, Running: 2, ByReason: map[migr.Reason]migr.Counts{migr.Slow: {Begun: 9, Done: 5, Failed: 1, NoTarget: 1}},
		},
	})
}
