// Package route finds what a request asks for: its route, its customer and the
// pool that serves it.
//
// # Concepts
//
// A Table is one accepted version of the operator's routes, pools, customers and
// limits, compiled for reading by traffic. It never changes; a later version is
// another Table.
//
// # Invariants
//
//   - Of the routes of a host, the one with the longest prefix that begins the
//     path is found, whatever their order.
//   - Compile refuses a document as a whole or takes it as a whole.
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

// Version numbers the operator's documents. It rises in uneven steps.
type Version uint64

// Kind says what of a route's requests may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// OnceOnly requests run at most once for each attempt of the caller.
	OnceOnly
	// Stream requests answer with events; they run once unless Resumable.
	Stream
)

var kindNames = [...]string{"Idempotent", "OnceOnly", "Stream"}

// String is the kind's name in logs.
func (ki Kind) String() string { return kindNames[ki] }

// Route is one kind of request.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting for the whole
	// answer, Goal the time to its beginning for which it is on time.
	Timeout       time.Duration
	FirstByteGoal time.Duration
	// GapGoal is the longest pause between events of an answer that is on time.
	GapGoal time.Duration
	// Rank orders routes by urgency; 0 is most urgent.
	Rank int
	// Split divides the requests among pools by weight.
	Split []PoolShare
	// MaxAttempts bounds how many endpoints one request is sent to.
	MaxAttempts int
	// Public routes need no customer.
	Public bool
	// Sticky routes carry the parts of their prompt.
	Sticky bool
	// Resumable streams may go on at another endpoint behind their last event.
	Resumable bool
	// HomeRegions are the regions to whose endpoints its requests may go; none is all.
	HomeRegions []core.Region
}

// PoolShare is a pool's part of a route.
type PoolShare struct {
	Pool   core.PoolID
	Weight float64
}

// MayRepeat tells whether a request that may have run may be sent again.
func (ro *Route) MayRepeat() bool { return ro.Kind == Idempotent || ro.Resumable }

// Pool picks a pool by weight; draw is uniform in [0, 1).
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
	// MaxConns is how many connections one of its endpoints takes from all
	// routers together.
	MaxConns int
	// Engine is set for pools of model engines, Slots to the requests that one
	// of them runs at a time (0: its registration says).
	Engine bool
	Slots  int
	// CacheTokens is what an engine keeps of contexts.
	CacheTokens core.Tokens
	// FetchTokensPerMs is how many kept tokens one of them takes over from another in a
	// millisecond; 0 if they cannot.
	FetchTokensPerMs float64
	// ColdDuration is how long an endpoint is cold after its start, and ColdRate how many requests
	// a second it tolerates then; 0 if none is declared.
	ColdDuration time.Duration
	ColdRate     float64
}

// Customer owns keys.
type Customer struct {
	ID core.CustomerID
	// Rank, where Ranked, goes before the route's.
	Rank    int
	HasRank bool
	// HomeRegions are the regions to whose endpoints its requests may go; none is all.
	HomeRegions []core.Region
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeader     core.Bytes
	MaxBody       core.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Document is what a Table is compiled from.
type Document struct {
	Version   Version
	Routes    []Route
	Pools     []Pool
	Customers []Customer
	// Keys names the customer of each key. Keyed is set if requests need one.
	Keys        map[string]core.CustomerID
	KeyRequired bool
	Limits      Limits
}

// Table is a Document compiled for traffic.
type Table struct {
	Version     Version
	Limits      Limits
	KeyRequired bool
	hosts       map[string][]*Route
	pools       map[core.PoolID]*Pool
	customers   map[core.CustomerID]*Customer
	keys        map[string]core.CustomerID
}

// Compile checks a document and makes its Table. The error lists everything that
// is wrong.
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

// check says what is wrong with a route, "" if nothing is.
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

// HomeRegionsOf are the regions to whose endpoints a request may go: where its route and its customer,
// which may be nil, both have homes, both bind. all is set if it may go to any.
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

// Find is the route of a request, nil if there is none. The host may carry a port.
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

// Pool is the pool of that name, nil if there is none.
func (ta *Table) Pool(id core.PoolID) *Pool { return ta.pools[id] }

// CustomerByKey is the customer that holds the key, nil if none does.
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

// Counts are the numbers of routes and customers, for logs.
func (ta *Table) Counts() (routes, customers int) {
	for _, list := range ta.hosts {
		routes += len(list)
	}
	return routes, len(ta.customers)
}
