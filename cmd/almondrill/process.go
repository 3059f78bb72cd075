package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/google/subcommands"
	"github.com/samber/oops"

	"almondrill/core"
	"almondrill/io/conf"
	"almondrill/io/logs"
	"almondrill/io/node"
)

// processCommand is the router or the agent command.
type processCommand struct {
	role         string
	settingsFile string
}

var roles = map[string]core.Role{"router": core.RoleRouter, "agent": core.RoleAgent}

func (*processCommand) Synopsis() string { return "run the process of a VM with this role" }
func (pc *processCommand) Name() string  { return pc.role }

func (pc *processCommand) Usage() string {
	return fmt.Sprintf(`%s -settings FILE
  Runs a %s until SIGTERM or SIGINT, then shuts down gracefully. FILE is described in
  docs/SETTINGS.md; check it with: almondrill check -role %s FILE
`, pc.role, pc.role, pc.role)
}

func (pc *processCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&pc.settingsFile, "settings", "", "YAML file with the settings of the process")
}

func (pc *processCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if pc.settingsFile == "" || fs.NArg() > 0 {
		return usageError(fs, "-settings FILE is required, and no arguments")
	}
	data, err := os.ReadFile(pc.settingsFile)
	if err != nil {
		return fail(err)
	}
	se, err := conf.ReadSettings(pc.settingsFile, data, roles[pc.role])
	if err != nil {
		return fail(err)
	}
	debug.SetMemoryLimit(int64(heapFraction * float64(se.MemoryMB) * (1 << 20)))
	pr := &node.Process{Role: roles[pc.role], Settings: se, Logs: logs.New(os.Stderr, se.LogLevel), Signals: true}
	if err = pr.Run(ctx); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// usageError prints what is wrong with the command line and returns exit code 2.
func usageError(fs *flag.FlagSet, problem string) subcommands.ExitStatus {
	fmt.Fprintf(os.Stderr, "almondrill %s: %s\nRun: almondrill help %s\n", fs.Name(), problem, fs.Name())
	return subcommands.ExitUsageError
}

// fail prints an error with its step and peer, if it has them, and returns exit code 1.
func fail(err error) subcommands.ExitStatus {
	var oo oops.OopsError
	if errors.As(err, &oo) {
		fmt.Fprintf(os.Stderr, "almondrill: %s %v: %v\n", oo.Domain(), oo.Context()["peer"], err)
		return subcommands.ExitFailure
	}
	fmt.Fprintln(os.Stderr, "almondrill:", err)
	return subcommands.ExitFailure
}
