// Package stats holds the counters of a process, published by expvar.
//
// # Concepts
//
// A Set belongs to one process; in a demo several live in one program, so a Set
// is served by its process's own handler rather than registered by name. Each refusal reason and each retry
// reason has a counter of its own from the start, so that a graph shows 0 rather
// than nothing.
//
// # Usage
//
//	st := stats.New()
//	st.Refuse(core.ReasonLoadCap)
//	http.Handle("/debug/vars", st.Handler())
package stats

import (
	"expvar"
	"net/http"

	"almondrill/core"
)

// Names of the other counters.
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
	// RegistrationsUnusable counts those that became unreadable.
	RegistrationsUnusable = "RegistrationsUnusable"
	// StoreLed is 1 in a router that asks the platform's store on behalf of all.
	StoreLed = "StoreLed"
	// BytesHeld is how many bytes of bodies and answers are held.
	BytesHeld = "BytesHeld"
	// EndpointsDisplaced counts endpoints whose address another registered with.
	EndpointsDisplaced = "EndpointsDisplaced"
	// ItemsFailed counts those of the store that brought a fault of this program about.
	ItemsFailed = "ItemsFailed"
	// CrashedUnder counts requests that were running at an endpoint when it crashed.
	CrashedUnder = "CrashedUnder"
	// RequestsQuarantined is how many are not sent to endpoints as they crash them, and
	// QuarantineTrials counts those that were sent all the same to see whether they still do.
	RequestsQuarantined = "RequestsQuarantined"
	QuarantineTrials    = "QuarantineTrials"
	// StoreEra counts how often the platform's store came back from a copy.
	StoreEra = "StoreEra"
	// LeavingNotices and BackoffNotices count answers beside which an endpoint announced that it
	// leaves, or asked for no requests for a time.
	LeavingNotices = "LeavingNotices"
	BackoffNotices = "BackoffNotices"
)

// Set is one process's counters.
type Set struct {
	all       *expvar.Map
	refusals  *expvar.Map
	retries   *expvar.Map
	latencies *Latencies
}

// New makes a Set with every counter at 0.
func New() *Set {
	st := &Set{all: new(expvar.Map).Init(), refusals: new(expvar.Map).Init(), retries: new(expvar.Map).Init()}
	for _, de := range counters {
		st.all.Add(de.name, 0)
	}
	for _, re := range core.Reasons {
		st.refusals.Add(string(re), 0)
		st.retries.Add(string(re), 0)
	}
	st.all.Set("Refusals", st.refusals)
	st.all.Set("Retries", st.retries)
	return st
}

// Add changes a counter.
func (st *Set) Add(name string, by int64) { st.all.Add(name, by) }

// SetFunc makes a counter read its value from fn when asked.
func (st *Set) SetFunc(name string, fn func() int64) {
	st.all.Set(name, expvar.Func(func() any { return fn() }))
}

// CountRefusal counts a refusal or failure by reason.
func (st *Set) CountRefusal(re core.Reason) { st.refusals.Add(string(re), 1) }

// CountRetry counts a retry by the reason of the attempt before it.
func (st *Set) CountRetry(re core.Reason) { st.retries.Add(string(re), 1) }

// CountOutcome counts how a request ended.
func (st *Set) CountOutcome(ou core.Outcome) { st.all.Add("Answers"+ou.String(), 1) }

// Value is a counter's value, 0 for an unknown one.
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

// Refusals is the counter of a refusal reason.
func (st *Set) Refusals(re core.Reason) int64 { return count(st.refusals, re) }

// Retries is the counter of a retry reason.
func (st *Set) Retries(re core.Reason) int64 { return count(st.retries, re) }

func count(by *expvar.Map, re core.Reason) int64 {
	if va, ok := by.Get(string(re)).(*expvar.Int); ok {
		return va.Value()
	}
	return 0
}

// Handler serves the Set, beside expvar's own variables, as JSON.
func (st *Set) Handler() http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", "application/json; charset=utf-8")
		out := new(expvar.Map).Init()
		expvar.Do(func(kv expvar.KeyValue) { out.Set(kv.Key, kv.Value) })
		out.Set("Almondrill", st.all)
		_, _ = wr.Write([]byte(out.String()))
	})
}
