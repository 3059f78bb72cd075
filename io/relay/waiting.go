package relay

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/demand"
	"almondrill/core/migr"
	"almondrill/core/waitq"
)

// WaitingPath is the HTTP path at which operators see what waits at the router.
const WaitingPath = "/debug/waiting"

// Waiting is the response to GET WaitingPath.
type Waiting struct {
	Pools []WaitingPool
	// Engines are those that are not at their usual speed.
	Engines []EngineSpeed
	// Migrations are those of running streams, nil if none can migrate.
	Migrations *Migrations `json:",omitempty"`
}

// Migrations is the state of the migrations of running streams at this router.
type Migrations struct {
	// Streams can migrate, Running do now.
	Streams, Running int
	// ByReason counts since the start.
	ByReason map[migr.Reason]migr.Counts
}

// WaitingPool is the state of a plain pool at this router.
type WaitingPool struct {
	Pool core.PoolID
	// Owner is the address of the router that divides the pool's capacity.
	Owner            string
	Running, Waiting int
	// Places is how many calls this router may have at the pool's endpoints, 0 if it is not limited.
	// Limited says how it was found, see waitq.Snapshot.
	Places  float64
	Limited string
	CallMs  float64
	// Level is the last level of the pool, nil if there was none.
	Level     *WaitingLevel `json:",omitempty"`
	Customers []WaitingCustomer
	// Totals counts since the start.
	Totals waitq.Counts
}

// WaitingLevel is the last level that the pool's owner published.
type WaitingLevel struct {
	Places, OfferedPer10s, CallMs int
	AgeMs                         int64
	InForce                       bool
}

// WaitingCustomer is the state of one customer at one rank. Its counts cover the last 10 s.
type WaitingCustomer struct {
	// Customer is its id, or the hash of it if no request of it has passed this router.
	Customer string
	Rank     int
	Running  int
	Waiting  int
	// Admit is the fraction of its requests that the level admits.
	Admit  float64
	Recent waitq.Counts
}

// EngineSpeed is an engine that is not at its usual speed.
type EngineSpeed struct {
	Engine core.EndpointID
	// Time is how long work takes there, in percent of the usual time.
	Time int
	// SinceMs is how many milliseconds ago the router learned of it.
	SinceMs int64
	// Learned is set if routers learned the time from their streams at the engine, which does not
	// report it.
	Learned bool `json:",omitempty"`
}

// WaitingHandler serves what waits at this router, as JSON.
func (re *Relay) WaitingHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+WaitingPath, func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", "application/json; charset=utf-8")
		if err := json.NewEncoder(wr).Encode(re.waiting(time.Now())); err != nil {
			re.Log.Info("Writing the list of waiting requests failed.", zap.Error(err))
		}
	})
	return mux
}

func (re *Relay) waiting(now time.Time) *Waiting {
	out := &Waiting{Pools: []WaitingPool{}, Engines: []EngineSpeed{}}
	for _, pq := range re.allQueues() {
		out.Pools = append(out.Pools, pq.view(now))
	}
	if re.EngineSpeeds != nil {
		out.Engines = append(out.Engines, re.EngineSpeeds(now)...)
	}
	if planner := re.migrations.currentPlanner(); planner != nil {
		sn := planner.Snapshot(now)
		out.Migrations = &Migrations{Streams: sn.Runs, Running: sn.Running, ByReason: sn.ByReason}
	}
	return out
}

// view returns the pool's state for operators.
func (pq *poolQueue) view(now time.Time) WaitingPool {
	sn := pq.queue.Snapshot(now)
	wp := WaitingPool{
		Pool: pq.pool, Running: sn.Running, Waiting: sn.Waiting, Places: sn.Places, Limited: sn.Limited,
		CallMs: float64(sn.CallTime) / float64(time.Millisecond), Totals: sn.Totals,
	}
	if pq.re.LevelOwner != nil {
		wp.Owner = pq.re.LevelOwner(pq.queue.Pool)
	}
	if le := &sn.Level; le.AtMs > 0 {
		wp.Level = &WaitingLevel{
			Places: int(le.Places), OfferedPer10s: int(le.OfferedPer10s), CallMs: int(le.CallMs),
			AgeMs: sn.LevelAge.Milliseconds(), InForce: sn.LevelInForce,
		}
	}
	wp.Customers = pq.customers(sn.Customers)
	return wp
}

// customers returns the customers for operators, by rank and name. The queue may have forgotten some
// whose calls still run.
func (pq *poolQueue) customers(queued []waitq.CustomerSnapshot) []WaitingCustomer {
	pq.customersMu.Lock()
	defer pq.customersMu.Unlock()
	running := maps.Clone(pq.running)
	all := []WaitingCustomer{}
	for _, cu := range queued {
		who := customerRank{cu.Customer, cu.Rank}
		all = append(all, WaitingCustomer{
			Customer: pq.nameOf(cu.Customer), Rank: int(cu.Rank), Running: running[who], Waiting: cu.Waiting, Admit: cu.Admit, Recent: cu.Recent,
		})
		delete(running, who)
	}
	for who, count := range running {
		all = append(all, WaitingCustomer{Customer: pq.nameOf(who.customer), Rank: int(who.rank), Running: count, Admit: 1})
	}
	slices.SortFunc(all, func(a, b WaitingCustomer) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Customer, b.Customer))
	})
	return all
}

// nameOf returns a customer's name; the lock is held.
func (pq *poolQueue) nameOf(hash demand.CustomerHash) string {
	if id, known := pq.names[hash]; known {
		return string(id)
	}
	return "#" + strconv.FormatUint(uint64(hash), 16)
}
