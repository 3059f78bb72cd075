package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"almondrill/io/conf"
)

type checkCommand struct {
	role string
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings or declarations file" }

func (*checkCommand) Usage() string {
	return `check [-role router|agent|relay] FILE
  Checks declarations, or with -role the settings of such a process, and lists
  everything that is wrong with file and line. Exits with 0 if the file is right,
  1 if not.
`
}

func (cc *checkCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&cc.role, "role", "", "check settings of a router, agent or relay instead of declarations")
}

func (cc *checkCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 1 {
		return usage(fs, "exactly one FILE is needed")
	}
	role, known := roles[cc.role]
	if cc.role != "" && !known && cc.role != relayRole {
		return usage(fs, "-role is router, agent or relay")
	}
	file := fs.Arg(0)
	data, err := os.ReadFile(file)
	if err != nil {
		return failure(err)
	}
	switch {
	case cc.role == relayRole:
		_, err = conf.ReadRelay(file, data)
	case known:
		_, err = conf.ReadSettings(file, data, role)
	default:
		_, err = conf.ReadDeclarations(file, data)
	}
	if err != nil {
		return failure(err)
	}
	fmt.Println(file + ": right")
	return subcommands.ExitSuccess
}

// relayRole names the settings of a router without agents.
const relayRole = "relay"
