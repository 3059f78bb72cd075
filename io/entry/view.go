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

// view applies changes of the store to the parts of the process.
type view struct {
	pr  *Process
	log *zap.Logger

	mu         sync.Mutex                       // guards all below
	missing    map[core.EndpointID]bool         // registration is missing, removal not confirmed yet
	registered map[core.EndpointID]registration // endpoints with a valid registration
	unusable   map[core.EndpointID]string       // why a registration is invalid
	// byAddr is the endpoint that has an address, by the latest registration that names it.
	byAddr map[string]core.EndpointID
	// removed are the last incarnations of endpoints whose registrations are gone, and when they
	// went; reappeared are endpoints that are registered again, perhaps only because the store was
	// restored from a backup.
	removed     map[core.EndpointID]removal
	reappeared  map[core.EndpointID]place.Endpoint
	evacuations evacuations
}

// removal records which incarnation of an endpoint was removed, and when.
type removal struct {
	incarnation core.Incarnation
	at          time.Time
}

// removalTTL is how long removals are remembered. The store is restored from backups that are some
// seconds old, so a restore cannot undo an older removal.
const removalTTL = time.Minute

// registration is the last registration of an endpoint, and its version in the store.
type registration struct {
	addr        string
	incarnation core.Incarnation
	draining    bool
	rev         core.Version
	// endpoint is what was registered. displaced is set while another endpoint has the address.
	endpoint  *place.Endpoint
	displaced bool
}

// sameAs reports whether two registrations have the same address, incarnation and state.
func (re registration) sameAs(other registration) bool {
	return re.addr == other.addr && re.incarnation == other.incarnation && re.draining == other.draining
}

// applyItem applies an item that is new to the mirror. A panic that the item causes must not end
// the process: all routers read the same store, and read it again whenever they start.
func (vi *view) applyItem(it core.Item) {
	defer vi.recoverPanic(it)
	decoded, err := vi.pr.Platform.Decode(it)
	if err != nil {
		vi.log.Warn("Cannot decode an item of the store; keeping what is in force.", zap.String("Key", it.Key),
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
	case []core.SuspectRun:
		vi.pr.crashes.RunsStored(decoded, !vi.pr.listed.Load())
	case core.BuildRecord:
		vi.pr.builds.RecordStored(time.Now(), decoded)
	case LastingEra:
		vi.pr.lastingEras.add(core.Era(decoded))
	case core.StreamBatch:
		vi.pr.peers.RecordStored(time.Now(), decoded)
	case BuildRemoval:
		vi.pr.builds.RecordRemoved(decoded.Build, decoded.Rev)
	case PeerAddr:
		vi.pr.peers.Add(string(decoded))
	}
}

// recoverPanic logs a panic and lets the process go on; what was in force before the item stays.
func (vi *view) recoverPanic(it core.Item) {
	fault := recover()
	if fault == nil {
		return
	}
	vi.pr.Stats.Add(stats.ItemsFailed, 1)
	vi.log.Error("An item of the store caused a panic; it is skipped.", zap.String("Key", it.Key),
		zap.Stringer("Rev", it.Rev), zap.Any("Fault", fault), zap.StackSkip("Stack", 1))
}

// adoptConfig puts a configuration in force unless a later one is in force.
func (vi *view) adoptConfig(doc *route.Document, rev core.Version) {
	old := vi.pr.relay.Table()
	if old != nil && doc.Version == old.Version {
		vi.log.Info("The version of the configuration in force was written again.", zap.Uint64("Version", uint64(doc.Version)), zap.Stringer("Rev", rev))
		return
	}
	if old != nil && doc.Version < old.Version {
		vi.log.Warn("Rejected an older configuration.", zap.Uint64("Version", uint64(doc.Version)),
			zap.Uint64("InForce", uint64(old.Version)), zap.Stringer("Rev", rev))
		return
	}
	ta, err := route.Compile(doc)
	if err != nil {
		vi.log.Warn("Rejected an invalid configuration; keeping the one in force.", zap.Stringer("Rev", rev), zap.Error(err))
		return
	}
	vi.pr.relay.SetTable(ta)
	vi.pr.timeouts.Set(ta.Limits.IdleTimeout, ta.Limits.HeaderTimeout)
	vi.pr.headLimit.adopt(ta)
	routes, customers := ta.Counts()
	vi.log.Info("Adopted a configuration.", zap.Uint64("Version", uint64(ta.Version)), zap.Stringer("Rev", rev),
		zap.Int("Routes", routes), zap.Int("Customers", customers), zap.Duration("Age", vi.pr.reader.Age()))
}

func (vi *view) register(ep place.Endpoint, rev core.Version) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	fields := []zap.Field{
		zap.String("Endpoint", string(ep.ID)), zap.Uint64("Start", uint64(ep.Incarnation)), zap.String("Pool", string(ep.Pool)),
		zap.String("Software", string(ep.Software)), zap.String("Addr", ep.Addr), zap.Bool("Draining", ep.Draining), zap.Stringer("Rev", rev),
	}
	if !vi.pr.placer.Register(time.Now(), ep) {
		vi.log.Info("Ignored the registration of an earlier incarnation of an endpoint.", fields...)
		return
	}
	vi.pr.builds.Register(time.Now(), ep.ID, ep.Pool, ep.Software)
	delete(vi.missing, ep.ID)
	delete(vi.unusable, ep.ID)
	vi.suspectReappeared(ep)
	if vi.registered == nil {
		vi.registered = map[core.EndpointID]registration{}
	}
	old, was := vi.registered[ep.ID]
	now := registration{addr: ep.Addr, incarnation: ep.Incarnation, draining: ep.Draining, rev: rev, endpoint: &ep}
	vi.registered[ep.ID] = now
	switch {
	case was && old.incarnation != ep.Incarnation:
		// Its process is gone, and so are the connections to it: an idle one would only be
		// found broken when a request is lost on it.
		vi.pr.pool.CloseIdle(old.addr)
		vi.reportReplaced(ep.ID, old)
		vi.log.Info("Endpoint restarted.", fields...)
	case !was || !old.sameAs(now):
		vi.log.Info("Endpoint.", fields...)
	}
	vi.claimAddress(&ep, rev)
}

// suspectReappeared handles an endpoint that was removed and is registered again with the same
// incarnation soon after a restore of the store, which may have brought the registration back from
// the backup. The endpoint is marked as missing, and is used once the grace period ends unless it is
// removed again.
func (vi *view) suspectReappeared(ep place.Endpoint) {
	gone, was := vi.removed[ep.ID]
	delete(vi.removed, ep.ID)
	delete(vi.reappeared, ep.ID)
	if !was || gone.incarnation != ep.Incarnation || !vi.pr.reader.RecentlyRestored() {
		return
	}
	vi.log.Info("Endpoint is registered again, perhaps by a restore of the store from a backup.", zap.String("Endpoint", string(ep.ID)))
	if vi.reappeared == nil {
		vi.reappeared = map[core.EndpointID]place.Endpoint{}
	}
	vi.reappeared[ep.ID] = ep
	vi.pr.placer.MarkMissing(ep.ID)
}

// rememberRemoval records that an endpoint was removed.
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

// claimAddress records an endpoint's address. An address belongs to one process: if two endpoints
// are registered with it, the later one exists and the other is gone, although its registration
// has not expired yet. A registration for a pool that the configuration does not name displaces no
// other endpoint.
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

// poolConfigured reports whether the configuration names the pool, or none is in force yet.
func (vi *view) poolConfigured(pool core.PoolID) bool {
	ta := vi.pr.relay.Table()
	return ta == nil || ta.Pool(pool) != nil
}

// displace handles an endpoint whose address belongs to another one now. The endpoint is only
// marked as missing: its registration will be removed or renewed.
func (vi *view) displace(id, by core.EndpointID) {
	re := vi.registered[id]
	re.displaced = true
	vi.registered[id] = re
	addr := re.addr
	vi.pr.placer.MarkMissing(id)
	vi.pr.pool.CloseIdle(addr)
	vi.pr.Stats.Add(stats.EndpointsDisplaced, 1)
	vi.log.Info("Endpoint's address was taken by another endpoint.", zap.String("Endpoint", string(id)), zap.String("Other", string(by)),
		zap.String("Addr", addr), zap.Duration("Age", vi.pr.reader.Age()))
}

// restoreDisplaced uses the endpoint again that was displaced last at an address whose holder is deregistered. Its
// registration has outlived that of the holder, which may have arrived late: the endpoint then lives. Nothing is registered
// again while only the heartbeat changes.
func (vi *view) restoreDisplaced(addr string) {
	var last registration
	for _, re := range vi.registered {
		if re.displaced && re.addr == addr && re.rev > last.rev {
			last = re
		}
	}
	if last.endpoint == nil {
		return
	}
	id := last.endpoint.ID
	last.displaced = false
	vi.registered[id], vi.byAddr[addr] = last, id
	if !vi.missing[id] {
		vi.pr.placer.Register(time.Now(), *last.endpoint)
	}
	vi.log.Info("Endpoint is used again; the one that had taken its address is deregistered.", zap.String("Endpoint", string(id)),
		zap.String("Addr", addr), zap.Stringer("Rev", last.rev), zap.Duration("Age", vi.pr.reader.Age()))
}

// processEnded records that the process of an endpoint has ended, and returns true if that is new. Another one may
// answer at its address, of another version of the software, before its registration arrives.
func (vi *view) processEnded(now time.Time, endpoint uint64) bool {
	id, pool, changed := vi.pr.placer.MarkEnded(now, endpoint)
	if changed {
		vi.pr.builds.MarkUncertain(now, pool)
		vi.log.Info("The process of an endpoint has ended; no stream continues there until it has registered.",
			zap.String("Endpoint", string(id)), zap.Duration("Age", vi.pr.reader.Age()))
	}
	return changed
}

// confirmBuilds takes endpoints for the versions that they have registered if their processes seemed to have ended, and
// no other has registered since in a store that answers.
func (vi *view) confirmBuilds(now time.Time) {
	for _, id := range vi.pr.placer.ConfirmBuilds(now.Add(-registrationLapse)) {
		vi.log.Info("Endpoint has not registered another process.", zap.String("Endpoint", string(id)))
	}
}

// reportReplaced reports that the process of an endpoint is gone, unless the endpoint was draining.
func (vi *view) reportReplaced(id core.EndpointID, old registration) {
	if !old.draining {
		vi.pr.crashes.Replaced(core.EndpointRef{ID: id, Addr: old.addr, Hash: place.EndpointHash(id, old.incarnation)})
	}
}

// rejectRegistration handles a registration that cannot be used. An endpoint that was registered before has not left by
// that: something else may have written over its registration, which it writes again. Until then it gets calls only
// where no other of its pool can take them.
func (vi *view) rejectRegistration(ir *InvalidRegistration, rev core.Version) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	vi.pr.placer.MarkMissing(ir.ID)
	reason := ir.Err.Error()
	if vi.unusable == nil {
		vi.unusable = map[core.EndpointID]string{}
	}
	if vi.unusable[ir.ID] == reason {
		return // rewritten with the same fault
	}
	vi.unusable[ir.ID] = reason
	vi.pr.Stats.Add(stats.RegistrationsUnusable, 1)
	vi.log.Warn("Rejected an invalid registration of an endpoint.", zap.String("Endpoint", string(ir.ID)),
		zap.Stringer("Rev", rev), zap.Error(ir.Err))
}

const (
	// propagationMargin covers the time from an endpoint's return in the store to its arrival here.
	propagationMargin = 300 * time.Millisecond
	settleInterval    = 100 * time.Millisecond
	// registrationLapse is longer than the registration of a silent endpoint stays, and than one that starts
	// takes to register.
	registrationLapse = 6 * time.Second
)

// deregister removes an endpoint whose registration is gone. Registrations expire while endpoints
// cannot reach the store. During an outage of the store and right after it, a missing endpoint
// may return in a moment, and a whole pool could seem gone. What has not returned at the end of the
// grace period is removed by settle.
func (vi *view) deregister(id core.EndpointID, rev core.Version) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	delete(vi.unusable, id)
	if _, was := vi.registered[id]; !was {
		return
	}
	uncertain := vi.pr.reader.Uncertain()
	vi.log.Info("Endpoint was deregistered.", zap.String("Endpoint", string(id)),
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
	vi.pr.builds.Remove(time.Now(), id)
	addr := vi.registered[id].addr
	delete(vi.registered, id)
	if vi.byAddr[addr] == id {
		delete(vi.byAddr, addr)
		vi.restoreDisplaced(addr)
	}
	delete(vi.missing, id)
	delete(vi.reappeared, id)
}

// settle ends grace periods: it removes endpoints whose registrations did not return, starts to use
// endpoints that reappeared and were not removed again, and settles evacuations likewise.
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
				vi.confirmBuilds(time.Now())
			}
			if !vi.pr.reader.RecentlyRestored() {
				vi.acceptReappeared()
				vi.settleEvacuations()
			}
		}
	}
}

// removeMissing removes the endpoints whose registrations did not return.
func (vi *view) removeMissing() {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	for id := range vi.missing {
		vi.log.Info("Endpoint did not return; removed it.", zap.String("Endpoint", string(id)))
		vi.rememberRemoval(id)
		vi.remove(id)
	}
}

// acceptReappeared starts to use the endpoints that reappeared and were not removed again.
func (vi *view) acceptReappeared() {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	for id, ep := range vi.reappeared {
		vi.log.Info("Endpoint is used again; it reappeared and was not removed since.", zap.String("Endpoint", string(id)))
		vi.pr.placer.Register(time.Now(), ep)
		delete(vi.reappeared, id)
	}
}
