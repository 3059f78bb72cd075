// Package crash finds out which requests crash the endpoints that run them.
//
// # Concepts
//
// A request that crashes its endpoint returns as another attempt, through another router, and
// is sent to the next endpoint. Nothing that a router knows of the attempt or of the endpoint
// shows that it is the same request. A Fingerprint does. Where requests that are all different crash
// endpoints, the cause may be a part of their prompts that they share: a PartFingerprint identifies it,
// and all that is said of requests here holds for such parts.
//
// An attempt whose connection broke is no proof of a crash: the endpoint may have been slow, or a
// response was lost. Interruptions keeps such attempts until the endpoint itself turns out to be
// gone. The requests that were running there at that time are suspects: one of them may be the
// cause, the others are bystanders that ran there by chance.
//
// A Table counts the crashes of each suspect. With the third crash the request is quarantined: no
// router sends it to an endpoint. Two owners of the request, on which all routers agree, count for
// all of them. A suspect is cleared by any attempt that succeeds, and is not charged with a crash
// that is attributed to a quarantined request. A part is a suspect only while no answer has begun, and
// cleared by any answer that goes on under it. A quarantine ends when an attempt that was already
// running succeeds, when a trial succeeds, or when it expires.
//
// # Invariants
//
//   - A quarantined request is sent again only in trials, at most two in ten minutes, each
//     of which one router wins in the platform's store. A quarantined part is then tried every five
//     minutes.
//   - A part is not tried by a request that holds another suspect while others may come without it.
//   - The memory used is bounded, whatever callers send.
//
// # Usage
//
//	fp := crash.Fingerprint(customer, method, host, target, body)
//	in := &crash.Interruptions{}
//	crashed := in.Add(now, crash.Attempt{Endpoint: hash, Request: fp, StartedAt: started})
//	suspects := in.EndpointGone(now, hash, crash.Refused)
//	ta := &crash.Table{}
//	effects := ta.EndpointCrashed(now, hash, suspects)
//	effects = ta.ApplyNotice(now, notice)
//	if ta.Check(now, fp, parts...).Quarantined { ... }
package crash
