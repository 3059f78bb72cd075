package entry

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/core/route"
	"almondrill/io/stats"
)

// view puts what the store says in force.
type view struct {
	pr  *Process
	log *zap.Logger

	mu        sync.Mutex                // guards all below
	departing map[core.EndpointID]bool  // doubted, as their registrations are missing
	known     map[core.EndpointID]known // endpoints with a usable registration
	unusable  map[core.EndpointID]string
	// at is which endpoint has an address, by the latest registration that names it.
	at map[string]core.EndpointID
	// departed are the last starts of endpoints whose registrations are gone, and when they went;
	// returned are those that are back though the store may have brought them from a copy.
	departed map[core.EndpointID]departure
	returned map[core.EndpointID]place.Endpoint
	zones    zones
}

// departure is a start of an endpoint that is gone.
type departure struct {
	start core.Incarnation
	at    time.Time
}

// departedFor is how long departures are remembered: a copy from which the store comes back is some
// seconds old.
const departedFor = time.Minute

// known is what was last registered of an endpoint, and in which version of the store.
type known struct {
	addr     string
	start    core.Incarnation
	draining bool
	rev      core.Version
}

// sameAs tells that two registrations differ in their versions at most.
func (kn known) sameAs(other known) bool {
	other.rev = kn.rev
	return kn == other
}

// changed takes an item that is new to the mirror. A fault that the item brings about must not
// end the process: all routers read the same store, and read it again when they start.
func (vi *view) changed(it core.Item) {
	defer vi.survive(it)
	what, err := vi.pr.Platform.Decode(it)
	if err != nil {
		vi.log.Warn("Cannot use an item of the store; what is in force stays.", zap.String("Key", it.Key),
			zap.Stringer("Rev", it.Rev), zap.Error(err))
		return
	}
	switch what := what.(type) {
	case *route.Document:
		vi.adopt(what, it.Rev)
	case place.Endpoint:
		vi.register(what, it.Rev)
	case Departure:
		vi.depart(what.ID, it.Rev)
	case Evacuation:
		vi.evacuate(what, it.Rev)
	case Unusable:
		vi.reject(&what, it.Rev)
	case core.Quarantine:
		vi.pr.guard.EntryStored(what)
	case Released:
		vi.pr.guard.EntryRemoved(what.Request, what.Rev)
	case PeerAddr:
		vi.pr.peers.Add(string(what))
	}
}

// survive tells of a fault and lets the process go on; what was in force before the item stays.
func (vi *view) survive(it core.Item) {
	fault := recover()
	if fault == nil {
		return
	}
	vi.pr.Stats.Add(stats.ItemsFailed, 1)
	vi.log.Error("An item of the store brought a fault about; it is passed over.", zap.String("Key", it.Key),
		zap.Stringer("Rev", it.Rev), zap.Any("Fault", fault), zap.StackSkip("Stack", 1))
}

// adopt puts a configuration in force unless a later one is.
func (vi *view) adopt(doc *route.Document, rev core.Version) {
	old := vi.pr.relay.Table()
	if old != nil && doc.Version == old.Version {
		vi.log.Info("The configuration in force was written again.", zap.Uint64("Version", uint64(doc.Version)), zap.Stringer("Rev", rev))
		return
	}
	if old != nil && doc.Version < old.Version {
		vi.log.Warn("Refused an older configuration.", zap.Uint64("Version", uint64(doc.Version)),
			zap.Uint64("InForce", uint64(old.Version)), zap.Stringer("Rev", rev))
		return
	}
	ta, err := route.Compile(doc)
	if err != nil {
		vi.log.Warn("Refused a configuration; the one in force stays.", zap.Stringer("Rev", rev), zap.Error(err))
		return
	}
	vi.pr.relay.SetTable(ta)
	vi.pr.times.set(ta.Limits.IdleTimeout, ta.Limits.HeaderTimeout)
	routes, customers := ta.Counts()
	vi.log.Info("Adopted a configuration.", zap.Uint64("Version", uint64(ta.Version)), zap.Stringer("Rev", rev),
		zap.Int("Routes", routes), zap.Int("Customers", customers), zap.Duration("Age", vi.pr.reader.Age()))
}

func (vi *view) register(ep place.Endpoint, rev core.Version) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	fields := []zap.Field{
		zap.String("Endpoint", string(ep.ID)), zap.Uint64("Start", uint64(ep.Incarnation)), zap.String("Pool", string(ep.Pool)),
		zap.String("Addr", ep.Addr), zap.Bool("Draining", ep.Draining), zap.Stringer("Rev", rev),
	}
	if !vi.pr.placer.Register(time.Now(), ep) {
		vi.log.Info("Ignored the registration of an endpoint's earlier start.", fields...)
		return
	}
	delete(vi.departing, ep.ID)
	delete(vi.unusable, ep.ID)
	vi.doubtReturn(ep)
	if vi.known == nil {
		vi.known = map[core.EndpointID]known{}
	}
	old, was := vi.known[ep.ID]
	now := known{ep.Addr, ep.Incarnation, ep.Draining, rev}
	vi.known[ep.ID] = now
	switch {
	case was && old.start != ep.Incarnation:
		// Its process is gone, and with it the connections: those left idle would only
		// show that once a request is lost on them.
		vi.pr.pool.CloseIdle(old.addr)
		vi.replaced(ep.ID, old)
		vi.log.Info("Endpoint started again.", fields...)
	case !was || !old.sameAs(now):
		vi.log.Info("Endpoint.", fields...)
	}
	vi.takeAddress(&ep, rev)
}

// doubtReturn doubts an endpoint that had departed and is back, while the store may have brought it
// from a copy. It is taken for one that is there once the doubt ends, unless it departs again.
func (vi *view) doubtReturn(ep place.Endpoint) {
	gone, was := vi.departed[ep.ID]
	delete(vi.departed, ep.ID)
	delete(vi.returned, ep.ID)
	if !was || gone.start != ep.Incarnation || !vi.pr.reader.RecentlyRestored() {
		return
	}
	vi.log.Info("Endpoint is back, perhaps from a copy of the store.", zap.String("Endpoint", string(ep.ID)))
	if vi.returned == nil {
		vi.returned = map[core.EndpointID]place.Endpoint{}
	}
	vi.returned[ep.ID] = ep
	vi.pr.placer.MarkMissing(ep.ID)
}

// noteDeparture remembers that an endpoint is gone.
func (vi *view) noteDeparture(id core.EndpointID) {
	now := time.Now()
	for other, gone := range vi.departed {
		if now.Sub(gone.at) > departedFor {
			delete(vi.departed, other)
		}
	}
	if vi.departed == nil {
		vi.departed = map[core.EndpointID]departure{}
	}
	vi.departed[id] = departure{vi.known[id].start, now}
}

// takeAddress notes an endpoint's address. An address belongs to one process: of two endpoints that are
// registered with it, the later one is there, and the other is gone though its registration has not
// lapsed yet. A registration for a pool that the configuration does not name displaces nobody.
func (vi *view) takeAddress(ep *place.Endpoint, rev core.Version) {
	if vi.at == nil {
		vi.at = map[string]core.EndpointID{}
	}
	holder := vi.at[ep.Addr]
	old, taken := vi.known[holder]
	switch {
	case !taken || holder == ep.ID || old.addr != ep.Addr:
		vi.at[ep.Addr] = ep.ID
	case !vi.inUse(ep.Pool):
	case rev < old.rev:
		vi.displace(ep.ID, holder)
	default:
		vi.at[ep.Addr] = ep.ID
		vi.replaced(holder, old)
		vi.displace(holder, ep.ID)
	}
}

// inUse tells whether the configuration names the pool, or none is in force yet.
func (vi *view) inUse(pool core.PoolID) bool {
	ta := vi.pr.relay.Table()
	return ta == nil || ta.Pool(pool) != nil
}

// displace takes an endpoint whose address another has for gone. It is only doubted: its registration
// is removed or renewed by itself.
func (vi *view) displace(id, by core.EndpointID) {
	addr := vi.known[id].addr
	vi.pr.placer.MarkMissing(id)
	vi.pr.pool.CloseIdle(addr)
	vi.pr.Stats.Add(stats.EndpointsDisplaced, 1)
	vi.log.Info("Another endpoint has this one's address.", zap.String("Endpoint", string(id)), zap.String("Other", string(by)),
		zap.String("Addr", addr), zap.Duration("Age", vi.pr.reader.Age()))
}

// replaced tells that the process of an endpoint is gone, if that was not planned.
func (vi *view) replaced(id core.EndpointID, old known) {
	if !old.draining {
		vi.pr.guard.Replaced(core.EndpointRef{ID: id, Addr: old.addr, Hash: place.EndpointHash(id, old.start)})
	}
}

// reject takes an endpoint out whose registration cannot be used any more: unlike one
// that is missing, it did not lapse while the store was away.
func (vi *view) reject(un *Unusable, rev core.Version) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	vi.remove(un.ID)
	reason := un.Err.Error()
	if vi.unusable == nil {
		vi.unusable = map[core.EndpointID]string{}
	}
	if vi.unusable[un.ID] == reason {
		return // written again as it was
	}
	vi.unusable[un.ID] = reason
	vi.pr.Stats.Add(stats.RegistrationsUnusable, 1)
	vi.log.Warn("Cannot use a registration; it names no endpoint.", zap.String("Endpoint", string(un.ID)),
		zap.Stringer("Rev", rev), zap.Error(un.Err))
}

const (
	// returnMargin covers the time from an endpoint's return in the store to its
	// arrival here.
	returnMargin = 300 * time.Millisecond
	departTick   = 100 * time.Millisecond
)

// depart takes an endpoint out whose registration is gone. Registrations lapse
// while endpoints cannot reach the store; during and right after its outage, one
// that is missing may be back in a moment, and a whole pool would seem gone. Once
// the doubt ends, run takes out what has not come back.
func (vi *view) depart(id core.EndpointID, rev core.Version) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	delete(vi.unusable, id)
	if _, was := vi.known[id]; !was {
		return
	}
	doubted := vi.pr.reader.Uncertain()
	vi.log.Info("Endpoint's registration is gone.", zap.String("Endpoint", string(id)),
		zap.Stringer("Rev", rev), zap.Bool("Doubted", doubted))
	if !doubted || vi.returned[id].ID == id {
		vi.noteDeparture(id)
		vi.remove(id)
		return
	}
	if vi.departing == nil {
		vi.departing = map[core.EndpointID]bool{}
	}
	vi.departing[id] = true
	vi.pr.placer.MarkMissing(id)
}

func (vi *view) remove(id core.EndpointID) {
	vi.pr.placer.Remove(id)
	if addr := vi.known[id].addr; vi.at[addr] == id {
		delete(vi.at, addr)
	}
	delete(vi.known, id)
	delete(vi.departing, id)
	delete(vi.returned, id)
}

// run ends doubts: it removes endpoints whose registration did not come back, takes those into use
// that are back and have stayed, and does the same with evacuations.
func (vi *view) run(ctx context.Context) error {
	tick := time.NewTicker(departTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			if !vi.pr.reader.Uncertain() {
				vi.removeMissing()
			}
			if !vi.pr.reader.RecentlyRestored() {
				vi.acceptReturned()
				vi.settleEvacuations()
			}
		}
	}
}

// removeMissing takes out the endpoints whose registrations did not come back.
func (vi *view) removeMissing() {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	for id := range vi.departing {
		vi.log.Info("Endpoint did not come back.", zap.String("Endpoint", string(id)))
		vi.noteDeparture(id)
		vi.remove(id)
	}
}

// acceptReturned takes the endpoints into use that are back and have stayed.
func (vi *view) acceptReturned() {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	for id, ep := range vi.returned {
		vi.log.Info("Endpoint has come back.", zap.String("Endpoint", string(id)))
		vi.pr.placer.Register(time.Now(), ep)
		delete(vi.returned, id)
	}
}
