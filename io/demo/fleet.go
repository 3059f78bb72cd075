// Package demo runs a small fleet in one process, on loopback addresses and over real sockets:
// routers, agents, and fakes of engines, services and the platform.
//
// # Concepts
//
// A Fleet is started and stopped as a whole. Drive sends it mixed requests and reports outcomes and
// violations of the router's guarantees, which audit.Audit detects at the fakes.
//
// # Usage
//
//	fl := &demo.Fleet{Logs: logs}
//	err := fl.Start(ctx)
//	defer fl.Stop()
//	rep := fl.Drive(ctx, demo.Workload{Requests: 500, Seed: 1})
package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/revlog"
	"almondrill/io/clock"
	"almondrill/io/conf"
	"almondrill/io/fakes/audit"
	"almondrill/io/fakes/engine"
	"almondrill/io/fakes/kvsrv"
	"almondrill/io/fakes/plain"
	"almondrill/io/fakes/vmlist"
	"almondrill/io/kvrpc"
	"almondrill/io/logs"
	"almondrill/io/node"
	"almondrill/io/vmnet"
)

// Names that the demo's configuration declares: the customer's bearer key, an operator's key, a
// model and a service.
const (
	Key         = "demo-key"
	OperatorKey = "demo-operator"
	Model       = "demo-model"
	Lookups     = "lookups"
	chatPool    = "chat"
	region      = "north"
)

var zones = []core.Zone{"a", "b", "c"}

// Fleet is the demo's fleet. Set the exported fields up to CallersAddr before Start, which sets the
// others.
type Fleet struct {
	Logs *logs.Logs
	// Routers, Engines and Services are the numbers of each; 0 means 3, 12 and 3.
	Routers, Engines, Services int
	// TokenEvery is the time an engine takes per token; 0 means 2 ms.
	TokenEvery time.Duration
	// Slots is the number of calls that run on an engine at a time; 0 means 32.
	Slots int
	// CallersAddr is the first router's address for callers; if empty, the system picks a port.
	CallersAddr string

	Store        *kvsrv.Store
	VMList       *vmlist.List
	Audit        *audit.Audit
	FakeEngines  []*engine.Engine
	FakeServices []*plain.Service
	Processes    []*node.Process
	engineAddrs  []string
	kvAddr       string
	vmsAddr      string
	running      sync.WaitGroup
	mu           sync.Mutex // guards err
	err          error
	closers      []func()
	vms          []core.VM
	clock        clock.Wall
}

// Start starts the fleet and waits until every process has the configuration and knows all agents.
func (fl *Fleet) Start(ctx context.Context) error {
	fl.defaults()
	if err := fl.startPlatform(); err != nil {
		return err
	}
	if err := fl.commitConfig(ctx); err != nil {
		return err
	}
	for ix := range fl.Engines {
		if err := fl.addEngine(ix); err != nil {
			return err
		}
	}
	for ix := range fl.Services {
		if err := fl.addService(ix); err != nil {
			return err
		}
	}
	for ix := range fl.Routers {
		if err := fl.addRouter(ix); err != nil {
			return err
		}
	}
	fl.VMList.Set(fl.vms...)
	for _, pr := range fl.Processes {
		fl.launch(pr)
	}
	return fl.awaitReady(ctx)
}

func (fl *Fleet) defaults() {
	if fl.Routers == 0 {
		fl.Routers = 3
	}
	if fl.Engines == 0 {
		fl.Engines = 12
	}
	if fl.Services == 0 {
		fl.Services = 3
	}
	if fl.TokenEvery == 0 {
		fl.TokenEvery = 2 * time.Millisecond
	}
	fl.Audit = &audit.Audit{}
	fl.Store = &kvsrv.Store{Clock: fl.clock, Rand: clock.NewRand(1), WritesPerSecond: 300, ReadsPerSecond: 2000}
	fl.VMList = &vmlist.List{Clock: fl.clock}
}

// startPlatform starts the fakes of the KV store and of the VM list.
func (fl *Fleet) startPlatform() error {
	li, err := fl.listen()
	if err != nil {
		return err
	}
	fl.kvAddr = li.Addr().String()
	server := grpc.NewServer()
	kvrpc.Serve(server, fl.Store)
	go func() { _ = server.Serve(li) }()
	fl.closers = append(fl.closers, server.Stop)
	fl.vmsAddr, err = fl.serve(vmnet.Handler(fl.VMList))
	return err
}

// commitConfig commits the demo's configuration as revision 1.
func (fl *Fleet) commitConfig(ctx context.Context) error {
	lo := &revlog.Log{KV: fl.Store, Clock: fl.clock, Rand: clock.NewRand(2)}
	doc := Document()
	doc.Pools[0].Slots = fl.Slots
	_, err := lo.Commit(ctx, 0, doc, revlog.Meta{ID: "demo", Author: "demo"})
	return err
}

// Document returns the demo's declarations.
func Document() *decl.Document {
	sum := sha256.Sum256([]byte(Key))
	return &decl.Document{
		Customers: []decl.Customer{{
			Name: "demo", KeyHashes: []string{hex.EncodeToString(sum[:])},
			Shares: map[core.PoolID]float64{chatPool: 1, Lookups: 1},
		}},
		Pools:    []decl.Pool{{Name: chatPool, Model: Model, Version: "1"}},
		Services: []decl.Service{{Name: Lookups}},
	}
}

func (fl *Fleet) addEngine(ix int) error {
	en := &engine.Engine{
		Clock: fl.clock, Model: Model, TokenEvery: fl.TokenEvery, Audit: fl.Audit, ReportLag: time.Second,
		Version: "1",
	}
	addr, err := fl.serveEngine(en)
	if err != nil {
		return err
	}
	fl.FakeEngines = append(fl.FakeEngines, en)
	fl.engineAddrs = append(fl.engineAddrs, addr)
	return fl.addAgent(fmt.Sprintf("engine-%02d", ix), ix, chatPool, conf.KindEngine, addr)
}

func (fl *Fleet) addService(ix int) error {
	se := &plain.Service{Clock: fl.clock, Takes: time.Millisecond, Audit: fl.Audit}
	addr, err := fl.serve(se)
	if err != nil {
		return err
	}
	fl.FakeServices = append(fl.FakeServices, se)
	return fl.addAgent(fmt.Sprintf("lookup-%02d", ix), ix, Lookups, conf.KindService, addr)
}

func (fl *Fleet) addAgent(name string, ix int, po core.PoolID, kind, addr string) error {
	se := fl.settings(name, ix)
	se.Endpoints = []conf.EndpointSetting{{
		Name: core.EndpointID(name), Pool: po, Kind: kind, URL: "http://" + addr,
	}}
	return fl.addProcess(core.RoleAgent, se, []core.PoolID{po})
}

func (fl *Fleet) addRouter(ix int) error {
	se := fl.settings(fmt.Sprintf("router-%02d", ix), ix)
	se.CallersAddr = "127.0.0.1:0"
	if ix == 0 && fl.CallersAddr != "" {
		se.CallersAddr = fl.CallersAddr
	}
	sum := sha256.Sum256([]byte(OperatorKey))
	se.Operators = []conf.OperatorSetting{{Name: "demo", KeyHash: hex.EncodeToString(sum[:])}}
	return fl.addProcess(core.RoleRouter, se, nil)
}

func (fl *Fleet) settings(name string, ix int) *conf.Settings {
	return &conf.Settings{
		Name: core.VMID(name), Zone: zones[ix%len(zones)], Region: region,
		PeersAddr: "127.0.0.1:0", AdminAddr: "127.0.0.1:0", KVAddr: fl.kvAddr, VMsAddr: fl.vmsAddr,
		DrainDelay: 200 * time.Millisecond, DrainTimeout: 30 * time.Second, BodyTimeout: 2 * time.Second,
		MemoryMB: processMemoryMB,
	}
}

// processMemoryMB is MemoryMB of each process; clients may take half of it.
const processMemoryMB = 192

// addProcess creates a process and adds its VM to those that Start lists. launch runs it.
func (fl *Fleet) addProcess(ro core.Role, se *conf.Settings, pools []core.PoolID) error {
	pr := &node.Process{Role: ro, Settings: se, Logs: fl.Logs}
	if err := pr.Listen(); err != nil {
		return err
	}
	if err := pr.Build(); err != nil {
		return err
	}
	fl.Processes = append(fl.Processes, pr)
	fl.vms = append(fl.vms, core.VM{
		ID: se.Name, Addr: pr.PeersAddr(), Zone: se.Zone, Region: se.Region, Role: ro, Pools: pools,
	})
	return nil
}

// launch runs a process in the background until Stop.
func (fl *Fleet) launch(pr *node.Process) {
	fl.running.Go(func() {
		if err := pr.Run(context.Background()); err != nil {
			fl.fail(oops.In("run").With("peer", pr.Settings.Name).Wrap(err))
		}
	})
}

func (fl *Fleet) fail(err error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.err = err
}

// readyTimeout bounds the wait of Start.
const readyTimeout = 15 * time.Second

func (fl *Fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !fl.ready() {
		if err := fl.clock.Sleep(ctx, 10*time.Millisecond); err != nil {
			return oops.In("start").Errorf("the fleet did not become ready within %s", readyTimeout)
		}
	}
	return nil
}

func (fl *Fleet) ready() bool {
	for _, pr := range fl.Processes {
		sn := pr.Board().Snapshot()
		if sn.Revision() == 0 || len(sn.Agents) < fl.Engines+fl.Services {
			return false
		}
	}
	return true
}

// RouterAddrs returns the routers' addresses for callers.
func (fl *Fleet) RouterAddrs() []string {
	var addrs []string
	for _, pr := range fl.Processes {
		if pr.Role == core.RoleRouter {
			addrs = append(addrs, pr.CallersAddr())
		}
	}
	return addrs
}

// OperatorsAddr returns the address of a router for operators.
func (fl *Fleet) OperatorsAddr() string {
	return fl.Processes[len(fl.Processes)-1].PeersAddr()
}

// EngineAddrs returns the addresses of the fake engines, for calls that bypass routers and agents.
func (fl *Fleet) EngineAddrs() []string { return fl.engineAddrs }

// Process returns the process with that name, or nil if there is none.
func (fl *Fleet) Process(name core.VMID) *node.Process {
	for _, pr := range fl.Processes {
		if pr.Settings.Name == name {
			return pr
		}
	}
	return nil
}

// Stop stops all processes gracefully, routers first, and then the fakes. It returns the error of a
// process or fake that failed.
func (fl *Fleet) Stop() error {
	for ix := len(fl.Processes) - 1; ix >= 0; ix-- {
		_ = fl.Processes[ix].Stop()
	}
	fl.running.Wait()
	for _, closer := range fl.closers {
		closer()
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.err
}

func (fl *Fleet) listen() (net.Listener, error) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, oops.In("listen").Wrap(err)
	}
	return li, nil
}

// crashDowntime is how long a crashed engine is down.
const crashDowntime = 500 * time.Millisecond

// serveEngine serves an engine that can crash: its connections are closed, and it listens on the
// same address again after crashDowntime.
func (fl *Fleet) serveEngine(en *engine.Engine) (string, error) {
	li, err := fl.listen()
	if err != nil {
		return "", err
	}
	addr := li.Addr().String()
	var mu sync.Mutex // guards all below
	var server *http.Server
	stopped := false
	serve := func(li net.Listener) {
		mu.Lock()
		defer mu.Unlock()
		if stopped {
			_ = li.Close()
			return
		}
		server = &http.Server{Handler: en.Handler(), ReadHeaderTimeout: 10 * time.Second}
		go func(srv *http.Server) { _ = srv.Serve(li) }(server)
	}
	en.Crash = func() {
		mu.Lock()
		defer mu.Unlock()
		_ = server.Close()
		time.AfterFunc(crashDowntime, func() {
			listener, err := net.Listen("tcp", addr)
			if err != nil {
				fl.fail(oops.In("restart an engine").With("peer", addr).Wrap(err))
				return
			}
			serve(listener)
		})
	}
	serve(li)
	fl.closers = append(fl.closers, func() {
		mu.Lock()
		defer mu.Unlock()
		stopped = true
		_ = server.Close()
	})
	return addr, nil
}

func (fl *Fleet) serve(handler http.Handler) (string, error) {
	li, err := fl.listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(li) }()
	fl.closers = append(fl.closers, func() { _ = server.Close() })
	return li.Addr().String(), nil
}
