package main_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/io/client"
	"almondrill/io/fakes/local"
)

// fleet runs the built program as separate processes.
type fleet struct {
	t       *testing.T
	binary  string
	dir     string
	kvAddr  string
	vmsAddr string
	vms     []core.VM
}

// start runs the program and kills it, by its own process id, when the test ends.
func (fl *fleet) start(args ...string) *exec.Cmd {
	fl.t.Helper()
	cmd := exec.Command(fl.binary, args...)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		fl.t.Fatal(err)
	}
	fl.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if fl.t.Failed() {
			fl.t.Logf("%s: %s", strings.Join(args, " "), &out)
		}
	})
	return cmd
}

func (fl *fleet) writeFile(name, text string) string {
	path := filepath.Join(fl.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		fl.t.Fatal(err)
	}
	return path
}

func keyHash(key string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(key))) }

// startProcess starts a router or agent and returns it with its PeersAddr and CallersAddr.
func (fl *fleet) startProcess(role, name, extra string, pools ...core.PoolID) (*exec.Cmd, string, string) {
	peers, callers := local.Addr(fl.t), local.Addr(fl.t)
	text := fmt.Sprintf("Name: %s\nZone: a\nRegion: north\nPeersAddr: %s\nAdminAddr: %s\nKVAddr: %s\nVMsAddr: %s\nDrainDelay: 100ms\n%s",
		name, peers, local.Addr(fl.t), fl.kvAddr, fl.vmsAddr, extra)
	vm := core.VM{ID: core.VMID(name), Addr: peers, Zone: "a", Region: "north", Role: core.RoleAgent, Pools: pools}
	if role == "router" {
		text += "CallersAddr: " + callers + "\nOperators: [{Name: me, KeyHash: " + keyHash("operator") + "}]\n"
		vm.Role = core.RoleRouter
	}
	fl.vms = append(fl.vms, vm)
	return fl.start(role, "-settings", fl.writeFile(name+".yaml", text)), peers, callers
}

func (fl *fleet) run(args ...string) (string, error) {
	out, err := exec.Command(fl.binary, args...).CombinedOutput()
	return string(out), err
}

// eventually retries until ok returns true, and fails the test after half a minute. No check
// depends on how long it takes.
func (fl *fleet) eventually(what string, ok func() bool) {
	fl.t.Helper()
	for began := time.Now(); time.Since(began) < 30*time.Second; {
		if ok() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	fl.t.Fatalf("%s: did not succeed within half a minute", what)
}

const declarations = `Customers:
  - Name: press
    KeyHashes: [%s]
    Shares: {chat: 1}
Pools:
  - Name: chat
    Model: demo-model
`

// An operator starts a fleet of separate processes and applies declarations, and a caller chats.
// Then a router is shut down while it streams a response, which must still be complete, and an
// agent is killed during another, which must be reported as an unknown outcome.
func TestSeparateProcesses(t *testing.T) {
	fl := &fleet{t: t, dir: t.TempDir()}
	fl.binary = filepath.Join(fl.dir, "almondrill")
	if out, err := exec.Command("go", "build", "-o", fl.binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	fl.kvAddr, fl.vmsAddr = local.Addr(fl.t), local.Addr(fl.t)
	fl.start("standin", "-addr", fl.kvAddr, "kv")
	engine := local.Addr(fl.t)
	fl.start("standin", "-addr", engine, "-token", "20ms", "engine")
	endpoints := "Endpoints: [{Name: e, Pool: chat, Kind: Engine, URL: http://" + engine + "}]\n"
	agent, _, _ := fl.startProcess("agent", "agent-1", endpoints, "chat")
	stopping, _, first := fl.startProcess("router", "router-1", "")
	_, peers, second := fl.startProcess("router", "router-2", "")
	list, _ := json.Marshal(fl.vms)
	fl.start("standin", "-addr", fl.vmsAddr, "-lag", "0s", "-file", fl.writeFile("vms.json", string(list)), "vms")

	file := fl.writeFile("fleet.yaml", fmt.Sprintf(declarations, keyHash("key")))
	operator := []string{"-router", peers, "-key", "operator"}
	fl.eventually("apply", func() bool {
		_, err := fl.run(append(append([]string{"apply", "-planned", "0", "-source", "abc"}, operator...), file)...)
		return err == nil
	})
	cl := &client.Client{Key: "key"}
	ask := func(addr string, tokens int) *client.Result {
		return cl.Chat(context.Background(), addr, &client.Chat{
			Model: "demo-model", Stream: true, MaxTokens: tokens, Messages: []client.Message{{Role: "user", Content: "hi"}},
		})
	}
	for _, addr := range []string{first, second} {
		fl.eventually("chat", func() bool { return ask(addr, 2).Outcome == core.Whole })
	}
	fl.eventually("status", func() bool {
		out, err := fl.run(append([]string{"status"}, operator...)...)
		return err == nil && strings.Contains(out, "0 of 3 processes are behind")
	})

	answer := make(chan *client.Result, 1)
	go func() { answer <- ask(first, 60) }()
	time.Sleep(300 * time.Millisecond)
	_ = stopping.Process.Signal(syscall.SIGTERM)
	if rs := <-answer; rs.Outcome != core.Whole {
		t.Errorf("the router that shut down truncated a response: %s %s %v", rs.Outcome, rs.Reason, rs.Err)
	}
	if err := stopping.Wait(); err != nil {
		t.Errorf("the router exited with %v", err)
	}
	go func() { answer <- ask(second, 200) }()
	time.Sleep(500 * time.Millisecond)
	_ = agent.Process.Kill()
	if rs := <-answer; rs.Outcome != core.Unknown || rs.Reason != core.ReasonPeerLost {
		t.Errorf("the loss of the agent was reported as %s %s %v", rs.Outcome, rs.Reason, rs.Err)
	}
}
