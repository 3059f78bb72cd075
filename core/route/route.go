// Package route determines the route, the customer and the pool of a request.
//
// # Concepts
//
// A Table is one accepted version of the operator's routes, pools, customers and limits, compiled
// for lookups by traffic. It is immutable; a later version is a new Table.
//
// # Invariants
//
//   - Find returns the route of the host with the longest matching path prefix, regardless of the
//     order in the document.
//   - Compile accepts or rejects a document as a whole.
//
// # Usage
//
//	ta, err := route.Compile(&doc)
//	ro := ta.Find("chat.example", "/summaries/7")
//	pool := ro.Pool(draw)
package route

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"almondrill/core"
)

// Version numbers the operator's documents. It increases, but not necessarily by 1.
type Version uint64

// Kind determines whether the requests of a route may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// OnceOnly requests run at most once per attempt of the caller.
	OnceOnly
	// Stream requests are answered with a stream of events; they run once unless Resumable.
	Stream
)

var kindNames = [...]string{"Idempotent", "OnceOnly", "Stream"}

// String returns the kind's name in logs.
func (ki Kind) String() string { return kindNames[ki] }

// Route configures the requests to a host with a path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time until the caller has the whole answer. FirstByteGoal is the target for
	// the time until the answer begins.
	Timeout       time.Duration
	FirstByteGoal time.Duration
	// GapGoal is the target for the longest pause between events of an answer.
	GapGoal time.Duration
	// Rank orders routes by urgency; 0 is most urgent.
	Rank int
	// Split distributes the requests over pools by weight.
	Split []PoolShare
	// MaxAttempts bounds the number of endpoints that a request is sent to.
	MaxAttempts int
	// Public routes need no customer.
	Public bool
	// Sticky requests carry the segments of their prompt, so that they can be sent to an endpoint
	// that has them cached.
	Sticky bool
	// Resumable streams may continue at another endpoint after the last event delivered.
	Resumable bool
	// HomeRegions are the regions whose endpoints may serve the requests; empty means all.
	HomeRegions []core.Region
}

// PoolShare is a pool's weight in a route's Split.
type PoolShare struct {
	Pool   core.PoolID
	Weight float64
}

// MayRepeat reports whether a request that may have run may be sent again.
func (ro *Route) MayRepeat() bool { return ro.Kind == Idempotent || ro.Resumable }

// Pool selects a pool by weight; draw is a uniform random number in [0, 1).
func (ro *Route) Pool(draw float64) core.PoolID {
	var sum float64
	for _, sh := range ro.Split {
		sum += sh.Weight
	}
	at := draw * sum
	for _, sh := range ro.Split {
		at -= sh.Weight
		if at < 0 {
			return sh.Pool
		}
	}
	return ro.Split[len(ro.Split)-1].Pool
}

// Pool is a group of endpoints that answer the same requests.
type Pool struct {
	ID core.PoolID
	// MaxConns is the number of connections that one endpoint accepts from all routers together.
	MaxConns int
	// Engine is set for pools of model engines. Slots is the number of requests that one engine runs
	// concurrently; 0 means that the engine's registration states it.
	Engine bool
	Slots  int
	// CacheTokens is the number of tokens of contexts that an engine can cache.
	CacheTokens core.Tokens
	// FetchTokensPerMs is the number of cached tokens that an engine can fetch from another one per
	// millisecond; 0 if engines cannot fetch.
	FetchTokensPerMs float64
	// ColdDuration is how long an endpoint counts as cold after its start. ColdRate is the number of
	// requests per second that it tolerates while cold. 0 means not declared.
	ColdDuration time.Duration
	ColdRate     float64
	// Moves is set if the pool's engines can copy the memory of a running stream to one another.
	// HandleTTL is how long an engine keeps a copy that is not used.
	Moves     bool
	HandleTTL time.Duration
}

// Customer is a customer whose API keys the operator has configured.
type Customer struct {
	ID core.CustomerID
	// Rank, if HasRank is set, overrides the route's rank.
	Rank    int
	HasRank bool
	// HomeRegions are the regions whose endpoints may serve its requests; empty means all.
	HomeRegions []core.Region
}

// Limits bounds the size of a caller's request and the time to send it.
type Limits struct {
	MaxHeader     core.Bytes
	MaxBody       core.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is the source from which a Table is compiled.
type Document struct {
	Version   Version
	Routes    []Route
	Pools     []Pool
	Customers []Customer
	// Keys maps API keys to customers. KeyRequired is set if requests must have a key.
	Keys        map[string]core.CustomerID
	KeyRequired bool
	Limits      Limits
}

// Table is a Document compiled for lookups by traffic.
type Table struct {
	Version     Version
	Limits      Limits
	KeyRequired bool
	hosts       map[string][]*Route
	pools       map[core.PoolID]*Pool
	customers   map[core.CustomerID]*Customer
	keys        map[string]core.CustomerID
}

// Compile validates a document and compiles its Table. The error lists the first problem of every
// invalid route.
func Compile(doc *Document) (*Table, error) {
	ta := &Table{
		Version: doc.Version, Limits: doc.Limits, KeyRequired: doc.KeyRequired, keys: doc.Keys,
		hosts: map[string][]*Route{}, pools: map[core.PoolID]*Pool{}, customers: map[core.CustomerID]*Customer{},
	}
	for ix := range doc.Pools {
		ta.pools[doc.Pools[ix].ID] = &doc.Pools[ix]
	}
	for ix := range doc.Customers {
		ta.customers[doc.Customers[ix].ID] = &doc.Customers[ix]
	}
	var problems []string
	for ix := range doc.Routes {
		ro := &doc.Routes[ix]
		if what := ta.check(ro); what != "" {
			problems = append(problems, fmt.Sprintf("route %s: %s", ro.Name, what))
		}
		host := strings.ToLower(ro.Host)
		ta.hosts[host] = append(ta.hosts[host], ro)
	}
	if len(problems) > 0 {
		return nil, fmt.Errorf("version %d: %s", doc.Version, strings.Join(problems, "; "))
	}
	for _, list := range ta.hosts {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return ta, nil
}

// check returns the first problem of a route, "" if it is valid.
func (ta *Table) check(ro *Route) string {
	switch {
	case !strings.HasPrefix(ro.Prefix, "/") || !strings.HasSuffix(ro.Prefix, "/"):
		return fmt.Sprintf("prefix %q does not begin and end with a slash", ro.Prefix)
	case ro.Timeout <= 0:
		return "has no timeout"
	case ro.MaxAttempts < 1:
		return "allows no attempt"
	case len(ro.Split) == 0:
		return "names no pool"
	}
	for _, sh := range ro.Split {
		if ta.pools[sh.Pool] == nil {
			return fmt.Sprintf("names unknown pool %q", sh.Pool)
		}
		if !(sh.Weight >= 0) {
			return fmt.Sprintf("gives pool %q the weight %g", sh.Pool, sh.Weight)
		}
	}
	return ""
}

// HomeRegionsOf returns the regions whose endpoints may serve a request: the home regions of its
// route or of its customer, or the intersection if both have some. cu may be nil. all is set if
// endpoints of any region may serve it.
func HomeRegionsOf(ro *Route, cu *Customer) (homes []core.Region, all bool) {
	switch {
	case cu == nil || len(cu.HomeRegions) == 0:
		return ro.HomeRegions, len(ro.HomeRegions) == 0
	case len(ro.HomeRegions) == 0:
		return cu.HomeRegions, false
	}
	for _, region := range ro.HomeRegions {
		if slices.Contains(cu.HomeRegions, region) {
			homes = append(homes, region)
		}
	}
	return homes, false
}

// Find returns the route of a request, nil if there is none. The host may include a port.
func (ta *Table) Find(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, ro := range ta.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, ro.Prefix) {
			return ro
		}
	}
	return nil
}

// Pool returns the pool with that id, nil if there is none.
func (ta *Table) Pool(id core.PoolID) *Pool { return ta.pools[id] }

// Pools returns all pools, ordered by id.
func (ta *Table) Pools() []*Pool {
	all := make([]*Pool, 0, len(ta.pools))
	for _, po := range ta.pools {
		all = append(all, po)
	}
	slices.SortFunc(all, func(a, b *Pool) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return all
}

// CustomerByKey returns the customer that owns the key, nil if there is none.
func (ta *Table) CustomerByKey(key string) *Customer {
	id, known := ta.keys[key]
	if !known {
		return nil
	}
	if cu := ta.customers[id]; cu != nil {
		return cu
	}
	return &Customer{ID: id}
}

// Counts returns the numbers of routes and customers, for logs.
func (ta *Table) Counts() (routes, customers int) {
	for _, list := range ta.hosts {
		routes += len(list)
	}
	return routes, len(ta.customers)
}
