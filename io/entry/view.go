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

	mu         sync.Mutex                       // guards all below
	missing    map[core.EndpointID]bool         // doubted, as their registrations are missing
	registered map[core.EndpointID]registration // endpoints with a usable registration
	unusable   map[core.EndpointID]string
	// byAddr is which endpoint has an address, by the latest registration that names it.
	byAddr map[string]core.EndpointID
	// removed are the last starts of endpoints whose registrations are gone, and when they went;
	// returned are those that are back though the store may have brought them from a copy.
	removed     map[core.EndpointID]removal
	reappeared  map[core.EndpointID]place.Endpoint
	evacuations evacuations
}

// removal is a start of an endpoint that is gone.
type removal struct {
	incarnation core.Incarnation
	at          time.Time
}

// removalTTL is how long departures are remembered: a copy from which the store comes back is some
// seconds old.
const removalTTL = time.Minute

// registration is what was last registered of an endpoint, and in which version of the store.
type registration struct {
	addr        string
	incarnation core.Incarnation
	draining    bool
	rev         core.Version
}

// equalIgnoringRev tells that two registrations differ in their versions at most.
func (kn registration) equalIgnoringRev(other registration) bool {
	other.rev = kn.rev
	return kn == other
}

// applyItem takes an item that is new to the mirror. A fault that the item brings about must not
// end the process: all routers read the same store, and read it again when they start.
func (vi *view) applyItem(it core.Item) {
	defer vi.recoverPanic(it)
	decoded, err := vi.pr.Platform.Decode(it)
	if err != nil {
		vi.log.Warn("Cannot use an item of the store; what is in force stays.", zap.String("Key", it.Key),
			zap.Stringer("Rev", it.Rev), zap.Error(err))
		return
	}
	switch decoded := decoded.(type) {
	case *route.Document:
		vi.adoptConfig(decoded, it.Rev)
	case place.Endpoint:
		vi.register(decoded, it.Rev)
	case Deregistration:
		vi.deregister(decoded.ID, it.Rev)
	case Evacuation:
		vi.applyEvacuation(decoded, it.Rev)
	case InvalidRegistration:
		vi.rejectRegistration(&decoded, it.Rev)
	case core.Quarantine:
		vi.pr.crashes.EntryStored(decoded)
	case QuarantineRemoval:
		vi.pr.crashes.EntryRemoved(decoded.Request, decoded.Rev)
	case PeerAddr:
		vi.pr.peers.Add(string(decoded))
	}
}

// recoverPanic tells of a fault and lets the process go on; what was in force before the item stays.
func (vi *view) recoverPanic(it core.Item) {
	fault := recover()
	if fault == nil {
		return
	}
	vi.pr.Stats.Add(stats.ItemsFailed, 1)
	vi.log.Error("An item of the store brought a fault about; it is passed over.", zap.String("Key", it.Key),
		zap.Stringer("Rev", it.Rev), zap.Any("Fault", fault), zap.StackSkip("Stack", 1))
}

// adoptConfig puts a configuration in force unless a later one is.
func (vi *view) adoptConfig(doc *route.Document, rev core.Version) {
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
	vi.pr.timeouts.set(ta.Limits.IdleTimeout, ta.Limits.HeaderTimeout)
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
	delete(vi.missing, ep.ID)
	delete(vi.unusable, ep.ID)
	vi.suspectReappeared(ep)
	if vi.registered == nil {
		vi.registered = map[core.EndpointID]registration{}
	}
	old, was := vi.registered[ep.ID]
	now := registration{ep.Addr, ep.Incarnation, ep.Draining, rev}
	vi.registered[ep.ID] = now
	switch {
	case was && old.incarnation != ep.Incarnation:
		// Its process is gone, and with it the connections: those left idle would only
		// show that once a request is lost on them.
		vi.pr.pool.CloseIdle(old.addr)
		vi.reportReplaced(ep.ID, old)
		vi.log.Info("Endpoint started again.", fields...)
	case !was || !old.equalIgnoringRev(now):
		vi.log.Info("Endpoint.", fields...)
	}
	vi.claimAddress(&ep, rev)
}

// suspectReappeared doubts an endpoint that had departed and is back, while the store may have brought it
// from a copy. It is taken for one that is there once the doubt ends, unless it departs again.
func (vi *view) suspectReappeared(ep place.Endpoint) {
	gone, was := vi.removed[ep.ID]
	delete(vi.removed, ep.ID)
	delete(vi.reappeared, ep.ID)
	if !was || gone.incarnation != ep.Incarnation || !vi.pr.reader.RecentlyRestored() {
		return
	}
	vi.log.Info("Endpoint is back, perhaps from a copy of the store.", zap.String("Endpoint", string(ep.ID)))
	if vi.reappeared == nil {
		vi.reappeared = map[core.EndpointID]place.Endpoint{}
	}
	vi.reappeared[ep.ID] = ep
	vi.pr.placer.MarkMissing(ep.ID)
}

// rememberRemoval remembers that an endpoint is gone.
func (vi *view) rememberRemoval(id core.EndpointID) {
	now := time.Now()
	for other, gone := range vi.removed {
		if now.Sub(gone.at) > removalTTL {
			delete(vi.removed, other)
		}
	}
	if vi.removed == nil {
		vi.removed = map[core.EndpointID]removal{}
	}
	vi.removed[id] = removal{vi.registered[id].incarnation, now}
}

// claimAddress notes an endpoint's address. An address belongs to one process: of two endpoints that are
// registered with it, the later one is there, and the other is gone though its registration has not
// lapsed yet. A registration for a pool that the configuration does not name displaces nobody.
func (vi *view) claimAddress(ep *place.Endpoint, rev core.Version) {
	if vi.byAddr == nil {
		vi.byAddr = map[string]core.EndpointID{}
	}
	holder := vi.byAddr[ep.Addr]
	old, taken := vi.registered[holder]
	switch {
	case !taken || holder == ep.ID || old.addr != ep.Addr:
		vi.byAddr[ep.Addr] = ep.ID
	case !vi.poolConfigured(ep.Pool):
	case rev < old.rev:
		vi.displace(ep.ID, holder)
	default:
		vi.byAddr[ep.Addr] = ep.ID
		vi.reportReplaced(holder, old)
		vi.displace(holder, ep.ID)
	}
}

// poolConfigured tells whether the configuration names the pool, or none is in force yet.
func (vi *view) poolConfigured(pool core.PoolID) bool {
	ta := vi.pr.relay.Table()
	return ta == nil || ta.Pool(pool) != nil
}

// displace takes an endpoint whose address another has for gone. It is only doubted: its registration
// is removed or renewed by itself.
func (vi *view) displace(id, by core.EndpointID) {
	addr := vi.registered[id].addr
	vi.pr.placer.MarkMissing(id)
	vi.pr.pool.CloseIdle(addr)
	vi.pr.Stats.Add(stats.EndpointsDisplaced, 1)
	vi.log.Info("Another endpoint has this one's address.", zap.String("Endpoint", string(id)), zap.String("Other", string(by)),
		zap.String("Addr", addr), zap.Duration("Age", vi.pr.reader.Age()))
}

// reportReplaced tells that the process of an endpoint is gone, if that was not planned.
func (vi *view) reportReplaced(id core.EndpointID, old registration) {
	if !old.draining {
		vi.pr.crashes.Replaced(core.EndpointRef{ID: id, Addr: old.addr, Hash: place.EndpointHash(id, old.incarnation)})
	}
}

// rejectRegistration takes an endpoint out whose registration cannot be used any more: unlike one
// that is missing, it did not lapse while the store was away.
func (vi *view) rejectRegistration(un *InvalidRegistration, rev core.Version) {
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
	// propagationMargin covers the time from an endpoint's return in the store to its
	// arrival here.
	propagationMargin = 300 * time.Millisecond
	settleInterval    = 100 * time.Millisecond
)

// deregister takes an endpoint out whose registration is gone. Registrations lapse
// while endpoints cannot reach the store; during and right after its outage, one
// that is missing may be back in a moment, and a whole pool would seem gone. Once
// the doubt ends, run takes out what has not come back.
func (vi *view) deregister(id core.EndpointID, rev core.Version) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	delete(vi.unusable, id)
	if _, was := vi.registered[id]; !was {
		return
	}
	uncertain := vi.pr.reader.Uncertain()
	vi.log.Info("Endpoint's registration is gone.", zap.String("Endpoint", string(id)),
		zap.Stringer("Rev", rev), zap.Bool("Doubted", uncertain))
	if !uncertain || vi.reappeared[id].ID == id {
		vi.rememberRemoval(id)
		vi.remove(id)
		return
	}
	if vi.missing == nil {
		vi.missing = map[core.EndpointID]bool{}
	}
	vi.missing[id] = true
	vi.pr.placer.MarkMissing(id)
}

func (vi *view) remove(id core.EndpointID) {
	vi.pr.placer.Remove(id)
	if addr := vi.registered[id].addr; vi.byAddr[addr] == id {
		delete(vi.byAddr, addr)
	}
	delete(vi.registered, id)
	delete(vi.missing, id)
	delete(vi.reappeared, id)
}

// settle ends doubts: it removes endpoints whose registration did not come back, takes those into use
// that are back and have stayed, and does the same with evacuations.
func (vi *view) settle(ctx context.Context) error {
	tick := time.NewTicker(settleInterval)
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
				vi.acceptReappeared()
				vi.settleEvacuations()
			}
		}
	}
}

// removeMissing takes out the endpoints whose registrations did not come back.
func (vi *view) removeMissing() {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	for id := range vi.missing {
		vi.log.Info("Endpoint did not come back.", zap.String("Endpoint", string(id)))
		vi.rememberRemoval(id)
		vi.remove(id)
	}
}

// acceptReappeared takes the endpoints into use that are back and have stayed.
func (vi *view) acceptReappeared() {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	for id, ep := range vi.reappeared {
		vi.log.Info("Endpoint has come back.", zap.String("Endpoint", string(id)))
		vi.pr.placer.Register(time.Now(), ep)
		delete(vi.reappeared, id)
	}
}
