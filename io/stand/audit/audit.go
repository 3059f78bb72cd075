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
	mu      sync.Mutex // guards all below
	keys    map[string]int
	sent    map[string]string
	runs    map[string]int
	counts  Counts
	refused map[string]bool
}

// Counts are the violations found.
type Counts struct {
	// Doubled: runs beyond the first of an idempotency key.
	Doubled int
	// Crossed: answers that were another request's.
	Crossed int
	// CutShort: answers passed off as whole that the endpoint had not sent so.
	CutShort int
	// FalseNotRun: requests called not run that had run.
	FalseNotRun int
}

func (au *Audit) init() {
	if au.keys == nil {
		au.keys, au.sent = map[string]int{}, map[string]string{}
		au.runs, au.refused = map[string]int{}, map[string]bool{}
	}
}

// Ran notes that an endpoint began to run a request.
func (au *Audit) Ran(nonce, key string) {
	au.mu.Lock()
	defer au.mu.Unlock()
	au.init()
	au.runs[nonce]++
	if au.refused[nonce] {
		au.counts.FalseNotRun++
	}
	if key == "" {
		return
	}
	au.keys[key]++
	if au.keys[key] > 1 {
		au.counts.Doubled++
	}
}

// Sent notes the whole answer that an endpoint sent.
func (au *Audit) Sent(nonce, answer string) {
	au.mu.Lock()
	defer au.mu.Unlock()
	au.init()
	au.sent[nonce] = answer
}

// Got notes the answer that a caller was given as whole.
func (au *Audit) Got(nonce, answer string) {
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

// Refused notes that a caller was told its request was not run.
func (au *Audit) Refused(nonce string) {
	au.mu.Lock()
	defer au.mu.Unlock()
	au.init()
	au.refused[nonce] = true
	if au.runs[nonce] > 0 {
		au.counts.FalseNotRun++
	}
}

// Counts are the violations so far.
func (au *Audit) Counts() Counts {
	au.mu.Lock()
	defer au.mu.Unlock()
	return au.counts
}
