package relay

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/route"
	"almondrill/io/logs"
	"almondrill/io/stats"
)

// A caller whose stream broke off may resume it at any router, which has to continue it at the build that
// began it. Where the pool has had one build only, that is the one. Otherwise it is the one on record
// here or at peers. Without a record it is the build that was the only one before the others, if the routers that
// would have the record know it; otherwise the request is refused.

// originTTLFactor is how long the build of a stream is kept, in multiples of the longest time that the
// caller or the route allows: one for the attempt that began the stream, and one for those that resume it.
const originTTLFactor = 2

// retryVerifyTimeout bounds the wait for the store when this router continues a stream, whose build it knows.
const retryVerifyTimeout = 50 * time.Millisecond

// Bases of the decision at which build a stream continues.
const (
	basisOneBuild = "OneBuild" // its pools have no other
	basisRecord   = "Record"   // it is on record
	basisFirst    = "First"    // it is not on record, as all streams of the pool's other builds are
	basisNone     = "None"     // it is unknown
)

// resumedAfter returns the id of the event after which the caller continues a stream of one of its
// earlier attempts; "" if the request is a new one.
func (rq *request) resumedAfter() string {
	if rq.route == nil || rq.route.Kind != route.Stream {
		return ""
	}
	return rq.hr.Header.Get(rq.re.Dialect.Resume)
}

// resumes returns the id of the caller's attempt that brought the stream's first event, "" if the caller
// does not state it.
func (rq *request) resumes() string {
	if rq.re.Dialect.Resumes == "" {
		return ""
	}
	return rq.hr.Header.Get(rq.re.Dialect.Resumes)
}

// streamBuild returns the build at which the request's stream began, 0 before its first event.
func (rq *request) streamBuild() core.Build { return core.Build(rq.build.Load()) }

// streamKey identifies the stream of a caller's attempt.
func (rq *request) streamKey(attempt string) core.StreamKey {
	customer := ""
	if rq.customer != nil {
		customer = string(rq.customer.ID)
	}
	return core.StreamKey(xxhash.Sum64String(customer + "\x00" + attempt))
}

// resume decides at which build a stream continues that the caller resumes. It refuses the request if
// none can be the right one.
func (rq *request) resume(ctx context.Context) *core.Refusal {
	after := rq.resumedAfter()
	if after == "" {
		return nil
	}
	rq.re.Stats.Add(stats.StreamsResumed, 1)
	found, basis, others := rq.findBuild(ctx)
	build := found.Build
	rq.re.Log.Info("A caller resumes a stream.", zap.String("Request", logs.Short(rq.id)), zap.String("Resumes", logs.Short(rq.resumes())),
		zap.String("After", logs.Short(after)), zap.String("Route", rq.route.Name), zap.String("Build", fmt.Sprintf("%08x", uint32(build))),
		zap.String("Basis", basis), zap.Int("Asked", found.Asked), zap.Int("Answered", found.Answered), zap.Stringer("PeersSaw", others), zap.Duration("Took", time.Since(rq.began)), zap.Duration("Age", rq.re.ViewAge()))
	switch {
	case basis == basisNone:
		rf := rq.notRun(core.ReasonVersionUnknown, "resume", "no router knows the software version that began the stream")
		if rq.resumes() == "" {
			rf.Detail = "the request does not name the attempt that began the stream in " + rq.re.Dialect.Resumes
		}
		return rf
	case build == 0:
		return nil
	}
	pool := rq.re.Builds.PoolOf(build)
	if !slices.Contains(rq.pools(), pool) {
		return rq.notRun(core.ReasonVersionGone, "resume", "the route has no endpoint of the software version that began the stream")
	}
	rq.pool = pool
	rq.build.Store(uint32(build))
	return nil
}

// pools returns the pools of the request's route.
func (rq *request) pools() []core.PoolID {
	var all []core.PoolID
	for _, sh := range rq.route.Split {
		all = append(all, sh.Pool)
	}
	return all
}

// findBuild returns the build at which the caller's stream began, and the basis; 0 with basisOneBuild if
// any build will do. others is what peers said, if they were asked for other builds of the pool.
func (rq *request) findBuild(ctx context.Context) (found core.OriginSearch, basis string, others core.OtherBuilds) {
	re := rq.re
	if re.Origins == nil {
		return found, basisOneBuild, others
	}
	// Another build may have begun the stream since the view was last confirmed, and a process that was suspended
	// does not know how old its view is.
	verified := rq.verifyView(ctx)
	now := time.Now()
	recent := re.Builds.Recent(now, rq.pools()...)
	if len(recent) == 0 {
		return found, basisOneBuild, others // there is no endpoint either
	}
	oneBuild := verified && len(recent) == 1
	if oneBuild && re.Builds.Complete(now) && !re.Builds.Uncertain(now, rq.pools()...) {
		return core.OriginSearch{Build: recent[0]}, basisOneBuild, others
	}
	if named := rq.resumes(); named != "" {
		if found = re.Origins.Find(ctx, rq.streamKey(named)); found.Build != 0 {
			return found, basisRecord, others
		}
		if pools := rq.pools(); !oneBuild && len(pools) == 1 {
			if first := re.Origins.FindFirst(ctx, rq.streamKey(named), recent[0]); first.Build != 0 {
				return first, basisFirst, others
			}
		}
	}
	if !oneBuild {
		return found, basisNone, others
	}
	// A router that has just started may have missed other builds. The view holds those that are on record in the
	// store, if all of it was listed; otherwise a peer that does not know denies nothing.
	others = re.Origins.OthersSeen(ctx, recent[0])
	if others == core.OthersServed || others != core.OthersNone && !re.Builds.Listed() {
		return found, basisNone, others
	}
	found.Build = recent[0]
	return found, basisOneBuild, others
}

// verifyView reports whether the view holds all that the store had acknowledged when the request asked for it.
func (rq *request) verifyView(ctx context.Context) bool {
	if rq.re.VerifyView == nil {
		return true
	}
	if err := rq.re.VerifyView(ctx); err != nil {
		rq.re.Stats.Add(stats.ViewsNotVerified, 1)
		rq.re.Log.Info("The view could not be verified.", append(logs.ErrorFields(err), zap.String("Request", logs.Short(rq.id)), zap.Duration("Age", rq.re.ViewAge()))...)
		return false
	}
	return true
}

// preferredBuild returns the build at which a new stream should begin, 0 for any. Where the records of streams may not
// arrive at peers, a stream without a record is one of the pool's first build to these.
func (rq *request) preferredBuild() core.Build {
	re := rq.re
	if re.Origins == nil || !rq.route.Resumable || !re.Origins.Isolated() {
		return 0
	}
	return re.Builds.First(time.Now(), rq.pool)
}

// beginStream records the build at which a resumable stream begins, before its first event is forwarded.
func (rq *request) beginStream(build core.Build) {
	rq.build.Store(uint32(build))
	if rq.re.Origins == nil || !rq.route.Resumable {
		return
	}
	attempt := rq.id
	if rq.resumedAfter() != "" {
		attempt = rq.resumes()
	}
	if attempt == "" {
		return // the caller cannot name the stream
	}
	rq.originKey = rq.streamKey(attempt)
	// A build that is in no history is that of a process which has not registered.
	share := len(rq.re.Builds.Recent(time.Now(), rq.pools()...)) > 1 || rq.re.Builds.PoolOf(build) == ""
	rq.re.Origins.Begin(rq.originKey, build, originTTLFactor*max(rq.budget, rq.route.Timeout), share)
}
