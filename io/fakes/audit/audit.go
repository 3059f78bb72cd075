// Package audit counts, at the stand-ins, what must never happen: work that ran
// twice, answers that reached the wrong caller, answers passed off as whole.
//
// # Concepts
//
// Endpoints note every run; callers note what they were told. The router and the
// agents between them have no part in it.
//
// # Usage
//
//	au := &audit.Audit{}
//	au.Ran(key)                     // endpoint
//	au.Sent(nonce, answer)          // endpoint, once its answer is complete
//	au.Got(nonce, answer)           // caller, told that the answer is whole
//	au.Refused(nonce)               // caller, told that it was not run
package audit

import "sync"

// Audit collects both sides. The zero value is ready.
type Audit struct {
	mu              sync.Mutex // guards all below
	executionsByKey map[string]int
	sent            map[string]string
	executions      map[string]int
	counts          Counts
	notRun          map[string]bool
}

// Counts are the violations found.
type Counts struct {
	// Doubled: runs beyond the first of an idempotency key.
	Duplicates int
	// Crossed: answers that were another request's.
	Crossed int
	// CutShort: answers passed off as whole that the endpoint had not sent so.
	CutShort int
	// FalseNotRun: requests called not run that had run.
	FalseNotRun int
}

func (au *Audit) init() {
	if au.executionsByKey == nil {
		au.executionsByKey, au.sent = map[string]int{}, map[string]string{}
		au.executions, au.notRun = map[string]int{}, map[string]bool{}
	}
}

// RecordExecution notes that an endpoint began to run a request.
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

// RecordSent notes the whole answer that an endpoint sent.
func (au *Audit) RecordSent(nonce, answer string) {
	au.mu.Lock()
	defer au.mu.Unlock()
	au.init()
	au.sent[nonce] = answer
}

// RecordReceived notes the answer that a caller was given as whole.
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

// RecordNotRun notes that a caller was told its request was not run.
func (au *Audit) RecordNotRun(nonce string) {
	au.mu.Lock()
	defer au.mu.Unlock()
	au.init()
	au.notRun[nonce] = true
	if au.executions[nonce] > 0 {
		au.counts.FalseNotRun++
	}
}

// Counts are the violations so far.
func (au *Audit) Counts() Counts {
	au.mu.Lock()
	defer au.mu.Unlock()
	return au.counts
}
