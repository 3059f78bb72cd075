package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"almondrill/io/conf"
	"almondrill/platform"
)

type checkCommand struct {
	role   string
	deploy bool
}

func (*checkCommand) Name() string     { return "check" }
func (*checkCommand) Synopsis() string { return "check a settings, declarations or deploy file" }

func (*checkCommand) Usage() string {
	return `check [-role router|agent|relay | -deploy] FILE
  Checks a declarations file; with -role, the settings file of a process of that role;
  with -deploy, the file that defines how the users' platform builds and runs almondrill,
  together with the settings template that it names (run from the repository's root).
  Lists every problem with file and line. Exits with 0 if there is none, 1 otherwise.
`
}

func (cc *checkCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&cc.role, "role", "", "check the settings of a router, agent or relay instead of declarations")
	fs.BoolVar(&cc.deploy, "deploy", false, "check a deploy file of the users' platform and its template")
}

func (cc *checkCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 1 {
		return usageError(fs, "exactly one FILE is needed")
	}
	role, known := roles[cc.role]
	switch {
	case cc.role != "" && cc.deploy:
		return usageError(fs, "-role and -deploy exclude each other")
	case cc.role != "" && !known && cc.role != relayRole:
		return usageError(fs, "-role is router, agent or relay")
	}
	file := fs.Arg(0)
	data, err := os.ReadFile(file)
	if err != nil {
		return fail(err)
	}
	switch {
	case cc.deploy:
		err = platform.CheckDeploy(file, data, os.ReadFile)
	case cc.role == relayRole:
		_, err = conf.ReadRelaySettings(file, data)
	case known:
		_, err = conf.ReadSettings(file, data, role)
	default:
		_, err = conf.ReadDeclarations(file, data)
	}
	if err != nil {
		return fail(err)
	}
	fmt.Println(file + ": right")
	return subcommands.ExitSuccess
}

// relayRole is the -role value for the settings of the relay command.
const relayRole = "relay"
