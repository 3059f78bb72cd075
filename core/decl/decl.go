// Package decl defines the declarations that operators keep under version control and the immutable
// configuration compiled from them.
//
// # Concepts
//
// A Document is the whole set of declarations at one revision. A Delta is the change from one
// Document to the next. A Config is a Document compiled for lookups while requests are served. It is
// immutable, so goroutines share it without locks.
//
// # Invariants
//
//   - Names are unique across pools and services: a service is a pool too.
//   - Check reports all problems, not only the first one.
//   - Compile is only called with documents in which Check found no problem.
//
// # Usage
//
//	problems := decl.Check(doc)
//	cfg := decl.Compile(doc, revision)
//	cu := cfg.CustomerByKeyHash(sha256.Sum256(key))
package decl

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
	"time"

	"almondrill/core"
)

// Document is the whole set of declarations.
type Document struct {
	Customers []Customer `yaml:"Customers,omitempty" json:",omitempty" doc:"Who may call, with which keys and shares."`
	Pools     []Pool     `yaml:"Pools,omitempty" json:",omitempty" doc:"Groups of engines that serve the same model."`
	Services  []Service  `yaml:"Services,omitempty" json:",omitempty" doc:"Groups of plain services."`
	Endpoints []Endpoint `yaml:"Endpoints,omitempty" json:",omitempty" doc:"What single endpoints check themselves."`
}

// Customer may call the pools and services it has a share in.
type Customer struct {
	Name core.CustomerID `yaml:"Name" doc:"Unique name."`
	// KeyHashes are hex SHA-256 sums; the keys themselves are never declared.
	KeyHashes []string `yaml:"KeyHashes,omitempty" json:",omitempty" doc:"Hex SHA-256 sums of its bearer keys."`
	// Shares are relative weights per pool or service.
	Shares map[core.PoolID]float64 `yaml:"Shares,omitempty" json:",omitempty" doc:"Relative share per pool or service; above 0."`
	// MaxPriority bounds the priority that its calls may request.
	MaxPriority core.Priority `yaml:"MaxPriority,omitempty" json:",omitempty" doc:"Highest priority its calls may ask for: 0 batch, 1 normal, 2 high, 3 urgent. 0 means 3."`
}

// Limits bound the work of a pool's endpoints.
type Limits struct {
	LoadFactor float64   `yaml:"LoadFactor,omitempty" json:",omitempty" doc:"No endpoint is given work beyond this multiple of the pool's mean load. At least 1; 0 means 1.25."`
	FloorWork  core.Work `yaml:"FloorWork,omitempty" json:",omitempty" doc:"Load, in token equivalents, up to which the multiple is not applied. 0 means 4096."`
	Slots      int       `yaml:"Slots,omitempty" json:",omitempty" doc:"Calls that run on one endpoint at a time. 0 means 32."`
	Headroom   float64   `yaml:"Headroom,omitempty" json:",omitempty" doc:"Part of Slots kept for customers within their share. Higher shields them better from a surge and leaves more slots unused in it. Below 0.9; 0 means 0.125."`
	QueueCalls int       `yaml:"QueueCalls,omitempty" json:",omitempty" doc:"Calls that wait for one endpoint. 0 means 64."`
}

// Pool is a group of engines with the same model.
type Pool struct {
	Name      core.PoolID `yaml:"Name" doc:"Unique name."`
	Model     string      `yaml:"Model,omitempty" json:",omitempty" doc:"Model name that callers give."`
	Version   string      `yaml:"Version,omitempty" json:",omitempty" doc:"Model version its engines are to run. Empty: its engines are given no orders, and Adapters and Role do nothing."`
	Adapters  []string    `yaml:"Adapters,omitempty" json:",omitempty" doc:"Adapters its engines are to load."`
	Role      string      `yaml:"Role,omitempty" json:",omitempty" doc:"Prefill, Decode or Both; empty means Both."`
	ReuseBias float64     `yaml:"ReuseBias,omitempty" json:",omitempty" doc:"How much work a call must save by moving, as a multiple of prefilling its context anew: higher keeps chats where their context is, lower evens load out sooner. 0 means 64."`
	Minimum   int         `yaml:"Minimum,omitempty" json:",omitempty" doc:"Engines that keep serving while a version rolls. 0 means 1."`
	Limits    `yaml:",inline"`
}

// Service is a group of plain services.
type Service struct {
	Name      core.PoolID `yaml:"Name" doc:"Unique name, as in /v1/services/{Name}/."`
	MayRepeat []string    `yaml:"MayRepeat,omitempty" json:",omitempty" doc:"HTTP methods that may run twice. Empty means GET, HEAD, OPTIONS."`
	Limits    `yaml:",inline"`
}

// Endpoint declares which checks an endpoint makes itself.
type Endpoint struct {
	Name core.EndpointID `yaml:"Name" doc:"Unique name, as in the agent's settings."`
	// ChecksFence: it refuses orders with an old fencing number on its own.
	ChecksFence bool `yaml:"ChecksFence,omitempty" json:",omitempty" doc:"It refuses orders with an old fencing number itself."`
	// EchoesAttempt: its answers carry the attempt id they are for.
	EchoesAttempt bool `yaml:"EchoesAttempt,omitempty" json:",omitempty" doc:"Its answers carry the attempt id; one without is refused as crossed."`
}

// Defaults of settings that are left out.
const (
	DefaultLoadFactor = 1.25
	DefaultFloorWork  = core.Work(4096)
	DefaultSlots      = 32
	DefaultQueueCalls = 64
	DefaultHeadroom   = 0.125
	DefaultReuseBias  = 64.0
)

// Group is a compiled pool or service.
type Group struct {
	Limits
	ID         core.PoolID
	Model      string
	Service    bool
	ReuseBias  float64
	Hash       uint64
	idempotent map[string]bool
}

// MayRepeat reports whether calls with that HTTP method are idempotent, so that they may run twice.
func (gr *Group) MayRepeat(method string) bool { return gr.idempotent[method] }

// Config is a Document compiled for lookups while requests are served.
type Config struct {
	Revision core.Revision
	Document *Document

	byKey   map[uint64][]keyEntry
	byName  map[core.CustomerID]*Customer
	groups  map[core.PoolID]*Group
	byModel map[string][]*Group
	checks  map[core.EndpointID]Endpoint
}

type keyEntry struct {
	sum      [sha256.Size]byte
	customer *Customer
}

// Compile compiles a document in which Check found no problem.
func Compile(doc *Document, rev core.Revision) *Config {
	cfg := &Config{
		Revision: rev, Document: doc,
		byKey:   map[uint64][]keyEntry{},
		byName:  map[core.CustomerID]*Customer{},
		groups:  map[core.PoolID]*Group{},
		byModel: map[string][]*Group{},
		checks:  map[core.EndpointID]Endpoint{},
	}
	for ix := range doc.Customers {
		cfg.addCustomer(&doc.Customers[ix])
	}
	for _, po := range doc.Pools {
		gr := newGroup(po.Name, po.Limits)
		gr.Model = po.Model
		gr.ReuseBias = orDefault(po.ReuseBias, DefaultReuseBias)
		cfg.groups[po.Name] = gr
		cfg.byModel[po.Model] = append(cfg.byModel[po.Model], gr)
	}
	for _, se := range doc.Services {
		gr := newGroup(se.Name, se.Limits)
		gr.Service = true
		gr.idempotent = idempotentMethods(se.MayRepeat)
		cfg.groups[se.Name] = gr
	}
	for _, ep := range doc.Endpoints {
		cfg.checks[ep.Name] = ep
	}
	return cfg
}

func (cfg *Config) addCustomer(cu *Customer) {
	cfg.byName[cu.Name] = cu
	for _, text := range cu.KeyHashes {
		var sum [sha256.Size]byte
		raw, err := hex.DecodeString(text)
		if err != nil {
			continue
		}
		copy(sum[:], raw)
		short := binary.BigEndian.Uint64(sum[:])
		cfg.byKey[short] = append(cfg.byKey[short], keyEntry{sum, cu})
	}
}

// CustomerByKeyHash finds the customer with the bearer key of that SHA-256 sum, nil if there is
// none. The full sums are compared in constant time, so that timing reveals nothing of a stored sum
// beyond its first eight bytes, from which no key can be derived.
func (cfg *Config) CustomerByKeyHash(sum [sha256.Size]byte) *Customer {
	var found *Customer
	for _, ke := range cfg.byKey[binary.BigEndian.Uint64(sum[:])] {
		if subtle.ConstantTimeCompare(ke.sum[:], sum[:]) == 1 {
			found = ke.customer
		}
	}
	return found
}

// Group finds a pool or service, nil if there is none.
func (cfg *Config) Group(id core.PoolID) *Group { return cfg.groups[id] }

// PoolForModel finds the customer's pool with that model, nil if it has none.
func (cfg *Config) PoolForModel(cu *Customer, model string) *Group {
	for _, gr := range cfg.byModel[model] {
		if cu.Shares[gr.ID] > 0 {
			return gr
		}
	}
	return nil
}

// Share returns the customer's relative weight in a pool; 1 if unknown.
func (cfg *Config) Share(cu core.CustomerID, po core.PoolID) float64 {
	if found := cfg.byName[cu]; found != nil && found.Shares[po] > 0 {
		return found.Shares[po]
	}
	return 1
}

// Checks returns what an endpoint checks itself; an undeclared one checks nothing.
func (cfg *Config) Checks(ep core.EndpointID) Endpoint { return cfg.checks[ep] }

func newGroup(id core.PoolID, li Limits) *Group {
	return &Group{
		ID:   id,
		Hash: HashName(string(id)),
		Limits: Limits{
			LoadFactor: orDefault(li.LoadFactor, DefaultLoadFactor),
			FloorWork:  orDefault(li.FloorWork, DefaultFloorWork),
			Slots:      orDefault(li.Slots, DefaultSlots),
			QueueCalls: orDefault(li.QueueCalls, DefaultQueueCalls),
			Headroom:   orDefault(li.Headroom, DefaultHeadroom),
		},
		ReuseBias: 1,
	}
}

func idempotentMethods(methods []string) map[string]bool {
	if len(methods) == 0 {
		methods = []string{"GET", "HEAD", "OPTIONS"}
	}
	set := map[string]bool{}
	for _, me := range methods {
		set[me] = true
	}
	return set
}

func orDefault[T float64 | int | core.Work | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
