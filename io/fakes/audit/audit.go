// Package audit detects violations of the router's guarantees by comparing what fake endpoints
// executed and sent with what callers received.
//
// # Concepts
//
// Endpoints record every execution and complete response; callers record every response or refusal
// that they get. The routers and agents in between take no part, so a fault in them cannot hide a
// violation.
//
// # Usage
//
//	au := &audit.Audit{}
//	au.RecordExecution(nonce, key)      // endpoint, at the start
//	au.RecordSent(nonce, answer)        // endpoint, once its answer is complete
//	au.RecordReceived(nonce, answer)    // caller, if the answer was marked complete
//	au.RecordNotRun(nonce)              // caller, if it was refused as not run
package audit

import "sync"

// Audit holds the records of endpoints and callers. The zero value is ready to use.
type Audit struct {
	mu              sync.Mutex // guards all below
	executionsByKey map[string]int
	sent            map[string]string
	executions      map[string]int
	counts          Counts
	notRun          map[string]bool
}

// Counts holds the violations found.
type Counts struct {
	// Duplicates counts executions of an idempotency key beyond the first.
	Duplicates int
	// Crossed counts answers that belong to another request.
	Crossed int
	// CutShort counts truncated answers that were delivered as complete.
	CutShort int
	// FalseNotRun counts requests that were executed but reported to the caller as not run.
	FalseNotRun int
}

func (au *Audit) init() {
	if au.executionsByKey == nil {
		au.executionsByKey, au.sent = map[string]int{}, map[string]string{}
		au.executions, au.notRun = map[string]int{}, map[string]bool{}
	}
}

// RecordExecution records that an endpoint started to execute a request. An empty key stands for
// none.
func (au *Audit) RecordExecution(nonce, key string) {
	au.mu.Lock()
	defer au.mu.Unlock()
	au.init()
	au.executions[nonce]++
	if au.notRun[nonce] {
		au.counts.FalseNotRun++
	}
	if key == "" {
		return
	}
	au.executionsByKey[key]++
	if au.executionsByKey[key] > 1 {
		au.counts.Duplicates++
	}
}

// RecordSent records the complete answer that an endpoint sent.
func (au *Audit) RecordSent(nonce, answer string) {
	au.mu.Lock()
	defer au.mu.Unlock()
	au.init()
	au.sent[nonce] = answer
}

// RecordReceived records an answer that was delivered to a caller as complete.
func (au *Audit) RecordReceived(nonce, answer string) {
	au.mu.Lock()
	defer au.mu.Unlock()
	au.init()
	want, known := au.sent[nonce]
	switch {
	case known && answer == want:
	case known && len(answer) < len(want) && want[:len(answer)] == answer:
		au.counts.CutShort++
	default:
		au.counts.Crossed++
	}
}

// RecordNotRun records that a caller's request was refused as not run.
func (au *Audit) RecordNotRun(nonce string) {
	au.mu.Lock()
	defer au.mu.Unlock()
	au.init()
	au.notRun[nonce] = true
	if au.executions[nonce] > 0 {
		au.counts.FalseNotRun++
	}
}

// Counts returns the violations found so far.
func (au *Audit) Counts() Counts {
	au.mu.Lock()
	defer au.mu.Unlock()
	return au.counts
}
