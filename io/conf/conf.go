// Package conf reads the files that operators write: the settings of each process, and the
// declarations.
//
// # Concepts
//
// Both are YAML with keys in Pascal case. They are read strictly: an unknown key, a wrong unit or a
// missing value is an error that states the file, the line and what was expected. The settings
// define where a process runs and with what it communicates. Customers and pools are defined in the
// declarations, which processes read from the KV.
//
// # Usage
//
//	se, err := conf.ReadSettings("router.yaml", data, core.RoleRouter)
//	doc, err := conf.ReadDeclarations("fleet.yaml", data)
package conf

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"almondrill/core"
	"almondrill/core/decl"
)

// Settings are the settings of a router that uses agents, or of an agent.
type Settings struct {
	Name        core.VMID   `yaml:"Name" doc:"The VM's name in the platform's list." need:"yes"`
	Zone        core.Zone   `yaml:"Zone" doc:"The VM's availability zone." need:"yes"`
	Region      core.Region `yaml:"Region" doc:"The VM's region." need:"yes"`
	PeersAddr   string      `yaml:"PeersAddr" doc:"IP address and port for the other processes, and on routers for operators." need:"yes"`
	CallersAddr string      `yaml:"CallersAddr" doc:"IP address and port for callers. Routers only." need:"router"`
	AdminAddr   string      `yaml:"AdminAddr" doc:"IP address and port for /healthz, /readyz and /debug/vars." need:"yes"`
	KVAddr      string      `yaml:"KVAddr" doc:"Address of the platform's key-value service." need:"yes"`
	VMsAddr     string      `yaml:"VMsAddr" doc:"Address of the platform's list of VMs." need:"yes"`

	Endpoints []EndpointSetting `yaml:"Endpoints" doc:"The endpoints beside the process. Agents only." need:"agent"`
	Operators []OperatorSetting `yaml:"Operators" doc:"Who may call the operators' RPC. Routers only."`

	MaxBodyBytes          core.Bytes    `yaml:"MaxBodyBytes" doc:"Largest request body. Default 8388608."`
	BodyTimeout           time.Duration `yaml:"BodyTimeout" doc:"Time a caller has to send headers and body. Default 10s."`
	WriteTimeout          time.Duration `yaml:"WriteTimeout" doc:"Time a caller has to take each piece of an answer. Default 30s."`
	DefaultDeadline       time.Duration `yaml:"DefaultDeadline" doc:"Deadline of requests that name none. Default 2m."`
	MaxDeadline           time.Duration `yaml:"MaxDeadline" doc:"Latest deadline of a request, or on an agent of a call; a later one is shortened. Default 1h."`
	StallTimeout          time.Duration `yaml:"StallTimeout" doc:"Longest silence of an endpoint within an answer. Default 30s."`
	DrainDelay            time.Duration `yaml:"DrainDelay" doc:"Time between telling that it leaves and refusing new work on a router. Default 3s."`
	DrainTimeout          time.Duration `yaml:"DrainTimeout" doc:"Longest wait for work in progress when leaving. Default 10m."`
	HandOverTimeout       time.Duration `yaml:"HandOverTimeout" doc:"Time that a leaving agent has to move contexts to other engines. Default 20s."`
	HandOverBytes         core.Bytes    `yaml:"HandOverBytes" doc:"Bytes of contexts that a leaving agent moves at most; -1 moves none. Default 68719476736."`
	ControlBytesPerSecond core.Bytes    `yaml:"ControlBytesPerSecond" doc:"Budget for control messages sent. Default 2500."`
	RetryRatio            float64       `yaml:"RetryRatio" doc:"Retries of work that may have run, as a part of first attempts. Default 0.1."`
	MaxConnections        int           `yaml:"MaxConnections" doc:"Connections to peers kept open. Default 512."`
	MaxChats              int           `yaml:"MaxChats" doc:"Chats an agent remembers. Default 20000."`
	KeepChats             time.Duration `yaml:"KeepChats" doc:"How long a chat is remembered. Default 6h."`
	KeyWindow             time.Duration `yaml:"KeyWindow" doc:"How long idempotency keys are kept; the same everywhere. Default 15m."`
	ClaimShards           int           `yaml:"ClaimShards" doc:"Shards of the claims; the same everywhere, never changed while running. Default 64."`
	MemoryMB              int           `yaml:"MemoryMB" doc:"Memory of the process in megabytes. Callers and peers may take 0.6 of what is above 32 MB: half of that for connections, 0.15 for heads, 0.35 for bodies, messages and calls; on an agent 0.4 for connections, and 0.1 for idempotency keys, their claims and outcomes. Default 1024."`
	MaxDescriptors        int           `yaml:"MaxDescriptors" doc:"Descriptors that the process may have open. Default: the system's limit for the process. An eighth, 48 to 256, is for the process's own work; of the rest, a router's callers may take half, accepted connections of peers a quarter (on an agent three quarters), and connections to peers a quarter."`
	FileDescriptors       int           `yaml:"FileDescriptors" doc:"How many of MaxDescriptors are kept for files. Default 0."`
	LogLevel              string        `yaml:"LogLevel" doc:"debug, info, warn or error. Default info."`
}

// EndpointSetting is an endpoint on an agent's VM.
type EndpointSetting struct {
	Name core.EndpointID `yaml:"Name" doc:"The endpoint's name, as in the declarations." need:"yes"`
	Pool core.PoolID     `yaml:"Pool" doc:"The pool or service it belongs to." need:"yes"`
	Kind string          `yaml:"Kind" doc:"Engine or Service." need:"yes"`
	URL  string          `yaml:"URL" doc:"Where it listens, such as http://127.0.0.1:8000." need:"yes"`
}

// OperatorSetting is an operator who may call the operators' RPC.
type OperatorSetting struct {
	Name    string `yaml:"Name" doc:"The name that accepted changes are logged under." need:"yes"`
	KeyHash string `yaml:"KeyHash" doc:"Hex SHA-256 sum of the operator's key." need:"yes"`
}

// Kinds of endpoints.
const (
	KindEngine  = "Engine"
	KindService = "Service"
)

// Defaults sets the settings that were left out to their defaults.
func (se *Settings) Defaults() {
	defaultTo(&se.MaxBodyBytes, 8<<20)
	defaultTo(&se.BodyTimeout, 10*time.Second)
	defaultTo(&se.WriteTimeout, 30*time.Second)
	defaultTo(&se.DefaultDeadline, 2*time.Minute)
	defaultTo(&se.MaxDeadline, time.Hour)
	defaultTo(&se.StallTimeout, 30*time.Second)
	defaultTo(&se.DrainDelay, 3*time.Second)
	defaultTo(&se.DrainTimeout, 10*time.Minute)
	defaultTo(&se.HandOverTimeout, 20*time.Second)
	defaultTo(&se.HandOverBytes, 64<<30)
	defaultTo(&se.ControlBytesPerSecond, 2500)
	defaultTo(&se.RetryRatio, 0.1)
	defaultTo(&se.MaxConnections, 512)
	defaultTo(&se.MaxChats, 20000)
	defaultTo(&se.KeepChats, 6*time.Hour)
	defaultTo(&se.KeyWindow, 15*time.Minute)
	defaultTo(&se.ClaimShards, 64)
	defaultTo(&se.MemoryMB, 1024)
	defaultTo(&se.LogLevel, "info")
}

func defaultTo[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// ReadSettings decodes and validates the settings of a process with the given role. An error is of
// type Problems.
func ReadSettings(file string, data []byte, ro core.Role) (*Settings, error) {
	var se Settings
	if err := DecodeStrict(file, data, &se); err != nil {
		return nil, err
	}
	ch := &settingsChecker{file: file, objectLines: ObjectLines(data), keyLines: keyLines(data)}
	ch.checkSettings(&se, ro)
	if len(ch.problems) > 0 {
		return nil, ch.problems
	}
	se.Defaults()
	return &se, nil
}

type settingsChecker struct {
	file        string
	objectLines map[string]int
	keyLines    map[string]int
	problems    Problems
}

func (ch *settingsChecker) addProblem(line int, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	ch.problems = append(ch.problems, fmt.Sprintf("%s:%d: %s", ch.file, max(1, line), text))
}

func (ch *settingsChecker) checkPresent(key, value, what string) {
	if value == "" {
		ch.addProblem(ch.keyLines[key], "%s is missing: expected %s", key, what)
	}
}

func (ch *settingsChecker) checkAddr(key, value string) {
	if value == "" {
		ch.addProblem(ch.keyLines[key], "%s is missing: expected an IP address and port, such as 10.0.0.5:7000", key)
		return
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		ch.addProblem(ch.keyLines[key], "%s: %q is not an IP address and port, such as 10.0.0.5:7000", key, value)
	}
}

func (ch *settingsChecker) checkSettings(se *Settings, ro core.Role) {
	ch.checkPresent("Name", string(se.Name), "the VM's name")
	ch.checkPresent("Zone", string(se.Zone), "the VM's availability zone")
	ch.checkPresent("Region", string(se.Region), "the VM's region")
	ch.checkAddr("PeersAddr", se.PeersAddr)
	ch.checkAddr("AdminAddr", se.AdminAddr)
	ch.checkAddr("KVAddr", se.KVAddr)
	ch.checkAddr("VMsAddr", se.VMsAddr)
	if ro == core.RoleRouter {
		ch.checkAddr("CallersAddr", se.CallersAddr)
	}
	if ro == core.RoleAgent && len(se.Endpoints) == 0 {
		ch.addProblem(ch.keyLines["Endpoints"], "Endpoints is missing: expected at least one endpoint")
	}
	ch.checkNumbers(se)
	for _, op := range se.Operators {
		if raw, err := hex.DecodeString(op.KeyHash); err != nil || len(raw) != 32 || op.Name == "" {
			ch.addProblem(ch.objectLines["Operators/"+op.Name], "operator %q needs a Name, and a KeyHash of 64 hexadecimal digits", op.Name)
		}
	}
	for _, ep := range se.Endpoints {
		ch.checkEndpoint(ep)
	}
}

func (ch *settingsChecker) checkNumbers(se *Settings) {
	for key, value := range map[string]float64{
		"MaxBodyBytes": float64(se.MaxBodyBytes), "BodyTimeout": float64(se.BodyTimeout),
		"WriteTimeout": float64(se.WriteTimeout), "DefaultDeadline": float64(se.DefaultDeadline),
		"MaxDeadline":  float64(se.MaxDeadline),
		"StallTimeout": float64(se.StallTimeout), "DrainDelay": float64(se.DrainDelay),
		"DrainTimeout": float64(se.DrainTimeout), "RetryRatio": se.RetryRatio,
		"ControlBytesPerSecond": float64(se.ControlBytesPerSecond), "MaxConnections": float64(se.MaxConnections),
		"MaxChats": float64(se.MaxChats), "KeepChats": float64(se.KeepChats),
		"HandOverTimeout": float64(se.HandOverTimeout), "MemoryMB": float64(se.MemoryMB),
		"MaxDescriptors": float64(se.MaxDescriptors), "FileDescriptors": float64(se.FileDescriptors),
		"KeyWindow": float64(se.KeyWindow), "ClaimShards": float64(se.ClaimShards),
	} {
		if value < 0 {
			ch.addProblem(ch.keyLines[key], "%s must not be negative", key)
		}
	}
	if se.HandOverBytes < -1 {
		ch.addProblem(ch.keyLines["HandOverBytes"], "HandOverBytes must be -1, to move none, or more")
	}
	ch.checkLevel(se.LogLevel)
}

func (ch *settingsChecker) checkLevel(level string) {
	if !strings.Contains(" debug info warn error ", " "+level+" ") && level != "" {
		ch.addProblem(ch.keyLines["LogLevel"], "LogLevel: %q is not debug, info, warn or error", level)
	}
}

func (ch *settingsChecker) checkEndpoint(ep EndpointSetting) {
	line := ch.objectLines["Endpoints/"+string(ep.Name)]
	if ep.Name == "" || ep.Pool == "" {
		ch.addProblem(line, "an endpoint needs Name and Pool")
	}
	if ep.Kind != KindEngine && ep.Kind != KindService {
		ch.addProblem(line, "endpoint %s: Kind: %q is not Engine or Service", ep.Name, ep.Kind)
	}
	if ur, err := url.Parse(ep.URL); err != nil || ur.Scheme != "http" || ur.Host == "" {
		ch.addProblem(line, "endpoint %s: URL: %q is not a URL such as http://127.0.0.1:8000", ep.Name, ep.URL)
	}
}

// ReadDeclarations decodes and validates a document of declarations. An error is of type Problems.
func ReadDeclarations(file string, data []byte) (*decl.Document, error) {
	var doc decl.Document
	if err := DecodeStrict(file, data, &doc); err != nil {
		return nil, err
	}
	lines := ObjectLines(data)
	var pr Problems
	for _, found := range decl.Check(&doc) {
		kind, name, _ := strings.Cut(found.Object, " ")
		line := lines[kind+"s/"+name]
		if at := lines[kind+"s/"+name+"/"+found.Field]; at > 0 {
			line = at
		}
		pr = append(pr, fmt.Sprintf("%s:%d: %s", file, max(1, line), found))
	}
	if len(pr) > 0 {
		return nil, pr
	}
	return decl.Apply(&decl.Document{}, &decl.Delta{Set: doc}), nil
}
