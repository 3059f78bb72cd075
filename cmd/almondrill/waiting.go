package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
	"github.com/samber/oops"

	"almondrill/io/relay"
)

type waitingCommand struct {
	router string
	asJSON bool
}

func (*waitingCommand) Name() string     { return "waiting" }
func (*waitingCommand) Synopsis() string { return "show what waits at a router and what was refused" }

func (*waitingCommand) Usage() string {
	return `waiting -router ADDR [-json]
  Shows, for each plain pool, the calls in progress through one router, the requests that
  wait there, those refused in the last 10 s by rank and customer, and the level by which
  the pool's capacity is divided. For each engine that is not at its usual speed, it shows
  the speed that the router assumes. Where engines copy running streams, it shows how many
  streams migrate and have migrated. ADDR is the AdminAddr of a router of the relay command.
  Exits with 0 on success, 1 otherwise.
`
}

func (wc *waitingCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&wc.router, "router", "", "AdminAddr of a router of the relay command")
	fs.BoolVar(&wc.asJSON, "json", false, "print JSON")
}

func (wc *waitingCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if wc.router == "" || fs.NArg() > 0 {
		return usageError(fs, "-router is needed, and no arguments")
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	data, err := callAdmin(ctx, wc.router, http.MethodGet, relay.WaitingPath)
	if err != nil {
		return fail(err)
	}
	if wc.asJSON {
		_, err = os.Stdout.Write(data)
	} else {
		err = printWaiting(os.Stdout, data)
	}
	if err != nil {
		return fail(oops.In("show the response").With("peer", wc.router).Wrap(err))
	}
	return subcommands.ExitSuccess
}

// printWaiting prints the response of a router as text.
func printWaiting(out io.Writer, data []byte) error {
	var all relay.Waiting
	if err := json.Unmarshal(data, &all); err != nil {
		return err
	}
	for ix := range all.Pools {
		if err := printPool(out, &all.Pools[ix]); err != nil {
			return err
		}
	}
	for _, en := range all.Engines {
		since := (time.Duration(en.SinceMs) * time.Millisecond).Round(100 * time.Millisecond)
		source := ""
		if en.Learned {
			source = ", learned from streams"
		}
		if _, err := fmt.Fprintf(out, "engine %s: %d%% of the usual time, for %s%s\n", en.Engine, en.Time, since, source); err != nil {
			return err
		}
	}
	if err := printMigrations(out, all.Migrations); err != nil {
		return err
	}
	_, err := fmt.Fprintf(out, "%d pools, %d engines not at their usual speed\n", len(all.Pools), len(all.Engines))
	return err
}

// printMigrations prints the migrations of running streams, if engines can copy them.
func printMigrations(out io.Writer, mg *relay.Migrations) error {
	if mg == nil {
		return nil
	}
	if _, err := fmt.Fprintf(out, "streams: %d can migrate, %d migrate now\n", mg.Streams, mg.Running); err != nil {
		return err
	}
	for _, re := range slices.Sorted(maps.Keys(mg.ByReason)) {
		co := mg.ByReason[re]
		if _, err := fmt.Fprintf(out, "  %s: %d planned, %d migrated, %d failed, %d without a target\n", re, co.Begun, co.Done, co.Failed, co.NoTarget); err != nil {
			return err
		}
	}
	return nil
}

func printPool(out io.Writer, wp *relay.WaitingPool) error {
	limit := "not limited"
	if wp.Limited != "" {
		limit = fmt.Sprintf("%.1f places by %s", wp.Places, wp.Limited)
	}
	level := "none"
	if le := wp.Level; le != nil {
		level = fmt.Sprintf("%d places, %d offered per 10 s, %d ms a call, %d ms old", le.Places, le.OfferedPer10s, le.CallMs, le.AgeMs)
		if !le.InForce {
			level += ", expired"
		}
	}
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "pool %s: %d in progress, %d waiting, %s\n  level: %s; owner %s\n", wp.Pool, wp.Running, wp.Waiting, limit, level, wp.Owner)
	if len(wp.Customers) > 0 {
		fmt.Fprintln(tw, "  RANK\tCUSTOMER\tIN PROGRESS\tWAITING\tSENT AT ONCE\tAFTER WAIT\tREFUSED SHARE\tREFUSED TIME\tADMITTED")
	}
	for _, cu := range wp.Customers {
		re := &cu.Recent
		fmt.Fprintf(tw, "  %d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\n", cu.Rank, cu.Customer, cu.Running, cu.Waiting,
			re.AdmittedAtOnce, re.AdmittedAfterWait, re.RefusedByShare, re.RefusedForTime, cu.Admit)
	}
	return tw.Flush() // writes to a tabwriter fail only here
}
