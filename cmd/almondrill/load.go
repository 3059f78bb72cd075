package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"almondrill/io/demo"
	"almondrill/io/load"
)

type loadCommand struct {
	plan   load.Plan
	asJSON bool
}

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "send load to a router and report latencies" }

func (*loadCommand) Usage() string {
	return `load [-addr IP:PORT] [-key KEY] [-rate N] [-duration D] [flags]
  Sends chat requests at a fixed rate, whether or not earlier ones have been answered
  (open loop), and prints latencies to the first token, between tokens and of complete
  responses, with counts by outcome and reason. Exits with 0 if every response was
  complete.
`
}

func (lc *loadCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&lc.plan.Addr, "addr", "127.0.0.1:8080", "a router's address for callers, or an engine's")
	fs.StringVar(&lc.plan.Key, "key", demo.Key, "bearer key")
	fs.StringVar(&lc.plan.Model, "model", demo.Model, "model name")
	fs.Float64Var(&lc.plan.Rate, "rate", 100, "requests per second")
	fs.DurationVar(&lc.plan.Duration, "duration", 10*time.Second, "how long to send")
	fs.IntVar(&lc.plan.Chats, "chats", 1000, "largest number of chats that wait for their next turn")
	fs.DurationVar(&lc.plan.Think, "think", time.Second, "mean pause between turns of a chat")
	fs.Uint64Var(&lc.plan.Seed, "seed", 1, "random seed of the requests")
	fs.IntVar(&lc.plan.MaxTokens, "tokens", 16, "largest number of tokens per response")
	fs.Float64Var(&lc.plan.Streamed, "streamed", 0.5, "fraction of requests that are streamed")
	fs.Float64Var(&lc.plan.Once, "once", 0, "fraction of requests with an idempotency key")
	fs.BoolVar(&lc.asJSON, "json", false, "print JSON")
}

func (lc *loadCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() > 0 || lc.plan.Rate <= 0 || lc.plan.Duration <= 0 {
		return usageError(fs, "takes no arguments; -rate and -duration must be above 0")
	}
	rep := load.Run(ctx, lc.plan)
	if lc.asJSON {
		fmt.Println(rep.JSON())
	} else {
		fmt.Print(rep.Table())
	}
	if rep.Outcomes["Whole"] != rep.Sent || rep.Unsent > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
