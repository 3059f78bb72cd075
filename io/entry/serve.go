package entry

import (
	"context"
	"math"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	kratoshttp "github.com/go-kratos/kratos/v2/transport/http"
	"go.uber.org/zap"

	"almondrill/core/ledger"
	"almondrill/io/accept"
	"almondrill/io/deny"
	"almondrill/io/gossip"
	"almondrill/io/logs"
	"almondrill/io/relay"
)

const (
	// ownMaxHead bounds the size of a head, in bytes, on the addresses that callers do not use; on theirs
	// the configuration sets it.
	ownMaxHead = 8 << 10
	// ownReadTimeout and ownWriteTimeout bound the time to read a request there, and to write its response.
	ownReadTimeout  = 10 * time.Second
	ownWriteTimeout = 30 * time.Second
	// ownListenerShare and peersShare are the shares of the process's own descriptors that connections to one of these
	// addresses may take.
	ownListenerShare = 0.125
	peersShare       = 0.25
	// stopMargin is the time between closing the connections that are still in use and the end of
	// DrainTimeout; it is for cleanup and the last log lines.
	stopMargin = 400 * time.Millisecond
	// waitShare is the fraction of the stop timeout after which requests that wait at the router are
	// refused. The rest is for those that were sent before.
	waitShare = 0.5
)

// serve listens and serves until a signal or the end of ctx.
func (pr *Process) serve(ctx context.Context) error {
	servers, err := pr.servers()
	if err != nil {
		return err
	}
	pr.Logs.InstallKratos()
	app := kratos.New(
		kratos.Name("almondrill-relay"),
		kratos.ID(string(pr.Settings.Name)),
		kratos.Context(ctx),
		kratos.Server(servers...),
		kratos.Signal(syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT),
		kratos.StopTimeout(pr.stopTimeout()),
		kratos.BeforeStop(pr.beforeStop),
	)
	pr.app.Store(app)
	return app.Run()
}

// stopTimeout is the time between closing the callers' address and closing the connections that are
// still in use.
func (pr *Process) stopTimeout() time.Duration {
	return pr.Settings.DrainTimeout - pr.Settings.DrainDelay - stopMargin
}

// Stop shuts down gracefully, as a signal does; Run returns once it is done. It does nothing
// before the process serves.
func (pr *Process) Stop() error {
	app := pr.app.Load()
	if app == nil {
		return nil
	}
	return app.Stop()
}

func (pr *Process) servers() ([]transport.Server, error) {
	se := pr.Settings
	ready := http.NewServeMux()
	ready.HandleFunc(pr.Platform.ReadyPath(), pr.readyz)
	peers := http.NewServeMux()
	peers.Handle(gossip.ItemsPath, pr.peers.Handler())
	admin := http.NewServeMux()
	admin.HandleFunc("/healthz", func(wr http.ResponseWriter, _ *http.Request) { _, _ = wr.Write([]byte("ok\n")) })
	admin.HandleFunc("/readyz", pr.readyz)
	admin.Handle("/debug/vars", pr.Stats.Handler())
	admin.Handle(relay.WaitingPath, pr.relay.WaitingHandler())
	admin.Handle(deny.Path, pr.crashes.Handler())
	admin.Handle(deny.Path+"/", pr.crashes.Handler())
	var servers []transport.Server
	for _, on := range []struct {
		key, addr string
		handler   http.Handler
	}{
		{"CallersAddr", se.CallersAddr, pr.relay},
		{"ReadyAddr", se.ReadyAddr, ready},
		{"PeersAddr", se.PeersAddr, peers},
		{"AdminAddr", se.AdminAddr, admin},
	} {
		li, err := listen(on.key, on.addr)
		if err != nil {
			return nil, err
		}
		if on.key == "CallersAddr" {
			srv := pr.httpServer(pr.callersListener(li), on.handler)
			srv.ConnContext = callerContext
			servers = append(servers, srv)
			continue
		}
		servers = append(servers, pr.ownServer(on.key, li, on.handler))
	}
	if se.MetricsAddr != "" {
		servers = append(servers, pr.metrics()...)
	}
	return servers, nil
}

// metrics serves the counters as text. Its port is the same on all VMs and may be in use on one
// of them: that must not keep the router from serving callers.
func (pr *Process) metrics() []transport.Server {
	li, err := listen("MetricsAddr", pr.Settings.MetricsAddr)
	if err != nil {
		pr.log.Warn("Cannot serve metrics.", logs.ErrorFields(err)...)
		return nil
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", pr.Stats.TextHandler())
	return []transport.Server{pr.ownServer("MetricsAddr", li, mux)}
}

func (pr *Process) callersListener(li net.Listener) *accept.Listener {
	return &accept.Listener{
		Listener: callerListener{li}, Name: "CallersAddr", Bytes: &pr.accounts.Bytes, Descriptors: &pr.accounts.Descriptors, Class: ledger.Callers,
		MaxHead: pr.headLimit.get, Timeouts: &pr.timeouts, Stats: pr.Stats, Log: pr.Logs.Part("accept"),
	}
}

// ownServer serves an address that callers do not use. Its connections take a part of the process's own descriptors, and
// their bytes do not depend on what callers hold.
func (pr *Process) ownServer(key string, li net.Listener, handler http.Handler) *kratoshttp.Server {
	share := ownListenerShare
	if key == "PeersAddr" {
		share = peersShare
	}
	srv := pr.httpServer(&accept.Listener{
		Listener: li, Name: key, Most: max(1, int(share*float64(pr.ownDescriptors))),
		MaxHead:  func() accept.HeadLimit { return accept.HeadLimit{Bytes: ownMaxHead, Refusal: accept.TooLarge} },
		Timeouts: &accept.Timeouts{}, Stats: pr.Stats, Log: pr.Logs.Part("accept"),
	}, handler)
	srv.ReadTimeout, srv.WriteTimeout = ownReadTimeout, ownWriteTimeout
	return srv
}

// httpServer creates a kratos HTTP server that uses the handler in place of kratos' own router,
// which redirects paths that are not clean. It passes the endpoint's URL explicitly because the
// library would list the machine's interfaces to find it.
func (pr *Process) httpServer(li net.Listener, handler http.Handler) *kratoshttp.Server {
	own := &url.URL{Scheme: "http", Host: li.Addr().String()}
	srv := kratoshttp.NewServer(kratoshttp.Listener(li), kratoshttp.Endpoint(own), kratoshttp.Timeout(0))
	srv.Handler = handler
	srv.ConnContext = accept.ConnContext
	srv.ReadHeaderTimeout, srv.IdleTimeout = accept.HeaderSentinel, accept.IdleSentinel
	srv.MaxHeaderBytes = math.MaxInt32 // the listener bounds heads
	srv.ErrorLog = nil
	return srv
}

// beforeStop reports the router as not ready while it goes on serving, so that the load balancer
// stops sending callers. Callers keep their connections until a response tells them to close.
func (pr *Process) beforeStop(context.Context) error {
	pr.shuttingDown.Store(true)
	pr.log.Info("Leaving.", zap.Duration("Delay", pr.Settings.DrainDelay), zap.Int64("InProgress", pr.Stats.Value("InProgress")))
	time.Sleep(pr.Settings.DrainDelay)
	time.AfterFunc(time.Duration(waitShare*float64(pr.stopTimeout())), pr.relay.CloseQueues)
	return nil
}
