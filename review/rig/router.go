package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

const (
	deployFile = "deploy/system.toml"
	// graceS, drainMs and contactMs are the bounds of the small deployments.
	graceS    = 8
	drainMs   = 2000
	contactMs = 3000
	contact   = contactMs * time.Millisecond
)

// router is a process of the project, started as the deploy file says.
type router struct {
	re       *record
	name     string
	settings string
	front    string
	ready    string
	command  *exec.Cmd
	started  time.Time
	exited   chan struct{}
}

// fleet describes the routers of a case.
type fleet struct {
	re    *record
	dir   string // for settings and logs
	store string
	zone  string
	// ips are the routers' addresses; the ports are the same on all.
	ips   []string
	ports [5]int
	// retrySlack is the bound RetrySlack.
	retrySlack int
}

var (
	runLine  = regexp.MustCompile(`(?m)^run = "([^"]*)"`)
	template = regexp.MustCompile(`(?m)^template = "([^"]*)"`)
	field    = regexp.MustCompile(`{{([A-Za-z0-9.]+)(\|json)?}}`)
)

// router prepares the router at the given address.
func (fl *fleet) router(ix int) (*router, error) {
	ip := fl.ips[ix]
	name := fmt.Sprintf("front-%s-%d", fl.zone, ix+1)
	at := func(port int) string { return net.JoinHostPort(ip, fmt.Sprint(fl.ports[port])) }
	var seeds []string
	for _, seed := range fl.ips[:min(3, len(fl.ips))] {
		seeds = append(seeds, net.JoinHostPort(seed, fmt.Sprint(fl.ports[2])))
	}
	values := map[string]any{
		"Node": name, "Zone": fl.zone, "Region": "region-a", "Zones": map[string]string{fl.zone: "region-a"}, "Ip": ip,
		"Listen.Front": at(0), "Listen.ReadyAddr": at(1), "Listen.Control": at(2), "InternalPorts.0": fl.ports[3],
		"Platform.Address": fl.store, "Seeds": seeds, "Bounds.CapFactor": 2, "Bounds.RetryRatio": 0.2, "Bounds.RetrySlack": fl.retrySlack,
		"Bounds.BudgetWindowS": 10, "Bounds.GraceS": graceS, "Bounds.DrainMs": drainMs, "Limits.MemoryMb": 284,
	}
	deploy, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(string(template.FindSubmatch(deploy)[1]))
	if err != nil {
		return nil, err
	}
	filled := field.ReplaceAllStringFunc(string(text), func(found string) string {
		parts := field.FindStringSubmatch(found)
		value, known := values[parts[1]]
		switch {
		case !known:
			return ""
		case parts[2] != "":
			data, _ := json.Marshal(value)
			return string(data)
		}
		return fmt.Sprint(value)
	})
	// The metrics port is not part of the case, and may be in use.
	filled = strings.ReplaceAll(filled, ":9464", fmt.Sprintf(":%d", fl.ports[4]))
	settings := filepath.Join(fl.dir, name+".yaml")
	if err = os.WriteFile(settings, []byte(filled), 0o600); err != nil {
		return nil, err
	}
	return &router{re: fl.re, name: name, settings: settings, front: at(0), ready: at(1)}, nil
}

// start starts the process.
func (ro *router) start() error {
	deploy, err := os.ReadFile(deployFile)
	if err != nil {
		return err
	}
	words := strings.Fields(string(runLine.FindSubmatch(deploy)[1]))
	log, err := os.OpenFile(ro.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	ro.command = exec.Command(words[0], words[1:]...)
	ro.command.Env = append(os.Environ(), names.SettingsVariable+"="+ro.settings)
	ro.command.Stdout, ro.command.Stderr = log, log
	ro.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = ro.command.Start(); err != nil {
		return err
	}
	ro.started, ro.exited = time.Now(), make(chan struct{})
	ro.re.log("router %s starts, process %d", ro.name, ro.command.Process.Pid)
	go func(co *exec.Cmd, exited chan struct{}) {
		_ = co.Wait()
		ro.re.log("router %s has ended: %s", ro.name, co.ProcessState)
		close(exited)
	}(ro.command, ro.exited)
	return nil
}

// signal sends a signal to the process.
func (ro *router) signal(si syscall.Signal) {
	ro.re.log("signal %s to router %s", si, ro.name)
	_ = ro.command.Process.Signal(si)
}

// awaitReady waits until the router reports itself ready.
func (ro *router) awaitReady(timeout time.Duration) error {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		rs, err := client.Get("http://" + ro.ready + names.ReadyPath)
		if err != nil {
			continue
		}
		_ = rs.Body.Close()
		if rs.StatusCode == http.StatusOK {
			ro.re.log("router %s is ready", ro.name)
			return nil
		}
	}
	return fmt.Errorf("router %s is not ready after %s", ro.name, timeout)
}

// freePorts returns ports that are free at all addresses.
func freePorts(ips []string) ([5]int, error) {
	var ports [5]int
	for ix := range ports {
		port, err := freePort(ips)
		if err != nil {
			return ports, err
		}
		ports[ix] = port
	}
	return ports, nil
}

func freePort(ips []string) (int, error) {
	for range 50 {
		li, err := net.Listen("tcp", net.JoinHostPort(ips[0], "0"))
		if err != nil {
			return 0, err
		}
		port := li.Addr().(*net.TCPAddr).Port
		_ = li.Close()
		free := true
		for _, ip := range ips {
			other, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(port)))
			if err != nil {
				free = false
				break
			}
			_ = other.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}
