package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"almondrill/core"
	"almondrill/io/opsrpc"
)

type statusCommand struct{ operatorFlags }

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "show the revision of every process" }
func (*statusCommand) Usage() string {
	return `status [flags]
  Shows the revision of every process that the router knows, and the state of the
  engines in pools that declare a Version. Exits with 0 if all processes have the newest
  revision and all engines are as declared, 6 if some are not or do not answer.
`
}

func (sc *statusCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() > 0 {
		return usageError(fs, "takes no arguments")
	}
	behind := 0
	code := sc.call(ctx, func(ctx context.Context, client opsrpc.OperatorsClient) error {
		re, err := client.Status(ctx, &opsrpc.StatusCall{})
		if err != nil {
			return err
		}
		late := 0
		for _, ps := range re.Processes {
			if ps.Revision < re.Newest {
				late++
			}
		}
		changing := 0
		for _, es := range re.Endpoints {
			if !matchesDeclaration(es) {
				changing++
			}
		}
		behind = late + changing
		sc.print(re, func() { printStatus(re, late, changing) })
		return nil
	})
	if code == subcommands.ExitSuccess && behind > 0 {
		return exitBehind
	}
	return code
}

// matchesDeclaration reports whether an endpoint is as declared, so that it needs no order.
func matchesDeclaration(es *opsrpc.EndpointStatus) bool {
	return es.Wanted == "" && es.Phase != string(core.PhaseOrdered) && es.Phase != string(core.PhaseUnreachable)
}

func printStatus(re *opsrpc.StatusReply, behind, changing int) {
	for _, ps := range re.Processes {
		fmt.Printf("%-24s %-8s revision %d %s%s%s\n",
			ps.VM, ps.Role, ps.Revision, lagText(ps.LagMillis), drainingText(ps.Draining), ps.Problem)
	}
	for _, es := range re.Endpoints {
		fmt.Printf("%-24s %-8s %s %s %s%s\n", es.Endpoint, es.Phase, es.Model, es.Version, wantedText(es.Wanted), es.Problem)
	}
	fmt.Printf("newest revision %d; %d of %d processes are behind or do not answer\n", re.Newest, behind, len(re.Processes))
	if len(re.Endpoints) > 0 {
		fmt.Printf("%d of %d endpoints are not yet as declared\n", changing, len(re.Endpoints))
	}
}

func lagText(millis int64) string {
	if millis == 0 {
		return ""
	}
	return fmt.Sprintf("behind for %.1f s ", float64(millis)/1000)
}

func wantedText(wanted string) string {
	if wanted == "" {
		return ""
	}
	return "needs " + wanted + " "
}

func drainingText(draining bool) string {
	if draining {
		return "draining "
	}
	return ""
}
