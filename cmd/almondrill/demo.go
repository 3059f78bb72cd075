package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"almondrill/io/demo"
	"almondrill/io/logs"
)

type demoCommand struct {
	requests int
	seed     uint64
	level    string
	addr     string
}

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run a small fleet on loopback addresses" }

func (*demoCommand) Usage() string {
	return `demo [-requests N] [-seed S] [-addr IP:PORT] [-log LEVEL]
  Runs 3 routers, 12 agents with fake engines, 3 agents with fake services, a fake
  key-value service and a fake VM list, in 3 zones, in one process. It prints a curl
  command to try and runs until SIGINT or SIGTERM. With -requests it sends that many
  mixed requests instead, prints a report as a line of JSON, and exits with 0 only if
  every request succeeded and no guarantee was violated.
`
}

func (dc *demoCommand) SetFlags(fs *flag.FlagSet) {
	fs.IntVar(&dc.requests, "requests", 0, "send this many requests, print a report and exit")
	fs.Uint64Var(&dc.seed, "seed", 1, "random seed of the requests")
	fs.StringVar(&dc.addr, "addr", "127.0.0.1:8080", "the first router's address for callers")
	fs.StringVar(&dc.level, "log", "warn", "log level: debug, info, warn or error")
}

func (dc *demoCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() > 0 || dc.requests < 0 {
		return usageError(fs, "takes no arguments; -requests must not be negative")
	}
	fl := &demo.Fleet{Logs: logs.New(os.Stderr, dc.level), CallersAddr: dc.addr}
	if dc.requests > 0 {
		fl.CallersAddr = ""
	}
	if err := fl.Start(ctx); err != nil {
		return fail(err)
	}
	if dc.requests == 0 {
		return serveUntilSignal(fl)
	}
	rep := fl.Drive(ctx, demo.Workload{Requests: dc.requests, Seed: dc.seed})
	if err := fl.Stop(); err != nil {
		return fail(err)
	}
	line, _ := json.Marshal(rep)
	fmt.Println(string(line))
	if !rep.Passed() {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func serveUntilSignal(fl *demo.Fleet) subcommands.ExitStatus {
	fmt.Printf(`The fleet is up. Try:

curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"%s","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Hello"}]}'

For the operators' commands: -router %s -key %s

Press Ctrl-C to stop.
`, fl.RouterAddrs()[0], demo.Key, demo.Model, fl.OperatorsAddr(), demo.OperatorKey)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	<-stop
	if err := fl.Stop(); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}
