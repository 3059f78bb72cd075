package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/samber/oops"

	"almondrill/io/deny"
)

// quarantineTimeout bounds a call to a router.
const quarantineTimeout = 5 * time.Second

// quarantineCommand lists and lifts quarantines of requests.
type quarantineCommand struct {
	router string
	lift   string
}

func (*quarantineCommand) Name() string     { return "quarantine" }
func (*quarantineCommand) Synopsis() string { return "list or lift quarantines of requests" }

func (*quarantineCommand) Usage() string {
	return `quarantine -router ADDR [-lift FINGERPRINT]
  Lists the requests that a router without agents does not send to endpoints, as they
  crash them, or lifts the quarantine of one on all routers. ADDR is the router's AdminAddr; any
  router does. FINGERPRINT is whole, or as log lines bear it. Exits with 0 if that was done,
  with 1 if not.
`
}

func (qc *quarantineCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&qc.router, "router", "", "AdminAddr of a router without agents")
	fs.StringVar(&qc.lift, "lift", "", "fingerprint of the request whose quarantine is to end")
}

func (qc *quarantineCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if qc.router == "" || fs.NArg() > 0 {
		return usageError(fs, "-router is needed, and no arguments")
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	if qc.lift != "" {
		if _, err := qc.call(ctx, http.MethodDelete, deny.Path+"/"+qc.lift); err != nil {
			return fail(err)
		}
		fmt.Println("lifted", qc.lift)
		return subcommands.ExitSuccess
	}
	data, err := qc.call(ctx, http.MethodGet, deny.Path)
	if err != nil {
		return fail(err)
	}
	var all []deny.Quarantined
	if err = json.Unmarshal(data, &all); err != nil {
		return fail(oops.In("read the answer").With("peer", qc.router).Wrap(err))
	}
	for _, qu := range all {
		fmt.Printf("%s  for %s, %d crashes, %d trials, stored %v\n",
			qu.Fingerprint, (time.Duration(qu.SinceMs) * time.Millisecond).Round(time.Second), qu.Crashes, qu.Trials, qu.Stored)
	}
	fmt.Printf("%d quarantined\n", len(all))
	return subcommands.ExitSuccess
}

// call asks the router.
func (qc *quarantineCommand) call(ctx context.Context, method, path string) ([]byte, error) {
	failed := oops.In("ask the router").With("peer", qc.router)
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+qc.router+path, nil)
	if err != nil {
		return nil, failed.Wrap(err)
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return nil, failed.Wrap(err)
	}
	defer rs.Body.Close()
	data, err := io.ReadAll(rs.Body)
	if err != nil {
		return nil, failed.Wrap(err)
	}
	if rs.StatusCode != http.StatusOK {
		return nil, failed.Errorf("%s: %s", rs.Status, strings.TrimSpace(string(data)))
	}
	return data, nil
}
