package main_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"almondrill/core"
	"almondrill/io/client"
	"almondrill/io/fakes/crowd"
	"almondrill/io/fakes/local"
)

// The tests of this file start a router and an agent as processes of their own, and a crowd of clients
// that do not keep to the protocol, at one of the two. They check that the process lives, that its memory and
// descriptors stay below a bound, and that an ordinary chat is answered afterwards. .ci/tests runs them apart
// from other tests, one at a time.

const (
	// hostileMemoryMB is MemoryMB of both processes. Resident memory and unread bytes of sockets together
	// stay below it.
	hostileMemoryMB = 128
	// hostileDescriptors is the system's limit in tests of descriptors, and hostileMostDescriptors what
	// clients may make a process hold: the rest is for the process's own work.
	hostileDescriptors     = 128
	hostileMostDescriptors = 112
	// manyDescriptors is the system's limit in tests of memory.
	manyDescriptors = 1024
	// memoryCrowd and descriptorCrowd are the numbers of clients.
	memoryCrowd     = 100
	descriptorCrowd = 300
	// hostileTime is how long a crowd plays.
	hostileTime = 5 * time.Second
	// longBody is a little below the largest body.
	longBody = 7_900_000
)

// hostileFleet is a router and an agent, each in a process of its own.
type hostileFleet struct {
	*fleet
	router, agent *exec.Cmd
	// The addresses, and those at which the tests reach the processes' other listeners.
	callers, routerPeers, agentPeers, routerAdmin, agentAdmin string
	client                                                    *client.Client
}

// startHostileFleet starts a fleet whose router and agent may have so many descriptors. Both have more settings, if any
// are given.
func startHostileFleet(t *testing.T, descriptors int, settings ...string) *hostileFleet {
	t.Helper()
	hf := &hostileFleet{fleet: &fleet{t: t, dir: t.TempDir()}, client: &client.Client{
		Key: "key", HTTP: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 3 * time.Second},
	}}
	hf.binary = filepath.Join(hf.dir, "almondrill")
	if out, err := exec.Command("go", "build", "-o", hf.binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	hf.kvAddr, hf.vmsAddr = local.Addr(t), local.Addr(t)
	hf.start("standin", "-addr", hf.kvAddr, "kv")
	engine, more := local.Addr(t), strings.Join(settings, "\n")+"\n"
	hf.start("standin", "-addr", engine, "engine")
	hf.startLimited("agent", descriptors, "Endpoints: [{Name: e, Pool: chat, Kind: Engine, URL: http://"+engine+"}]\n"+more)
	hf.startLimited("router", descriptors, "Operators: [{Name: me, KeyHash: "+keyHash("operator")+"}]\nBodyTimeout: 3s\n"+more)
	hf.vms = []core.VM{
		{ID: "agent", Addr: hf.agentPeers, Zone: "a", Region: "north", Role: core.RoleAgent, Pools: []core.PoolID{"chat"}},
		{ID: "router", Addr: hf.routerPeers, Zone: "a", Region: "north", Role: core.RoleRouter},
	}
	list, _ := json.Marshal(hf.vms)
	hf.start("standin", "-addr", hf.vmsAddr, "-lag", "0s", "-file", hf.writeFile("vms.json", string(list)), "vms")
	declared := hf.writeFile("fleet.yaml", fmt.Sprintf(declarations, keyHash("key")))
	hf.eventually("apply", func() bool {
		_, err := hf.run("apply", "-planned", "0", "-source", "abc", "-router", hf.routerPeers, "-key", "operator", declared)
		return err == nil
	})
	hf.eventually("an ordinary chat is answered before the crowd", hf.ordinary)
	return hf
}

// startLimited starts a router or agent under the system's limit of descriptors.
func (hf *hostileFleet) startLimited(role string, descriptors int, extra string) {
	ip := local.IP(hf.t)
	peers, admin, callers := ip+":8301", ip+":8302", ip+":8303"
	text := fmt.Sprintf("Name: %s\nZone: a\nRegion: north\nPeersAddr: %s\nAdminAddr: %s\nKVAddr: %s\nVMsAddr: %s\nDrainDelay: 100ms\nDrainTimeout: 8s\nMemoryMB: %d\n%s",
		role, peers, admin, hf.kvAddr, hf.vmsAddr, hostileMemoryMB, extra)
	if role == "router" {
		text += "CallersAddr: " + callers + "\n"
	}
	limited := &fleet{t: hf.t, binary: "/bin/sh"}
	cmd := limited.start("-c", fmt.Sprintf("ulimit -n %d; exec %s %s -settings %s", descriptors, hf.binary, role, hf.writeFile(role+".yaml", text)))
	if role == "router" {
		hf.router, hf.routerPeers, hf.routerAdmin, hf.callers = cmd, peers, admin, callers
		return
	}
	hf.agent, hf.agentPeers, hf.agentAdmin = cmd, peers, admin
}

func (hf *hostileFleet) ordinary() bool {
	return hf.client.Chat(context.Background(), hf.callers, &client.Chat{
		Model: "demo-model", Stream: true, MaxTokens: 2, Messages: []client.Message{{Role: "user", Content: "hi"}},
	}).Outcome == core.Whole
}

// check plays a crowd at an address of a process and checks what it holds.
func (hf *hostileFleet) check(cmd *exec.Cmd, count int, addr string, cl crowd.Client, mostDescriptors int) {
	hf.t.Helper()
	host, _, _ := net.SplitHostPort(addr)
	ga := &crowd.Gauge{PID: cmd.Process.Pid, IP: host}
	ctx, cancel := context.WithTimeout(context.Background(), hostileTime)
	defer cancel()
	crowd.Play(ctx, count, addr, cl, ga.Measure)
	hf.t.Log(ga)
	if err := cmd.Process.Signal(syscall.Signal(0)); err != nil {
		hf.t.Fatal("the process has ended: ", err)
	}
	if ga.Memory > hostileMemoryMB<<20 {
		hf.t.Errorf("%d MB resident and unread, want %d or less", ga.Memory>>20, hostileMemoryMB)
	}
	if ga.Descriptors > mostDescriptors {
		hf.t.Errorf("%d descriptors, want %d or less", ga.Descriptors, mostDescriptors)
	}
	hf.eventually("an ordinary chat is answered after the crowd", hf.ordinary)
}

const chatHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key\r\n"

// Guards against bodies of chats that lack their last bytes.
func TestHostileUnfinishedChats(t *testing.T) {
	hf := startHostileFleet(t, manyDescriptors)
	text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", chatHead, longBody+10, strings.Repeat("x", longBody))
	hf.check(hf.router, memoryCrowd, hf.callers, crowd.Once(text), manyDescriptors)
}

// Guards against chats of very many messages, which take many times their size once decoded.
func TestHostileManyMessages(t *testing.T) {
	hf := startHostileFleet(t, manyDescriptors)
	body := `{"model":"demo-model","messages":[` + strings.Repeat("{},", longBody/3) + "{}]}"
	text := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", chatHead, len(body), body)
	hf.check(hf.router, memoryCrowd, hf.callers, crowd.Once(text), manyDescriptors)
}

// Guards against heads of many small fields at a router with agents.
func TestHostileManyFieldsWithAgents(t *testing.T) {
	hf := startHostileFleet(t, manyDescriptors)
	hf.check(hf.router, 5*memoryCrowd, hf.callers, crowd.Once(chatHead+crowd.Fields(30_000)), manyDescriptors)
}

// Guards against connections that use up the descriptors of a router with agents.
func TestHostileSilentConnectionsWithAgents(t *testing.T) {
	hf := startHostileFleet(t, hostileDescriptors)
	hf.check(hf.router, descriptorCrowd, hf.callers, crowd.Silent, hostileMostDescriptors)
}

// Guards against connections that use up the descriptors of an agent.
func TestHostileSilentConnectionsAtAgent(t *testing.T) {
	hf := startHostileFleet(t, hostileDescriptors)
	hf.check(hf.agent, descriptorCrowd, hf.agentPeers, crowd.Silent, hostileMostDescriptors)
}

// Guards against connections at the admin listener that use up the descriptors of an agent.
func TestHostileSilentConnectionsAtAgentAdmin(t *testing.T) {
	hf := startHostileFleet(t, hostileDescriptors)
	hf.check(hf.agent, descriptorCrowd, hf.agentAdmin, crowd.Silent, hostileMostDescriptors)
}

// Guards against messages to an agent that lack their last bytes, many on each connection.
func TestHostileUnfinishedMessages(t *testing.T) {
	hf := startHostileFleet(t, manyDescriptors)
	hf.check(hf.agent, memoryCrowd/5, hf.agentPeers, sendUnfinishedMessages, manyDescriptors)
}

// sendUnfinishedMessages sends long messages on many streams, as much of each as the process takes.
func sendUnfinishedMessages(ctx context.Context, co net.Conn) {
	const (
		streams = 20
		length  = 15 << 20
		piece   = 16 << 10
	)
	_, _ = io.WriteString(co, http2.ClientPreface)
	fr := http2.NewFramer(co, co)
	_ = fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1 << 20})
	var head bytes.Buffer
	en := hpack.NewEncoder(&head)
	windows := map[uint32]int{0: 65535}
	initial, sent := 65535, map[uint32]int{}
	prefix := binary.BigEndian.AppendUint32([]byte{0}, length)
	data := make([]byte, piece)
	for ix := range uint32(streams) {
		id := 2*ix + 1
		head.Reset()
		for _, fi := range [][2]string{
			{":method", "POST"},
			{":scheme", "http"},
			{":path", "/almondrill.wire.Node/Serve"},
			{":authority", "a"},
			{"content-type", "application/grpc"},
			{"te", "trailers"},
		} {
			_ = en.WriteField(hpack.HeaderField{Name: fi[0], Value: fi[1]})
		}
		_ = fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: head.Bytes(), EndHeaders: true})
		_ = fr.WriteData(id, false, prefix)
		windows[id], sent[id] = initial-len(prefix), 0
		windows[0] -= len(prefix)
	}
	for ctx.Err() == nil {
		for id := uint32(1); id < 2*streams; id += 2 {
			for windows[id] >= piece && windows[0] >= piece && sent[id] < length-2*piece {
				if fr.WriteData(id, false, data) != nil {
					return
				}
				windows[id] -= piece
				windows[0] -= piece
				sent[id] += piece
			}
		}
		fm, err := fr.ReadFrame()
		if err != nil {
			return
		}
		switch fm := fm.(type) {
		case *http2.WindowUpdateFrame:
			windows[fm.StreamID] += int(fm.Increment)
		case *http2.SettingsFrame:
			if size, ok := fm.Value(http2.SettingInitialWindowSize); ok {
				for id := range sent {
					windows[id] += int(size) - initial
				}
				initial = int(size)
			}
			if !fm.IsAck() {
				_ = fr.WriteSettingsAck()
			}
		case *http2.PingFrame:
			if !fm.IsAck() {
				_ = fr.WritePing(true, fm.Data)
			}
		case *http2.GoAwayFrame:
			return
		}
	}
}
