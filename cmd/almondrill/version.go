package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

// version is replaced in release builds.
var version = "development"

type versionCommand struct{}

func (*versionCommand) Name() string     { return "version" }
func (*versionCommand) Synopsis() string { return "print the version" }
func (*versionCommand) Usage() string {
	return "version\n  Prints the version and the Go release it was built with.\n"
}
func (*versionCommand) SetFlags(_ *flag.FlagSet) {}

func (*versionCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() > 0 {
		return usageError(fs, "takes no arguments")
	}
	goVersion := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		goVersion = info.GoVersion
	}
	fmt.Println("almondrill", version, goVersion)
	return subcommands.ExitSuccess
}
