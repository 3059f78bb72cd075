// Package entry assembles and runs a router that sends requests to endpoints itself, without
// agents in between.
//
// # Concepts
//
// A Process serves callers on one address and the load balancer's health checks on another,
// watches the platform's store, and exchanges updates with its peers. All that differs between
// platforms is provided by a Platform.
//
// # Invariants
//
//   - The process reports itself ready only while it has a configuration and endpoints, and is
//     not shutting down.
//   - On a request to stop, it first reports itself not ready, then closes the callers' address,
//     then gives requests in progress until DrainTimeout to finish.
//   - A configuration is replaced only by one of a higher version.
//
// # Usage
//
//	pr := &entry.Process{Settings: se, Platform: pf, Logs: lo}
//	err := pr.Run(ctx)
package entry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/samber/oops"
	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/builds"
	"almondrill/core/ledger"
	"almondrill/core/migr"
	"almondrill/core/mirror"
	"almondrill/core/place"
	"almondrill/core/retry"
	"almondrill/core/route"
	"almondrill/io/accept"
	"almondrill/io/clock"
	"almondrill/io/conf"
	"almondrill/io/conns"
	"almondrill/io/deny"
	"almondrill/io/gossip"
	"almondrill/io/logs"
	"almondrill/io/relay"
	"almondrill/io/stats"
	"almondrill/io/watch"
)

// Platform is what a router needs of the platform that it runs on.
type Platform interface {
	core.ChangeFeed
	core.QuarantineStore
	core.SuspectStore
	core.BuildStore
	core.EraStore
	core.StreamStore
	// Decode converts an item of the store to a *route.Document, place.Endpoint, Deregistration,
	// InvalidRegistration, Evacuation, PeerAddr, core.Quarantine, QuarantineRemoval, core.BuildRecord,
	// BuildRemoval, LastingEra, []core.SuspectRun or core.StreamBatch. It returns nil for an item that does not concern routers.
	Decode(it core.Item) (any, error)
	Dialect() relay.Dialect
	// Outranks reports whether an item of the store is newer than another of the same key by its
	// content, whatever their versions in the store.
	Outranks(it, other core.Item) bool
	// ReadyPath is the path of the load balancer's health check.
	ReadyPath() string
	// Announce keeps this router's peer address in the store until ctx ends.
	Announce(ctx context.Context, self core.VMID, addr string, log *zap.Logger)
}

// LastingEra reports that an era of the store is marked: it is the first one, or has lasted for long.
type LastingEra core.Era

// Deregistration reports that an endpoint's registration was removed.
type Deregistration struct{ ID core.EndpointID }

// InvalidRegistration reports that an endpoint has a registration that cannot be used, and why.
type InvalidRegistration struct {
	ID  core.EndpointID
	Err error
}

// Evacuation reports that the endpoints of a zone must get no new requests, or, with Ended, that
// they may get requests again.
type Evacuation struct {
	Zone  core.Zone
	Ended bool
}

// QuarantineRemoval reports that the entry of a quarantined request was removed.
type QuarantineRemoval struct {
	Request core.Fingerprint
	Rev     core.Version
}

// BuildRemoval reports that the record of a build was removed.
type BuildRemoval struct {
	Build core.Build
	Rev   core.Version
}

// PeerAddr is the address of a peer router.
type PeerAddr string

// Process is one router. Set the exported fields before Run.
type Process struct {
	Settings *conf.RelaySettings
	Platform Platform
	Logs     *logs.Logs
	// Dropped returns the number of log lines that were dropped.
	Dropped func() int64
	// Reload reads the settings again; nil if they cannot change.
	Reload func() (*conf.RelaySettings, error)

	Stats *stats.Set

	latency     stats.Latencies
	log         *zap.Logger
	rand        *clock.Rand
	mirror      *mirror.Mirror
	placer      *place.Placer
	budget      *retry.Window
	pool        *conns.Pool
	relay       *relay.Relay
	reader      *watch.Reader
	peers       *gossip.Group
	crashes     *deny.Detector
	view        *view
	builds      builds.History
	lastingEras markedEras
	listed      atomic.Bool // set once all of the store was read
	timeouts    accept.Timeouts
	accounts    *accept.Accounts
	// ownDescriptors is how many descriptors are for the process's own work.
	ownDescriptors int
	headLimit      headLimit
	shuttingDown   atomic.Bool
	app            atomic.Pointer[kratos.App]
}

// evacuationWindow returns the time within which an evacuation must be in force after the store has
// accepted it.
func (pr *Process) evacuationWindow() time.Duration {
	return time.Duration(pr.Settings.EvacuateMs) * time.Millisecond
}

// Run runs the process until a signal or the end of ctx stops it.
func (pr *Process) Run(ctx context.Context) error {
	pr.Build()
	pr.log.Info("Started.", zap.String("Name", string(pr.Settings.Name)), zap.String("Zone", string(pr.Settings.Zone)),
		zap.String("Callers", pr.Settings.CallersAddr), zap.String("Peers", pr.Settings.PeersAddr),
		zap.Int("Seeds", len(pr.Settings.Seeds)))
	control, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, loop := range []func(context.Context) error{
		pr.reader.Run, pr.peers.Run, pr.view.settle, pr.crashes.Run, pr.closeIdleConns, pr.watchSettings, pr.announce, pr.relay.RunMigrations,
		(&buildRecorder{pr: pr, log: pr.Logs.Part("builds")}).run, (&eraRecorder{pr: pr, log: pr.Logs.Part("builds")}).run, pr.storeStreams,
	} {
		go func() {
			if err := loop(control); err != nil && control.Err() == nil {
				pr.log.Error("A background task of the process failed.", logs.ErrorFields(err)...)
			}
		}()
	}
	err := pr.serve(ctx)
	cancel()
	pr.log.Info("Stopped.", zap.Error(err))
	return err
}

// Peers returns the group of peer routers. It is valid after Build.
func (pr *Process) Peers() *gossip.Group { return pr.peers }

// Build creates the parts of the process. Run calls it unless it was called before.
func (pr *Process) Build() {
	if pr.log != nil {
		return
	}
	se := pr.Settings
	if pr.Stats == nil {
		pr.Stats = stats.New()
	}
	pr.log = pr.Logs.Part("entry")
	pr.rand = clock.NewRand(clock.RandomSeed())
	pr.accounts = accept.NewAccounts(ledger.Bytes, ledger.Descriptors)
	pr.ownDescriptors = pr.accounts.SetLimits(se.MemoryMB, se.MaxDescriptors, se.FileDescriptors)
	pr.pool = &conns.Pool{Descriptors: &pr.accounts.Descriptors}
	pr.mirror = &mirror.Mirror{Outranks: pr.Platform.Outranks}
	pr.peers = &gossip.Group{Self: se.Name, Addr: se.PeersAddr, Mirror: pr.mirror, Rand: pr.rand, Log: pr.Logs.Part("gossip"), MaxPeers: se.MaxPeers}
	pr.placer = &place.Placer{
		Zone: se.Zone, Regions: se.Zones, Rand: pr.rand, CapFactor: se.CapFactor, RouterCount: pr.peers.Routers,
		ColdLimits: place.ColdLimits{Overrun: se.ColdOverrun, Slack: se.ColdSlack},
	}
	pr.peers.Placer, pr.peers.InForce, pr.peers.Builds = pr.placer, pr.configVersion, &pr.builds
	pr.budget = &retry.Window{Ratio: se.RetryRatio, Slack: se.RetrySlack, Span: se.RetrySpan, Routers: pr.peers.Routers}
	pr.reader = &watch.Reader{Feed: pr.Platform, Mirror: pr.mirror, Rand: pr.rand, Log: pr.Logs.Part("feeds")}
	pr.reader.Routers = pr.peers.Routers
	pr.reader.Init()
	pr.reader.IsWatcher, pr.reader.TakeoverDelay, pr.reader.GracePeriod = pr.peers.IsWatcher, pr.peers.TakeoverDelay, se.ReturnDelay+propagationMargin
	pr.peers.Feed = pr.reader
	pr.crashes = &deny.Detector{
		Tracker: &deny.Tracker{Peers: pr.peers, Store: pr.Platform, Stats: pr.Stats, Log: pr.Logs.Part("guard")},
		Conns:   pr.pool, Placer: pr.placer,
	}
	pr.crashes.Runs, pr.crashes.Writer, pr.crashes.Routers = pr.Platform, core.VMID(fmt.Sprintf("%s-%x", se.Name, pr.rand.Uint64())), pr.peers.Routers
	pr.crashes.Known = func(endpoint uint64) bool { return !pr.listed.Load() || pr.placer.Knows(endpoint) }
	pr.peers.Blamed, pr.peers.Reach = pr.crashes.ApplyNotice, pr.probe
	pr.peers.Ended = func(now time.Time, endpoint uint64) bool { return pr.view.processEnded(now, endpoint) }
	pr.crashes.Ended = func(now time.Time, endpoint uint64) {
		if pr.view.processEnded(now, endpoint) {
			pr.peers.ReportEnded(now, endpoint)
		}
	}
	pr.relay = &relay.Relay{
		Dialect: pr.Platform.Dialect(), Self: se.Name, Placer: pr.placer, Counts: pr.peers, Grants: pr.peers, Origins: pr.peers, Builds: &pr.builds, Crashes: pr.crashes, Budget: pr.budget, Conns: pr.pool,
		Stats: pr.Stats, Latency: &pr.latency, Rand: pr.rand, Log: pr.Logs.Part("relay"),
		ViewAge: pr.reader.Age, VerifyView: pr.reader.Verify, ShuttingDown: pr.shuttingDown.Load,
		Routers: func() int { return 1 + pr.peers.Live() }, LevelOwner: pr.peers.DemandOwner,
	}
	pr.peers.Demand = pr.relay
	pr.relay.EngineSpeeds = pr.engineSpeeds
	pr.relay.NewPlanner = func() relay.Planner {
		return &migr.Planner{Source: pr.placer.MigrationSource, DrainTime: se.EngineDrainTime}
	}
	pr.relay.Memory = &pr.accounts.Bytes
	pr.view = &view{pr: pr, log: pr.Logs.Part("view"), evacuations: newEvacuations()}
	pr.mirror.Changed, pr.mirror.Restored = pr.view.applyItem, pr.reader.NoteRestore
	pr.addSeeds()
	pr.publishStats()
}

// probe reports whether a connection to an endpoint can be made; known is false for an endpoint
// that was removed. That this process has no descriptor for one says nothing against the endpoint.
func (pr *Process) probe(ctx context.Context, endpoint uint64) (reached, known bool) {
	addr, known := pr.placer.AddrOf(endpoint)
	if !known {
		return false, false
	}
	err := pr.pool.Connect(ctx, addr)
	return err == nil || errors.Is(err, conns.ErrNoDescriptors), true
}

// engineSpeeds returns the endpoints that are slower than usual, for operators.
func (pr *Process) engineSpeeds(now time.Time) []relay.EngineSpeed {
	var all []relay.EngineSpeed
	for _, slow := range pr.placer.SlowEndpoints(now) {
		all = append(all, relay.EngineSpeed{
			Engine: slow.ID, Time: int(math.Round(100 * max(slow.Slowness, slow.Ahead))), SinceMs: now.Sub(slow.Since).Milliseconds(),
			Learned: slow.Learned,
		})
	}
	return all
}

// addSeeds adds the peers that the settings name as seeds. Their peer port is that of this router.
func (pr *Process) addSeeds() {
	_, port, err := net.SplitHostPort(pr.Settings.PeersAddr)
	if err != nil {
		return // cannot happen: the settings were validated
	}
	for _, addr := range pr.Settings.Seeds {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			pr.log.Warn("Seed is not a valid address.", zap.String("Seed", addr))
			continue
		}
		pr.peers.Add(net.JoinHostPort(host, port))
	}
}

// publishStats registers the counters whose values other parts hold.
func (pr *Process) publishStats() {
	pr.latency.Publish(pr.Stats)
	pr.Stats.SetFunc(stats.ConfigRevision, func() int64 { return int64(pr.configVersion()) })
	pr.Stats.SetFunc(stats.StoreLed, func() int64 { return boolCount(pr.peers.IsWatcher()) })
	pr.Stats.SetFunc(stats.BytesHeld, pr.accounts.Bytes.Total)
	pr.Stats.SetFunc(stats.DescriptorsHeld, pr.accounts.Descriptors.Total)
	pr.Stats.SetFunc(stats.MemoryWaiting, func() int64 { return int64(pr.placer.MemoryWaits()) })
	pr.Stats.SetFunc(stats.OutputErrorP50, func() int64 { return pr.relay.Output.ErrorPercent(0.5) })
	pr.Stats.SetFunc(stats.OutputErrorP90, func() int64 { return pr.relay.Output.ErrorPercent(0.9) })
	pr.Stats.SetFunc(stats.ViewAgeMs, func() int64 { return pr.reader.Age().Milliseconds() })
	pr.Stats.SetFunc(stats.StoreEra, func() int64 { return int64(pr.mirror.AsOf().Era()) })
	pr.Stats.SetFunc(stats.PeersLive, func() int64 { return int64(pr.peers.Live()) })
	pr.Stats.SetFunc(stats.PeersRejected, pr.peers.Rejected)
	pr.Stats.SetFunc(stats.EndpointsKnown, func() int64 { return int64(pr.servingEndpoints()) })
	pr.Stats.SetFunc(stats.ZonesEvacuated, func() int64 { return int64(len(pr.placer.EvacuatedZones())) })
	if pr.Dropped != nil {
		pr.Stats.SetFunc(stats.LogLinesDropped, pr.Dropped)
	}
}

// boolCount converts a condition to a counter value.
func boolCount(is bool) int64 {
	if is {
		return 1
	}
	return 0
}

// configVersion is the version of the configuration in force, 0 if there is none.
func (pr *Process) configVersion() route.Version {
	if ta := pr.relay.Table(); ta != nil {
		return ta.Version
	}
	return 0
}

// servingEndpoints counts the endpoints that may get requests. An endpoint that registered for a
// pool which the configuration does not name is not counted.
func (pr *Process) servingEndpoints() int {
	ta := pr.relay.Table()
	if ta == nil {
		return 0
	}
	return pr.placer.Serving(func(id core.PoolID) bool { return ta.Pool(id) != nil })
}

const (
	// announceCheckInterval is how often a router checks whether it should announce itself in the
	// store. It is long enough to learn which of the peers that are announced already are alive.
	announceCheckInterval = time.Second
	// firstViewInterval is how often a router that has just started checks whether it has read the
	// store, and with it the addresses of announced peers. It does so from minFirstView on: in a large
	// fleet that starts at once nobody is announced yet, but peers have named each other by then, and
	// only some need to write to the store.
	firstViewInterval = 20 * time.Millisecond
	minFirstView      = 300 * time.Millisecond
)

// announce announces this router in the store once the peer group decides that it should. Where few
// peers are known after the first view of the store, it does so at once.
//
// Failure: three routers start and the store fails before they announce themselves a second later.
// Until it returns they do not know each other, and a request that one of them quarantines reaches
// endpoints through the others.
func (pr *Process) announce(ctx context.Context) error {
	tick, firstView := time.NewTicker(announceCheckInterval), time.NewTicker(firstViewInterval)
	defer tick.Stop()
	defer firstView.Stop()
	started := time.Now()
	for announced := false; !announced; {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			announced = pr.peers.ShouldAnnounce()
		case <-firstView.C:
			if pr.mirror.AsOf() == 0 || time.Since(started) < minFirstView {
				continue
			}
			firstView.Stop()
			announced = pr.peers.FewKnown()
		}
	}
	pr.Platform.Announce(ctx, pr.Settings.Name, pr.Settings.PeersAddr, pr.log)
	return nil
}

// idleCheckInterval is how often idle connections are checked; their timeouts are seconds.
const idleCheckInterval = 250 * time.Millisecond

// closeIdleConns closes connections to endpoints that were idle for too long.
func (pr *Process) closeIdleConns(ctx context.Context) error {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			pr.pool.CloseExpired(now)
		}
	}
}

// readyz handles the load balancer's health check.
func (pr *Process) readyz(wr http.ResponseWriter, _ *http.Request) {
	switch {
	case pr.shuttingDown.Load():
		http.Error(wr, "leaving", http.StatusServiceUnavailable)
	case pr.relay.Table() == nil:
		http.Error(wr, "no configuration yet", http.StatusServiceUnavailable)
	case pr.servingEndpoints() == 0:
		http.Error(wr, "no endpoints yet", http.StatusServiceUnavailable)
	default:
		fmt.Fprintln(wr, "ready")
	}
}

func listen(key, addr string) (net.Listener, error) {
	li, err := accept.Listen(addr)
	if err != nil {
		return nil, oops.In("listen").With("setting", key).With("peer", addr).Wrap(err)
	}
	return li, nil
}
