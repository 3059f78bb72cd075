package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"google.golang.org/grpc"

	"almondrill/core"
	"almondrill/io/clock"
	"almondrill/io/fakes/engine"
	"almondrill/io/fakes/kvsrv"
	"almondrill/io/fakes/plain"
	"almondrill/io/fakes/vmlist"
	"almondrill/io/fakes/wstore"
	"almondrill/io/kvrpc"
	"almondrill/io/vmnet"
)

type standinCommand struct {
	addr            string
	model           string
	tokenTime       time.Duration
	perRequest      time.Duration
	prefillTime     time.Duration
	cacheTokens     int
	lag             time.Duration
	writesPerSecond int
	readsPerSecond  int
	file            string
	version         string
	loadTime        time.Duration
	weights         string
	maxFetches      int
	checksFence     bool
}

func (*standinCommand) Name() string     { return "standin" }
func (*standinCommand) Synopsis() string { return "run a fake of an external system" }

func (*standinCommand) Usage() string {
	return `standin [flags] engine|service|kv|vms|weights
  Runs one fake at -addr until SIGTERM or SIGINT: of a model engine, a plain service,
  the platform's key-value service, its list of VMs, or its rate-limited weight store.
  The list is read from -file, a JSON array of VMs with the fields ID, Addr, Zone,
  Region, Role and Pools; send SIGHUP to read it again.
`
}

func (sc *standinCommand) SetFlags(fs *flag.FlagSet) {
	fs.StringVar(&sc.addr, "addr", "127.0.0.1:0", "address to listen on")
	fs.StringVar(&sc.model, "model", "demo-model", "engine: model name")
	fs.DurationVar(&sc.tokenTime, "token", 10*time.Millisecond, "engine: time per token; service: time per call")
	fs.DurationVar(&sc.perRequest, "per-request", 0, "engine: time per token added for each further running request")
	fs.DurationVar(&sc.prefillTime, "prefill", 0, "engine: prefill time per uncached prompt token")
	fs.IntVar(&sc.cacheTokens, "cache", 100_000, "engine: cache capacity in tokens")
	fs.DurationVar(&sc.lag, "lag", time.Second, "engine: age of its load report; vms: delay of changes")
	fs.IntVar(&sc.writesPerSecond, "writes", 300, "kv: limit of writes per second")
	fs.IntVar(&sc.readsPerSecond, "reads", 2000, "kv: limit of reads per second")
	fs.StringVar(&sc.file, "file", "", "vms: JSON file with the list")
	fs.StringVar(&sc.version, "version", "", "engine: model version at the start")
	fs.DurationVar(&sc.loadTime, "load", time.Second, "engine: time of a load; weights: time of a fetch")
	fs.StringVar(&sc.weights, "weights", "", "engine: URL of the weight store that loads fetch from")
	fs.BoolVar(&sc.checksFence, "checks-fence", false, "engine: refuse orders with an old fencing number")
	fs.IntVar(&sc.maxFetches, "at-once", 2, "weights: limit of concurrent fetches; further ones are refused")
}

func (sc *standinCommand) Execute(_ context.Context, fs *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if fs.NArg() != 1 {
		return usageError(fs, "exactly one of engine, service, kv, vms, weights is required")
	}
	li, err := net.Listen("tcp", sc.addr)
	if err != nil {
		return fail(err)
	}
	var stop func()
	switch kind := fs.Arg(0); kind {
	case "engine":
		en := &engine.Engine{
			Clock: clock.Wall{}, Model: sc.model, TokenEvery: sc.tokenTime, PerRequest: sc.perRequest,
			PrefillEvery: sc.prefillTime, CacheTokens: sc.cacheTokens, ReportLag: sc.lag,
			Version: sc.version, LoadTime: sc.loadTime, Weights: sc.weights, ChecksFence: sc.checksFence,
		}
		stop = serveHTTP(li, en.Handler())
	case "service":
		stop = serveHTTP(li, &plain.Service{Clock: clock.Wall{}, Takes: sc.tokenTime})
	case "kv":
		server := grpc.NewServer()
		kvrpc.Serve(server, &kvsrv.Store{
			Clock: clock.Wall{}, Rand: clock.NewRand(clock.RandomSeed()), WritesPerSecond: sc.writesPerSecond, ReadsPerSecond: sc.readsPerSecond,
		})
		go func() { _ = server.Serve(li) }()
		stop = server.Stop
	case "weights":
		stop = serveHTTP(li, (&wstore.Store{Clock: clock.Wall{}, FetchTime: sc.loadTime, MaxFetches: sc.maxFetches}).Handler())
	case "vms":
		list := &vmlist.List{Clock: clock.Wall{}, Lag: sc.lag}
		if err = sc.readList(list); err != nil {
			return fail(err)
		}
		go sc.reloadOnHangup(list)
		stop = serveHTTP(li, vmnet.Handler(list))
	default:
		_ = li.Close()
		return usageError(fs, "unknown fake: "+kind)
	}
	fmt.Println("listening on", li.Addr())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	stop()
	return subcommands.ExitSuccess
}

func serveHTTP(li net.Listener, handler http.Handler) func() {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(li) }()
	return func() { _ = server.Close() }
}

func (sc *standinCommand) readList(list *vmlist.List) error {
	data, err := os.ReadFile(sc.file)
	if err != nil {
		return fmt.Errorf("read the list of VMs: %w", err)
	}
	var vms []core.VM
	if err = json.Unmarshal(data, &vms); err != nil {
		return fmt.Errorf("read the list of VMs %s: %w", sc.file, err)
	}
	list.Set(vms...)
	return nil
}

func (sc *standinCommand) reloadOnHangup(list *vmlist.List) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	for range hangups {
		if err := sc.readList(list); err != nil {
			fmt.Fprintln(os.Stderr, "almondrill:", err)
		}
	}
}
