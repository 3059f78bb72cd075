package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of a small deployment, as its sheet and the settings of a process state them.
const (
	contact       = 3 * time.Second
	drainTime     = 2 * time.Second
	graceTime     = 8 * time.Second
	heartbeat     = 1200 * time.Millisecond
	restartDelay  = 500 * time.Millisecond
	kvCapacity    = 573973
	workerSlots   = 64
	routerHost    = "127.0.0.%d"
	firstHost     = 11
	storeHost     = "127.0.0.2"
	workerHost    = "127.0.0.3"
	readyInterval = time.Second
	// maxMisses is after how many misses a router gets no new channels.
	maxMisses = 2
)

var zones = []string{"lahore", "faisalabad", "multan", "lahore"}

// fleet is the routers of a deployment, with the platform that starts them.
type fleet struct {
	dir   string
	sto   *store
	rec   *record
	ports map[string]int

	routers []*router
	stopped atomic.Bool
}

// router is a machine of the class front, and its process.
type router struct {
	fl         *fleet
	name, host string
	zone       string

	mu      sync.Mutex // guards all below
	process *exec.Cmd
	// disturbedAt is when the process was last started, or told to stop.
	disturbedAt time.Time
	stopping    bool
	// misses counts the checks in a row at which the router was not ready.
	misses int
}

// startFleet starts routers with the command of the deploy file.
func startFleet(dir string, sto *store, rec *record, count int) (*fleet, error) {
	fl := &fleet{dir: dir, sto: sto, rec: rec, ports: map[string]int{}}
	for _, name := range []string{"Front", "ReadyAddr", "Control", "Internal"} {
		port, err := freePort(count)
		if err != nil {
			return nil, err
		}
		fl.ports[name] = port
	}
	for ix := range count {
		ro := &router{fl: fl, name: fmt.Sprintf("front-%d", ix+1), host: fmt.Sprintf(routerHost, firstHost+ix), zone: zones[ix%len(zones)]}
		fl.routers = append(fl.routers, ro)
	}
	for _, ro := range fl.routers {
		if err := ro.start(); err != nil {
			return nil, err
		}
	}
	go fl.balance()
	return fl, nil
}

// balance asks each router every second whether it is ready, as the platform does.
func (fl *fleet) balance() {
	for !fl.stopped.Load() {
		for _, ro := range fl.routers {
			ready := ro.checkReady()
			ro.mu.Lock()
			if ro.misses++; ready {
				ro.misses = 0
			}
			ro.mu.Unlock()
		}
		time.Sleep(readyInterval)
	}
}

// pick returns the router that gets a requester's new channel: one in rotation, if there is any.
func (fl *fleet) pick(number int) *router {
	var rotation []*router
	for _, ro := range fl.routers {
		ro.mu.Lock()
		if ro.misses < maxMisses {
			rotation = append(rotation, ro)
		}
		ro.mu.Unlock()
	}
	if len(rotation) == 0 {
		rotation = fl.routers
	}
	return rotation[number%len(rotation)]
}

// freePort returns a port that is free on the hosts of all routers.
func freePort(count int) (int, error) {
	for range 50 {
		li, err := net.Listen("tcp", fmt.Sprintf(routerHost+":0", firstHost))
		if err != nil {
			return 0, err
		}
		port, free := li.Addr().(*net.TCPAddr).Port, true
		for ix := 1; ix < count && free; ix++ {
			other, err := net.Listen("tcp", fmt.Sprintf(routerHost+":%d", firstHost+ix, port))
			if free = err == nil; free {
				_ = other.Close()
			}
		}
		_ = li.Close()
		if free {
			return port, nil
		}
	}
	return 0, errors.New("no port is free on all hosts")
}

// settings fills in the project's own template.
func (ro *router) settings() (string, error) {
	text, err := os.ReadFile("deploy/router.yaml")
	if err != nil {
		return "", err
	}
	fl := ro.fl
	var seeds []string
	for _, other := range fl.routers[:min(3, len(fl.routers))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", other.host, fl.ports["Control"]))
	}
	fields := map[string]any{
		"Node": ro.name, "Zone": ro.zone, "Region": "punjab", "Zones": map[string]string{"lahore": "punjab", "faisalabad": "punjab", "multan": "punjab"},
		"Listen.Front": fmt.Sprintf("%s:%d", ro.host, fl.ports["Front"]), "Listen.ReadyAddr": fmt.Sprintf("%s:%d", ro.host, fl.ports["ReadyAddr"]),
		"Listen.Control": fmt.Sprintf("%s:%d", ro.host, fl.ports["Control"]), "Ip": ro.host, "InternalPorts.0": fl.ports["Internal"],
		"Platform.Address": fl.sto.addr, "Seeds": seeds, "Bounds.CapFactor": 2, "Bounds.ColdOverrun": "", "Bounds.ColdSlack": "", "Bounds.EvacuateMs": "",
		"Bounds.RetryRatio": 0.2, "Bounds.RetrySlack": 52, "Bounds.BudgetWindowS": 10, "Bounds.GraceS": graceTime.Seconds(), "Bounds.DrainMs": drainTime.Milliseconds(), "Limits.MemoryMb": 284,
	}
	filled := string(text)
	for name, value := range fields {
		data, err := json.Marshal(value)
		if err != nil {
			return "", err
		}
		filled = strings.ReplaceAll(filled, "{{"+name+"|json}}", string(data))
		filled = strings.ReplaceAll(filled, "{{"+name+"}}", fmt.Sprint(value))
	}
	if strings.Contains(filled, "{{") {
		return "", errors.New("the template of the settings has a field that is not filled in")
	}
	return filled, nil
}

// start starts the router's process.
func (ro *router) start() error {
	text, err := ro.settings()
	if err != nil {
		return err
	}
	file := filepath.Join(ro.fl.dir, ro.name+".yaml")
	if err = os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(ro.fl.dir, ro.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command("target/almondrill", "relay")
	cmd.Env = []string{names.SettingsVariable + "=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = cmd.Start(); err != nil {
		return err
	}
	ro.mu.Lock()
	defer ro.mu.Unlock()
	ro.process, ro.disturbedAt = cmd, time.Now()
	ro.fl.rec.add("router %s starts", ro.name)
	go ro.watch(cmd)
	return nil
}

// watch restarts the process after a short delay when it ends.
func (ro *router) watch(cmd *exec.Cmd) {
	err := cmd.Wait()
	ro.fl.rec.add("router %s ended: %v", ro.name, err)
	time.Sleep(restartDelay)
	ro.mu.Lock()
	stopping := ro.stopping
	ro.mu.Unlock()
	if stopping {
		return
	}
	if err = ro.start(); err != nil {
		ro.fl.rec.add("router %s cannot be started: %v", ro.name, err)
	}
}

// signal sends a signal to the router's process.
func (ro *router) signal(sig syscall.Signal) {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	_ = ro.process.Process.Signal(sig)
	ro.disturbedAt = time.Now()
}

func (ro *router) front() string { return fmt.Sprintf("%s:%d", ro.host, ro.fl.ports["Front"]) }

// inTouch reports whether the router's process has run undisturbed for as long as the rules ask.
func (ro *router) inTouch(at time.Time) bool {
	ro.mu.Lock()
	defer ro.mu.Unlock()
	return at.Sub(ro.disturbedAt) >= contact
}

// checkReady asks the router whether it is ready.
func (ro *router) checkReady() bool {
	client := http.Client{Timeout: readyInterval}
	rs, err := client.Get(fmt.Sprintf("http://%s:%d%s", ro.host, ro.fl.ports["ReadyAddr"], names.ReadyPath))
	if err != nil {
		return false
	}
	_ = rs.Body.Close()
	return rs.StatusCode == http.StatusOK
}

// awaitReady waits until all routers are ready, and returns an error if that takes too long.
func (fl *fleet) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		count := 0
		for _, ro := range fl.routers {
			if ro.checkReady() {
				count++
			}
		}
		if count == len(fl.routers) {
			return nil
		}
	}
	return errors.New("not all routers are ready")
}

// killAll kills the processes of all routers at the same moment.
func (fl *fleet) killAll() {
	for _, ro := range fl.routers {
		ro.signal(syscall.SIGKILL)
	}
	fl.rec.add("all routers are killed")
}

// roll stops the routers one after the other, as the platform does: SIGTERM, and SIGKILL after GraceS.
func (fl *fleet) roll(gap time.Duration) {
	for _, ro := range fl.routers {
		ro.mu.Lock()
		cmd := ro.process
		ro.mu.Unlock()
		ro.signal(syscall.SIGTERM)
		fl.rec.add("router %s is told to stop", ro.name)
		time.AfterFunc(graceTime, func() { _ = cmd.Process.Signal(syscall.SIGKILL) })
		time.Sleep(gap)
	}
}

// stop ends the processes of all routers.
func (fl *fleet) stop() {
	fl.stopped.Store(true)
	for _, ro := range fl.routers {
		ro.mu.Lock()
		ro.stopping = true
		ro.mu.Unlock()
		ro.signal(syscall.SIGKILL)
	}
	time.Sleep(restartDelay + 100*time.Millisecond)
}
