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

// adminTimeout bounds a call to the router.
const adminTimeout = 5 * time.Second

type quarantineCommand struct {
	router string
	lift   string
}

func (*quarantineCommand) Name() string { return "quarantine" }
func (*quarantineCommand) Synopsis() string {
	return "list or lift quarantines of requests and parts of prompts"
}

func (*quarantineCommand) Usage() string {
	return `quarantine -router ADDR [-lift FINGERPRINT]
  Lists the requests, and the parts of prompts, that the routers of the relay command do not
  send to endpoints because they crash them, or lifts the quarantine of one of them on all
  routers. ADDR is the AdminAddr of any such router. FINGERPRINT is given in full or as log
  lines show it.
  Exits with 0 on success, 1 otherwise.
`
}

func (qc *quarantineCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&qc.router, "router", "", "AdminAddr of a router of the relay command")
	fs.StringVar(&qc.lift, "lift", "", "fingerprint of the request or part whose quarantine to lift")
}

func (qc *quarantineCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if qc.router == "" || fs.NArg() > 0 {
		return usageError(fs, "-router is needed, and no arguments")
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	if qc.lift != "" {
		if _, err := callAdmin(ctx, qc.router, http.MethodDelete, deny.Path+"/"+qc.lift); err != nil {
			return fail(err)
		}
		fmt.Println("lifted", qc.lift)
		return subcommands.ExitSuccess
	}
	data, err := callAdmin(ctx, qc.router, http.MethodGet, deny.Path)
	if err != nil {
		return fail(err)
	}
	var all []deny.Quarantined
	if err = json.Unmarshal(data, &all); err != nil {
		return fail(oops.In("read the response").With("peer", qc.router).Wrap(err))
	}
	for _, qu := range all {
		kind := "request"
		if qu.Part {
			kind = "part"
		}
		fmt.Printf("%s  %s, for %s, %d crashes, %d trials, stored %v\n",
			qu.Fingerprint, kind, (time.Duration(qu.SinceMs) * time.Millisecond).Round(time.Second), qu.Crashes, qu.Trials, qu.Stored)
	}
	fmt.Printf("%d quarantined\n", len(all))
	return subcommands.ExitSuccess
}

// callAdmin sends a request to the router's administration address and returns the body of the
// response.
func callAdmin(ctx context.Context, router, method, path string) ([]byte, error) {
	failed := oops.In("ask the router").With("peer", router)
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+router+path, nil)
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
