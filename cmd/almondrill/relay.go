package main

import (
	"context"
	"flag"
	"os"
	"runtime/debug"
	"time"

	"github.com/google/subcommands"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"almondrill/io/conf"
	"almondrill/io/entry"
	"almondrill/io/logs"
	"almondrill/io/stats"
	"almondrill/platform"
)

// relayCommand runs a router that calls endpoints itself, without agents.
type relayCommand struct {
	settingsFile string
}

func (*relayCommand) Name() string     { return "relay" }
func (*relayCommand) Synopsis() string { return "run a router without agents on the users' platform" }

func (*relayCommand) Usage() string {
	return `relay [-settings FILE]
  Runs a router that calls endpoints itself until SIGTERM or SIGINT, then shuts down
  gracefully. Without -settings, the platform's environment names FILE. It is described
  in docs/SETTINGS.md; check it with: almondrill check -role relay FILE
`
}

func (rc *relayCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&rc.settingsFile, "settings", "", "YAML file with the settings of the process")
}

const (
	// heapFraction is the fraction of MemoryMB that the Go runtime may use. The rest is for the
	// system's buffers and the program itself.
	heapFraction = 0.6
	// gcPercent is lower than Go's default of 100: routers are shorter of memory than of processor
	// time, so the heap is collected earlier. A router's heap is a few megabytes, so that a collection
	// is cheap; below 25 its processor time rises faster than its memory falls.
	gcPercent = 25
	// logTimeout bounds the time to write the last log lines at exit.
	logTimeout = 100 * time.Millisecond
)

func (rc *relayCommand) Execute(ctx context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if rc.settingsFile == "" {
		rc.settingsFile = platform.SettingsFile()
	}
	if rc.settingsFile == "" || fs.NArg() > 0 {
		return usageError(fs, "-settings FILE is required unless the platform names one, and no arguments")
	}
	se, err := rc.readSettings()
	if err != nil {
		return fail(err)
	}
	debug.SetGCPercent(gcPercent)
	if se.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapFraction * float64(se.MemoryMB) * (1 << 20)))
	}
	level, err := zapcore.ParseLevel(se.LogLevel)
	if err != nil {
		return fail(err)
	}
	set := stats.New()
	ring := logs.NewAsyncWriter(os.Stdout)
	defer ring.Close(logTimeout)
	pr := &entry.Process{
		Settings: se, Platform: &platform.Platform{Store: platform.Store{Addr: se.KVAddr}},
		Logs:    logs.NewJSON(ring, level, func() { set.Add(stats.LogLinesSampled, 1) }).With(zap.String("VM", string(se.Name))),
		Dropped: ring.Dropped, Reload: rc.readSettings, Stats: set,
	}
	if err = pr.Run(ctx); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func (rc *relayCommand) readSettings() (*conf.RelaySettings, error) {
	data, err := os.ReadFile(rc.settingsFile)
	if err != nil {
		return nil, err
	}
	se, err := conf.ReadRelaySettings(rc.settingsFile, data)
	if err == nil && se.MaxDescriptors == 0 {
		se.MaxDescriptors = platform.MaxDescriptors()
	}
	return se, err
}
