// Package node assembles a router or agent process from its components and runs it as a kratos
// application.
//
// # Concepts
//
// A Process first opens its listeners (Listen), so that its addresses are known, and then runs until
// Stop or a signal. It shuts down in this order: it announces that it is draining, waits until no
// new work arrives, waits for work in progress, and closes its listeners and connections.
//
// # Invariants
//
//   - The control loops run until the last request has ended.
//   - The callers' port never serves handlers that are registered on http.DefaultServeMux, such as
//     the expvar page.
//
// # Usage
//
//	pr := &node.Process{Role: core.RoleRouter, Settings: se, Logs: logs, Signals: true}
//	err := pr.Run(ctx)
package node

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/agent"
	"almondrill/core/board"
	"almondrill/core/bucket"
	"almondrill/core/decl"
	"almondrill/core/order"
	"almondrill/core/retry"
	"almondrill/core/revlog"
	"almondrill/core/router"
	"almondrill/core/syncer"
	"almondrill/io/accept"
	"almondrill/io/back"
	"almondrill/io/clock"
	"almondrill/io/conf"
	"almondrill/io/deny"
	"almondrill/io/kvrpc"
	"almondrill/io/logs"
	"almondrill/io/rpc"
	"almondrill/io/stats"
	"almondrill/io/vmnet"
)

// Process is one router or agent. Set the exported fields before Listen or Run.
type Process struct {
	Role     core.Role
	Settings *conf.Settings
	Logs     *logs.Logs
	// Seed is the seed of the process's random numbers. 0 means a random seed.
	Seed uint64
	// Signals enables graceful shutdown on SIGTERM, SIGINT and SIGQUIT.
	Signals bool

	Stats *stats.Set

	incarnation     core.Incarnation
	clock           clock.Wall
	rand            *clock.Rand
	kv              *kvrpc.Client
	board           *board.Board
	configLog       *revlog.Log
	syncer          *syncer.Syncer
	controlBucket   *bucket.Bucket
	peers           *rpc.Client
	server          *rpc.Server
	router          *router.Router
	agent           *agent.Agent
	orderExecutor   *order.Executor   // agents only
	orderController *order.Controller // routers only
	crashTracker    *deny.Tracker     // routers only
	pollers         []*back.Poller
	app             *kratos.App
	logger          *zap.Logger
	listeners       listeners
	accounts        *accept.Accounts
	// ownDescriptors is how many descriptors are for the process's own work.
	ownDescriptors int
	peerConns      *accept.Listener
	draining       atomic.Bool
}

type listeners struct{ peers, callers, admin net.Listener }

// PeersAddr returns the address for peers. It is valid after Listen, as are CallersAddr and AdminAddr.
func (pr *Process) PeersAddr() string { return pr.listeners.peers.Addr().String() }

// CallersAddr returns the address for callers. Only routers have one.
func (pr *Process) CallersAddr() string { return pr.listeners.callers.Addr().String() }

// AdminAddr returns the address of the health checks and counters.
func (pr *Process) AdminAddr() string { return pr.listeners.admin.Addr().String() }

// Agent returns the agent, nil on a router.
func (pr *Process) Agent() *agent.Agent { return pr.agent }

// Board returns the process's board.
func (pr *Process) Board() *board.Board { return pr.board }

// Revision returns the configuration revision in force in this process.
func (pr *Process) Revision() core.Revision { return pr.configLog.Revision() }

// ControlBytes returns the size of all control messages that the process has sent.
func (pr *Process) ControlBytes() core.Bytes { return pr.controlBucket.Sent() }

// Listen opens the listeners at the addresses in the settings.
func (pr *Process) Listen() error {
	var err error
	se := pr.Settings
	if pr.listeners.peers, err = listen("PeersAddr", se.PeersAddr); err != nil {
		return err
	}
	if pr.listeners.admin, err = listen("AdminAddr", se.AdminAddr); err != nil {
		return err
	}
	if pr.Role == core.RoleRouter {
		pr.listeners.callers, err = listen("CallersAddr", se.CallersAddr)
	}
	return err
}

func listen(key, addr string) (net.Listener, error) {
	li, err := accept.Listen(addr)
	if err != nil {
		return nil, oops.In("listen").With("setting", key).With("peer", addr).Wrap(err)
	}
	return li, nil
}

// Run runs the process until Stop is called, a signal arrives or an error occurs.
func (pr *Process) Run(ctx context.Context) error {
	if pr.listeners.peers == nil {
		if err := pr.Listen(); err != nil {
			return err
		}
	}
	if err := pr.Build(); err != nil {
		return err
	}
	control, cancel := context.WithCancel(ctx)
	defer cancel()
	pr.startControl(control)
	pr.logger.Info("Started.", zap.String("Name", string(pr.Settings.Name)), zap.String("Peers", pr.PeersAddr()))
	err := pr.app.Run()
	pr.peers.Close()
	_ = pr.kv.Close()
	pr.logger.Info("Stopped.", zap.String("Name", string(pr.Settings.Name)))
	return err
}

// Stop shuts down gracefully. Run returns when the shutdown is complete.
func (pr *Process) Stop() error { return pr.app.Stop() }

// Build creates the components. Run calls it if necessary; call it before Run if another goroutine
// may call Stop at any time.
func (pr *Process) Build() error {
	if pr.app != nil {
		return nil
	}
	se := pr.Settings
	se.Defaults()
	if pr.Stats == nil {
		pr.Stats = stats.New()
	}
	if pr.Seed == 0 {
		pr.Seed = clock.RandomSeed()
	}
	pr.rand = clock.NewRand(pr.Seed)
	pr.incarnation = core.Incarnation(pr.rand.Uint64() | 1)
	pr.logger = pr.Logs.Part(string(pr.Role))
	pr.buildAccounts()
	var err error
	if pr.kv, err = kvrpc.Dial(se.KVAddr); err != nil {
		return err
	}
	pr.controlBucket = &bucket.Bucket{Clock: pr.clock, PerSecond: se.ControlBytesPerSecond}
	pr.board = &board.Board{Clock: pr.clock, Rand: pr.rand, Self: pr.self(), OlderConfig: pr.olderConfigRefused}
	pr.board.Init()
	pr.peers = &rpc.Client{MaxConns: pr.maxPeerConns(), Addr: func(vm core.VMID) string {
		return pr.board.Snapshot().Addrs[vm]
	}}
	pr.buildConfig()
	pr.buildRole()
	pr.registerStats()
	pr.buildApp()
	return nil
}

func (pr *Process) self() core.VM {
	se := pr.Settings
	return core.VM{ID: se.Name, Zone: se.Zone, Region: se.Region, Role: pr.Role}
}

// buildConfig creates the configuration log and the syncer that keeps it up to date.
func (pr *Process) buildConfig() {
	pr.configLog = &revlog.Log{KV: pr.kv, Clock: pr.clock, Rand: pr.rand, Adopt: pr.configAdopted, Behind: pr.storeBehind}
	pr.syncer = &syncer.Syncer{
		Log: pr.configLog, Board: pr.board, Peers: pr.peers, Clock: pr.clock, Rand: pr.rand,
		Digest: pr.digest, AllowSend: pr.controlBucket.Allow, Failed: pr.logFailure("Polling the configuration failed."),
	}
	pr.syncer.Init()
}

func (pr *Process) buildRole() {
	pr.server = &rpc.Server{
		Listener: pr.peerConns, StatsHandler: pr.peerConns, Exchange: pr.answerDigest, Fetch: pr.configLog.ChangesSince,
		RevisionSeen: pr.syncer.NotePeerRevision, Revision: pr.configLog.Revision, Rejected: pr.messageRejected,
		MaxDeadline: pr.Settings.MaxDeadline, Shortened: pr.deadlineShortened,
	}
	if pr.Role == core.RoleRouter {
		pr.server.Register = pr.registerOperators
		pr.router = &router.Router{
			Clock: pr.clock, Rand: pr.rand, Board: pr.board, Peers: pr.peers, Zone: pr.Settings.Zone,
			Budget:       &retry.Budget{Ratio: pr.Settings.RetryRatio},
			Retried:      pr.Stats.CountRetry,
			Dropped:      func() { pr.Stats.Add(stats.PartsDropped, 1) },
			Exhausted:    func() { pr.Stats.CountRefusal(core.ReasonRetryBudget) },
			RevisionSeen: pr.syncer.NotePeerRevision,
		}
		pr.buildOrderController()
		pr.buildQuarantine()
		return
	}
	pr.buildAgent()
}

// configAdopted delivers a new configuration to the board.
func (pr *Process) configAdopted(cfg *decl.Config) {
	pr.logger.Info("Adopted a configuration.", zap.Uint64("Revision", uint64(cfg.Revision)))
	// The board's goroutine always receives events, so this does not block for long.
	_ = pr.board.Deliver(context.Background(), board.ConfigAdopted{Config: cfg})
	pr.syncer.NoteAdopted()
}

func (pr *Process) olderConfigRefused(offered, inForce core.Revision) {
	pr.Stats.Add(stats.ConfigRevertedRefused, 1)
	pr.logger.Warn("Refused an older configuration.",
		zap.Uint64("Offered", uint64(offered)), zap.Uint64("InForce", uint64(inForce)))
}

func (pr *Process) storeBehind(own core.Revision) {
	pr.Stats.Add(stats.ConfigRevertedRefused, 1)
	pr.logger.Warn("The configuration in the KV is older than the one in force.", zap.Uint64("InForce", uint64(own)))
}

func (pr *Process) logFailure(message string) func(err error) {
	return func(err error) { pr.logger.Warn(message, logs.ErrorFields(err)...) }
}

// digest returns this process's state for peers.
func (pr *Process) digest() *core.Digest {
	if pr.agent != nil {
		return pr.agent.Digest(agent.MaxEntries)
	}
	return &core.Digest{
		From: pr.Settings.Name, Incarnation: pr.incarnation, Draining: pr.draining.Load(), Revision: pr.configLog.Revision(),
	}
}

// answerDigest applies a peer's digest and returns this process's own.
func (pr *Process) answerDigest(di *core.Digest) *core.Digest {
	own := pr.digest()
	if len(di.Loads) == 0 {
		own.Loads = nil
	}
	pr.controlBucket.Spend(agent.DigestSize(own))
	if pr.agent != nil {
		pr.agent.ApplyDigest(di)
	} else {
		pr.board.Post(board.ProcessAnnounced{VM: di.From, Incarnation: di.Incarnation, Draining: di.Draining})
	}
	return own
}

func (pr *Process) startControl(ctx context.Context) {
	lister := &board.Lister{
		Board: pr.board, List: &vmnet.Client{Addr: pr.Settings.VMsAddr},
		Draining: pr.listedDraining, Failed: pr.logFailure("Reading the VM list failed."),
	}
	loops := []func(context.Context) error{pr.board.Run, lister.Run, pr.syncer.Run}
	if pr.agent != nil {
		loops = append(loops, pr.agent.Run)
	} else {
		loops = append(loops, pr.orderController.Run, pr.crashTracker.Run, pr.watchQuarantines)
	}
	for _, po := range pr.pollers {
		loops = append(loops, po.Run)
	}
	for _, loop := range loops {
		go func() { _ = loop(ctx) }()
	}
}

// listedDraining stops accepting work when the VM list marks this VM as draining. The platform stops
// the process later.
func (pr *Process) listedDraining() {
	pr.logger.Info("The VM list marks this VM as draining.")
	pr.draining.Store(true)
	if pr.agent != nil {
		pr.agent.StopAccepting()
	}
}

func (pr *Process) buildApp() {
	servers := []transport.Server{pr.server, pr.adminServer()}
	if pr.Role == core.RoleRouter {
		servers = append(servers, pr.callersServer())
	}
	// Given no signals, kratos would listen for all of them and treat the runtime's own preemption
	// signals as a request to stop.
	signals := []os.Signal{noSignal{}}
	if pr.Signals {
		signals = []os.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT}
	}
	pr.Logs.InstallKratos()
	pr.app = kratos.New(
		kratos.Name("almondrill-"+string(pr.Role)),
		kratos.ID(string(pr.Settings.Name)),
		kratos.Server(servers...),
		kratos.Signal(signals...),
		kratos.StopTimeout(pr.Settings.DrainTimeout),
		kratos.BeforeStop(pr.beforeStop),
	)
}

// noSignal is a signal that is never sent.
type noSignal struct{}

func (noSignal) String() string { return "none" }
func (noSignal) Signal()        {}

// beforeStop waits, before anything is closed, until no new work arrives and, on an agent, until work
// in progress has ended.
func (pr *Process) beforeStop(context.Context) error {
	pr.logger.Info("Leaving.", zap.String("Name", string(pr.Settings.Name)))
	pr.draining.Store(true)
	if pr.agent == nil {
		// The load balancer needs time to poll /readyz and send callers elsewhere.
		return pr.clock.Sleep(context.Background(), pr.Settings.DrainDelay)
	}
	return pr.drainAgent()
}

// httpServer creates a kratos HTTP server. By default kratos passes unknown paths to
// http.DefaultServeMux, on which expvar and other packages register handlers: on the callers' port
// that would expose the counters to anyone.
func (pr *Process) httpServer(li *accept.Listener, handler http.Handler) *kratoshttp.Server {
	srv := kratoshttp.NewServer(
		kratoshttp.Listener(li),
		kratoshttp.Timeout(0),
		kratoshttp.StrictSlash(false),
		kratoshttp.NotFoundHandler(http.NotFoundHandler()),
		kratoshttp.MethodNotAllowedHandler(http.NotFoundHandler()),
	)
	srv.HandlePrefix("/", handler)
	srv.ConnContext = accept.ConnContext
	srv.ReadHeaderTimeout, srv.IdleTimeout = accept.HeaderSentinel, accept.IdleSentinel
	srv.MaxHeaderBytes = math.MaxInt32 // the listener bounds heads
	return srv
}

func (pr *Process) adminServer() transport.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(wr http.ResponseWriter, _ *http.Request) { fmt.Fprintln(wr, "ok") })
	mux.HandleFunc("/readyz", pr.readyz)
	mux.Handle("/debug/vars", pr.Stats.Handler())
	if pr.crashTracker != nil {
		mux.Handle(deny.Path, pr.crashTracker.Handler())
		mux.Handle(deny.Path+"/", pr.crashTracker.Handler())
	}
	srv := pr.httpServer(pr.adminListener(), mux)
	srv.ReadTimeout, srv.WriteTimeout = adminReadTimeout, adminWriteTimeout
	return srv
}

// readyz reports to the load balancer whether to send callers here.
func (pr *Process) readyz(wr http.ResponseWriter, _ *http.Request) {
	switch {
	case pr.draining.Load():
		http.Error(wr, "draining", http.StatusServiceUnavailable)
	case pr.configLog.Revision() == 0:
		http.Error(wr, "no configuration yet", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(wr, "ready")
	}
}
