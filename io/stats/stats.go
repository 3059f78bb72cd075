// Package stats holds the counters of a process and serves them, with expvar and as text.
//
// # Concepts
//
// A Set belongs to one process. In the demo, several processes run in one program, so each process
// serves its Set with its own handler, instead of registering it by name. Every reason of a refusal
// or a retry has its own counter from the start, so that a graph shows 0 instead of no data.
//
// # Usage
//
//	st := stats.New()
//	st.CountRefusal(core.ReasonLoadCap)
//	http.Handle("/debug/vars", st.Handler())
package stats

import (
	"expvar"
	"net/http"

	"almondrill/core"
	"almondrill/core/migr"
)

// Names of the counters, but for those of reasons; docs.go explains them.
const (
	Requests                = "Requests"
	InProgress              = "InProgress"
	AnswersWhole            = "AnswersWhole"
	AnswersNotRun           = "AnswersNotRun"
	AnswersFailed           = "AnswersFailed"
	AnswersUnknown          = "AnswersUnknown"
	PartsDropped            = "PartsDropped"
	ControlBytesSent        = "ControlBytesSent"
	ControlMessagesHeldBack = "ControlMessagesHeldBack"
	QueueCalls              = "QueueCalls"
	RunningCalls            = "RunningCalls"
	LoadWork                = "LoadWork"
	ConfigRevision          = "ConfigRevision"
	ConfigRevertedRefused   = "ConfigRevertedRefused"
	BoardEventsDropped      = "BoardEventsDropped"
	PeerConnectionsOpen     = "PeerConnectionsOpen"
	KeyReplays              = "KeyReplays"
	OrdersGiven             = "OrdersGiven"
	OrdersDone              = "OrdersDone"
	OrdersFence             = "OrdersFence"
	OrdersGivenUp           = "OrdersGivenUp"
	ContextsHandedOn        = "ContextsHandedOn"
	ContextsTakenIn         = "ContextsTakenIn"
	PointersHandedOn        = "PointersHandedOn"
	ViewAgeMs               = "ViewAgeMs"
	PeersLive               = "PeersLive"
	EndpointsKnown          = "EndpointsKnown"
	LogLinesDropped         = "LogLinesDropped"
	LogLinesSampled         = "LogLinesSampled"
	ZonesEvacuated          = "ZonesEvacuated"
	ColdDenied              = "ColdDenied"
	// RegistrationsUnusable counts endpoint registrations that became unusable.
	RegistrationsUnusable = "RegistrationsUnusable"
	// StoreLed is 1 in a router that watches the platform's store on behalf of all.
	StoreLed = "StoreLed"
	// BytesHeld is the number of bytes that callers make the process hold, DescriptorsHeld the number of descriptors
	// of connections of callers and to endpoints.
	BytesHeld       = "BytesHeld"
	DescriptorsHeld = "DescriptorsHeld"
	// ConnsEvicted counts connections that were closed for lack of room, ConnsRefused new ones that were, and
	// HeadsRefused heads that were refused as they arrived.
	ConnsEvicted = "ConnsEvicted"
	ConnsRefused = "ConnsRefused"
	HeadsRefused = "HeadsRefused"
	// DeadlinesShortened counts requests and calls with a deadline beyond MaxDeadline.
	DeadlinesShortened = "DeadlinesShortened"
	// MessagesRejected counts messages of peers that were refused for a name or text that is too long.
	MessagesRejected = "MessagesRejected"
	// PeersRejected counts addresses of peers that were ignored as too many are known.
	PeersRejected = "PeersRejected"
	// EndpointsDisplaced counts endpoints with whose address another endpoint registered.
	EndpointsDisplaced = "EndpointsDisplaced"
	// ItemsFailed counts items of the store that triggered a fault of this program.
	ItemsFailed = "ItemsFailed"
	// CrashedUnder counts requests that were running at an endpoint when it crashed.
	CrashedUnder = "CrashedUnder"
	// RequestsQuarantined is the number of requests and parts of prompts that are not sent to endpoints because they
	// crash them. QuarantineTrials counts the trials in which one is sent all the same.
	RequestsQuarantined = "RequestsQuarantined"
	QuarantineTrials    = "QuarantineTrials"
	// StoreEra is the number of times that the platform's store was restored from a backup.
	StoreEra = "StoreEra"
	// LeavingNotices and BackoffNotices count responses with which an endpoint announced its
	// shutdown, or asked for no requests for a time.
	LeavingNotices = "LeavingNotices"
	BackoffNotices = "BackoffNotices"
	// RequestsWaiting is the number of requests that wait at the router for their turn.
	// AdmittedAfterWait counts those that were sent after a wait, RefusedByShare and RefusedForTime
	// those refused because their customer is over its share, or because they could not be sent in
	// time.
	RequestsWaiting   = "RequestsWaiting"
	AdmittedAfterWait = "AdmittedAfterWait"
	RefusedByShare    = "RefusedByShare"
	RefusedForTime    = "RefusedForTime"
	// OutputErrorP50 and OutputErrorP90 are quantiles of the error of expected stream lengths.
	OutputErrorP50 = "OutputErrorP50"
	OutputErrorP90 = "OutputErrorP90"
	// MemoryWaiting is the number of requests that wait for memory of an engine, MemoryWaited counts
	// those that got it.
	MemoryWaiting = "MemoryWaiting"
	MemoryWaited  = "MemoryWaited"
	// StreamsResumed counts requests that continue a stream of an earlier attempt of the caller.
	StreamsResumed = "StreamsResumed"
	// ViewsNotVerified counts how often the store did not confirm the known software versions in time when a stream was continued.
	ViewsNotVerified = "ViewsNotVerified"
	// OversizedAnswers counts answers of which a head or an event did not end within what may be buffered.
	OversizedAnswers = "OversizedAnswers"
	// MalformedAnswers counts answers that are not valid HTTP although the library parses them.
	MalformedAnswers = "MalformedAnswers"
	// UnnamedAnswers counts responses that were skipped as they name no request, on connections where others do.
	UnnamedAnswers = "UnnamedAnswers"
	// UnmarkedEnds counts answers that were forwarded as whole although only the end of the
	// endpoint's connection marks their end.
	UnmarkedEnds = "UnmarkedEnds"
)

// Names of the counters of migrations, which have one counter for each reason.
const (
	MigrationsBegun  = "MigrationsBegun"
	MigrationsDone   = "MigrationsDone"
	MigrationsFailed = "MigrationsFailed"
)

// Set holds the counters of one process.
type Set struct {
	all        *expvar.Map
	refusals   *expvar.Map
	retries    *expvar.Map
	migrations map[string]*expvar.Map
	latencies  *Latencies
}

// New returns a Set with every counter at 0.
func New() *Set {
	st := &Set{all: new(expvar.Map).Init(), refusals: new(expvar.Map).Init(), retries: new(expvar.Map).Init()}
	for _, de := range counters {
		st.all.Add(de.name, 0)
	}
	for _, re := range core.Reasons {
		st.refusals.Add(string(re), 0)
		st.retries.Add(string(re), 0)
	}
	st.migrations = map[string]*expvar.Map{}
	for _, name := range []string{MigrationsBegun, MigrationsDone, MigrationsFailed} {
		by := new(expvar.Map).Init()
		by.Add(string(migr.Slow), 0)
		by.Add(string(migr.Draining), 0)
		st.migrations[name] = by
		st.all.Set(name, by)
	}
	st.all.Set("Refusals", st.refusals)
	st.all.Set("Retries", st.retries)
	return st
}

// Add adds to a counter.
func (st *Set) Add(name string, by int64) { st.all.Add(name, by) }

// SetFunc makes fn the source of a counter's value: it is called each time the value is read.
func (st *Set) SetFunc(name string, fn func() int64) {
	st.all.Set(name, expvar.Func(func() any { return fn() }))
}

// CountRefusal counts a refusal or failure by its reason.
func (st *Set) CountRefusal(re core.Reason) { st.refusals.Add(string(re), 1) }

// CountRetry counts a retry by the reason why the attempt before it failed.
func (st *Set) CountRetry(re core.Reason) { st.retries.Add(string(re), 1) }

// CountMigration counts a migration of a running stream by its reason.
func (st *Set) CountMigration(name string, re migr.Reason) { st.migrations[name].Add(string(re), 1) }

// Migrations returns the number of migrations for a reason.
func (st *Set) Migrations(name string, re migr.Reason) int64 {
	if va, ok := st.migrations[name].Get(string(re)).(*expvar.Int); ok {
		return va.Value()
	}
	return 0
}

// CountOutcome counts a request by its outcome.
func (st *Set) CountOutcome(ou core.Outcome) { st.all.Add("Answers"+ou.String(), 1) }

// Value returns a counter's value, 0 for an unknown one.
func (st *Set) Value(name string) int64 {
	switch va := st.all.Get(name).(type) {
	case *expvar.Int:
		return va.Value()
	case expvar.Func:
		number, _ := va.Value().(int64)
		return number
	}
	return 0
}

// Refusals returns the number of refusals for a reason.
func (st *Set) Refusals(re core.Reason) int64 { return count(st.refusals, re) }

// Retries returns the number of retries after attempts that failed for a reason.
func (st *Set) Retries(re core.Reason) int64 { return count(st.retries, re) }

func count(by *expvar.Map, re core.Reason) int64 {
	if va, ok := by.Get(string(re)).(*expvar.Int); ok {
		return va.Value()
	}
	return 0
}

// Handler serves the Set as JSON, along with expvar's own variables.
func (st *Set) Handler() http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", "application/json; charset=utf-8")
		out := new(expvar.Map).Init()
		expvar.Do(func(kv expvar.KeyValue) { out.Set(kv.Key, kv.Value) })
		out.Set("Almondrill", st.all)
		_, _ = wr.Write([]byte(out.String()))
	})
}
