package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/subcommands"

	"almondrill/io/trace"
)

// explainCommand prints from router logs what happened to a request, to an endpoint, or in a time
// span.
type explainCommand struct {
	request  string
	endpoint string
	from, to string
	asJSON   bool
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "show from router logs what happened to a request" }

func (*explainCommand) Usage() string {
	return `explain [-request ID | -endpoint ID | -from TIME -to TIME] [-json] [FILE...]
  Reads the logs of one or several routers from files or standard input and prints, in
  order of time, the lines about a request, with its router's view of the endpoints; about
  an endpoint; or of a time span, with times such as 2026-01-31T15:04:05Z. Exits with 1
  if it finds none.
`
}

func (ec *explainCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&ec.request, "request", "", "the id of a request")
	fs.StringVar(&ec.endpoint, "endpoint", "", "the id of an endpoint")
	fs.StringVar(&ec.from, "from", "", "the start of a time span")
	fs.StringVar(&ec.to, "to", "", "the end of the time span")
	fs.BoolVar(&ec.asJSON, "json", false, "print the lines as JSON")
}

func (ec *explainCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	pick, subject := ec.selector()
	if pick == nil {
		return usageError(fs, subject)
	}
	rd, err := inputs(fs.Args())
	if err != nil {
		return fail(err)
	}
	lines, skipped, err := trace.Read(rd)
	if err != nil {
		return fail(err)
	}
	found := pick(lines)
	for _, li := range found {
		if err = ec.print(li); err != nil {
			return fail(err)
		}
	}
	if skipped.NoLog > 0 {
		fmt.Fprintf(os.Stderr, "almondrill: skipped %d lines that are not log lines\n", skipped.NoLog)
	}
	if len(found) == 0 {
		fmt.Fprintf(os.Stderr, "almondrill: no lines about %s among %d log lines. Beyond 50 a second, successful requests are only sampled, "+
			"and lines are dropped if the output is slow: see the counters LogLinesSampled and LogLinesDropped.\n", subject, len(lines))
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// selector returns the function that selects the lines to print, and a description of what they are
// about. If the flags are wrong, the function is nil and the string is the problem.
func (ec *explainCommand) selector() (func([]trace.Line) []trace.Line, string) {
	switch {
	case ec.request != "" && ec.endpoint == "" && ec.from == "":
		return func(lines []trace.Line) []trace.Line { return trace.ForRequest(lines, ec.request) }, "request " + ec.request
	case ec.endpoint != "" && ec.request == "" && ec.from == "":
		return func(lines []trace.Line) []trace.Line { return trace.ForEndpoint(lines, ec.endpoint) }, "endpoint " + ec.endpoint
	case ec.from != "" && ec.request == "" && ec.endpoint == "":
		from, err := time.Parse(time.RFC3339, ec.from)
		if err != nil {
			return nil, "-from must be a time such as 2026-01-31T15:04:05Z, not " + ec.from
		}
		to, err := time.Parse(time.RFC3339, ec.to)
		if err != nil {
			return nil, "-to must be a time such as 2026-01-31T15:04:05Z, not " + ec.to
		}
		return func(lines []trace.Line) []trace.Line { return trace.Between(lines, from, to) }, "that time span"
	}
	return nil, "one of -request, -endpoint, or -from and -to is needed"
}

// inputs returns a reader of the files one after the other, or of standard input if there are none.
func inputs(files []string) (io.Reader, error) {
	if len(files) == 0 {
		return os.Stdin, nil
	}
	var all []io.Reader
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		all = append(all, file)
	}
	return io.MultiReader(all...), nil
}

func (ec *explainCommand) print(li trace.Line) error {
	if !ec.asJSON {
		_, err := fmt.Println(li)
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(li)
}
