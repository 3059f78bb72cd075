package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"
	yaml "go.yaml.in/yaml/v3"

	"almondrill/core/decl"
	"almondrill/io/conf"
	"almondrill/io/oper"
	"almondrill/io/opsrpc"
)

// Exit codes of operators' commands in addition to success (0), failure (1) and wrong usage (2).
const (
	exitChanges   subcommands.ExitStatus = 3 // plan: something would change
	exitConflict  subcommands.ExitStatus = 4 // another change was accepted first
	exitUncertain subcommands.ExitStatus = 5 // unknown whether the change was accepted
	exitBehind    subcommands.ExitStatus = 6 // status: a process has an older revision, or an endpoint is not as declared
)

const operatorTimeout = 15 * time.Second

// operatorFlags are the flags that all operators' commands share.
type operatorFlags struct {
	router string
	key    string
	asJSON bool
}

func (of *operatorFlags) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&of.router, "router", "127.0.0.1:8081", "PeersAddr of any router")
	fs.StringVar(&of.key, "key", os.Getenv("ALMONDRILL_KEY"), "operator's key; default is $ALMONDRILL_KEY")
	fs.BoolVar(&of.asJSON, "json", false, "print JSON")
}

// call runs fn with a client that is connected to the router.
func (of *operatorFlags) call(ctx context.Context, fn func(context.Context, opsrpc.OperatorsClient) error) subcommands.ExitStatus {
	client, closeConn, err := oper.Dial(of.router, of.key)
	if err != nil {
		return fail(err)
	}
	defer func() { _ = closeConn() }()
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if err = fn(ctx, client); err != nil {
		return failRPC(of.router, err)
	}
	return subcommands.ExitSuccess
}

func failRPC(router string, err error) subcommands.ExitStatus {
	fa := oper.FailureOf(err)
	if fa.Peer == "" {
		fa.Peer = router
	}
	fmt.Fprintf(os.Stderr, "almondrill: %s (step %s, peer %s): %s\n", fa.Reason, fa.Step, fa.Peer, fa.Text)
	switch fa.Reason {
	case "Conflict":
		return exitConflict
	case "Uncertain", "DeadlineExceeded":
		return exitUncertain
	}
	return subcommands.ExitFailure
}

// print prints value as JSON with -json, and calls printText otherwise.
func (of *operatorFlags) print(value any, printText func()) {
	if !of.asJSON {
		printText()
		return
	}
	text, _ := json.MarshalIndent(value, "", "  ")
	fmt.Println(string(text))
}

func readDocument(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	doc, err := conf.ReadDeclarations(file, data)
	if err != nil {
		return nil, err
	}
	return json.Marshal(doc)
}

type planCommand struct{ operatorFlags }

func (*planCommand) Name() string     { return "plan" }
func (*planCommand) Synopsis() string { return "show what a declarations file would change" }
func (*planCommand) Usage() string {
	return `plan [-router IP:PORT] [-key KEY] [-json] FILE
  Shows what applying FILE would change, and the revision to pass to apply -planned.
  Exits with 0 if nothing would change, 3 if something would, 1 if FILE is invalid or
  the router fails to answer.
`
}

func (pc *planCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 1 {
		return usageError(fs, "exactly one FILE is needed")
	}
	doc, err := readDocument(fs.Arg(0))
	if err != nil {
		return fail(err)
	}
	changed := false
	code := pc.call(ctx, func(ctx context.Context, client opsrpc.OperatorsClient) error {
		re, err := client.Plan(ctx, &opsrpc.PlanCall{Document: doc})
		if err != nil {
			return err
		}
		changed = len(re.Changes) > 0
		pc.print(struct {
			Revision uint64
			Changes  []string
		}{re.Revision, re.Changes}, func() {
			for _, line := range re.Changes {
				fmt.Println(line)
			}
			fmt.Printf("%d changes on revision %d; to apply: almondrill apply -planned %d %s\n",
				len(re.Changes), re.Revision, re.Revision, fs.Arg(0))
		})
		return nil
	})
	if code == subcommands.ExitSuccess && changed {
		return exitChanges
	}
	return code
}

type applyCommand struct {
	operatorFlags
	planned uint64
	source  string
	id      string
}

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "apply a declarations file" }
func (*applyCommand) Usage() string {
	return `apply -planned REVISION [-source COMMIT] [-id ID] [flags] FILE
  Applies FILE atomically as the next revision after REVISION. Applying the same change
  again returns the same result. Exits with 0 if it was accepted, 4 if another change was
  accepted first (plan again), 5 if it is unknown whether it was accepted (run the same
  command again), 1 if it was not accepted.
`
}

func (ac *applyCommand) SetFlags(fs *flag.FlagSet) {
	ac.operatorFlags.SetFlags(fs)
	fs.Uint64Var(&ac.planned, "planned", 0, "revision that plan printed; 0 for the first configuration")
	fs.StringVar(&ac.source, "source", "", "commit id of the declarations, recorded in the history")
	fs.StringVar(&ac.id, "id", "", "id of the change; derived from its content by default")
}

func (ac *applyCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 1 {
		return usageError(fs, "exactly one FILE is needed")
	}
	doc, err := readDocument(fs.Arg(0))
	if err != nil {
		return fail(err)
	}
	if ac.id == "" {
		ac.id = changeID(doc, ac.planned, ac.source)
	}
	return ac.apply(ctx, &opsrpc.ApplyCall{Document: doc, Planned: ac.planned, ID: ac.id, Source: ac.source})
}

// changeID derives the default id of a change from its content. A job that runs again after a lost
// reply thus sends the same id and gets the outcome of the first attempt.
func changeID(doc []byte, planned uint64, source string) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d\n%s\n%s", planned, source, doc))
	return hex.EncodeToString(sum[:8])
}

func (of *operatorFlags) apply(ctx context.Context, in *opsrpc.ApplyCall) subcommands.ExitStatus {
	return of.call(ctx, func(ctx context.Context, client opsrpc.OperatorsClient) error {
		re, err := client.Apply(ctx, in)
		if err != nil {
			return err
		}
		of.print(struct {
			Revision uint64
			ID       string
			Changes  []string
		}{re.Revision, in.ID, re.Changes}, func() {
			fmt.Printf("accepted as revision %d (change %s)\n", re.Revision, in.ID)
		})
		return nil
	})
}

type rollbackCommand struct {
	operatorFlags
	planned uint64
	to      uint64
}

func (*rollbackCommand) Name() string     { return "rollback" }
func (*rollbackCommand) Synopsis() string { return "apply an earlier revision again" }

func (*rollbackCommand) Usage() string {
	return `rollback -to REVISION -planned REVISION [flags]
  Applies the content of an earlier revision as a new revision. -planned is the
  revision that status or plan printed. Exit codes are those of apply.
`
}

func (rc *rollbackCommand) SetFlags(fs *flag.FlagSet) {
	rc.operatorFlags.SetFlags(fs)
	fs.Uint64Var(&rc.to, "to", 0, "earlier revision to restore")
	fs.Uint64Var(&rc.planned, "planned", 0, "newest revision")
}

func (rc *rollbackCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() > 0 || rc.to == 0 || rc.planned == 0 {
		return usageError(fs, "-to and -planned are required, and no arguments")
	}
	note := fmt.Sprintf("rollback to %d", rc.to)
	return rc.apply(ctx, &opsrpc.ApplyCall{
		Planned: rc.planned, Rollback: rc.to, Note: note, ID: changeID([]byte(note), rc.planned, ""),
	})
}

type getCommand struct {
	operatorFlags
	revision uint64
}

func (*getCommand) Name() string     { return "get" }
func (*getCommand) Synopsis() string { return "print the declarations in force" }
func (*getCommand) Usage() string {
	return `get [-revision REVISION] [flags]
  Prints the declarations in force, or those of an earlier revision, as YAML.
`
}

func (gc *getCommand) SetFlags(fs *flag.FlagSet) {
	gc.operatorFlags.SetFlags(fs)
	fs.Uint64Var(&gc.revision, "revision", 0, "an earlier revision; 0 means the one in force")
}

func (gc *getCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() > 0 {
		return usageError(fs, "takes no arguments")
	}
	return gc.call(ctx, func(ctx context.Context, client opsrpc.OperatorsClient) error {
		re, err := client.Get(ctx, &opsrpc.GetCall{Revision: gc.revision})
		if err != nil {
			return err
		}
		var doc decl.Document
		if err = json.Unmarshal(re.Document, &doc); err != nil {
			return err
		}
		gc.print(doc, func() {
			text, _ := yaml.Marshal(doc)
			fmt.Printf("# revision %d\n%s", re.Revision, text)
		})
		return nil
	})
}

type historyCommand struct {
	operatorFlags
	limit int
}

func (*historyCommand) Name() string     { return "history" }
func (*historyCommand) Synopsis() string { return "list accepted changes" }
func (*historyCommand) Usage() string {
	return `history [-most N] [flags]
  Lists accepted changes, newest first: revision, time, operator, source commit, note
  and what changed.
`
}

func (hc *historyCommand) SetFlags(fs *flag.FlagSet) {
	hc.operatorFlags.SetFlags(fs)
	fs.IntVar(&hc.limit, "most", 20, "largest number of changes to list")
}

func (hc *historyCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() > 0 || hc.limit < 1 {
		return usageError(fs, "takes no arguments; -most must be at least 1")
	}
	return hc.call(ctx, func(ctx context.Context, client opsrpc.OperatorsClient) error {
		re, err := client.History(ctx, &opsrpc.HistoryCall{Most: int32(hc.limit)})
		if err != nil {
			return err
		}
		hc.print(re.Changes, func() {
			for _, ch := range re.Changes {
				at := time.UnixMilli(ch.AtUnixMillis).UTC().Format(time.RFC3339)
				fmt.Printf("%d  %s  %s  %s  %s  %v\n", ch.Revision, at, ch.Author, ch.Source, ch.Note, ch.Lines)
			}
		})
		return nil
	})
}
