// Package crash finds out which requests crash the endpoints that run them.
//
// # Concepts
//
// A request that crashes its endpoint comes back as another attempt, by another router, and
// is sent to the next endpoint. What a router knows of the attempt, or of the endpoint, does
// not show that it is the same request. A Fingerprint does.
//
// An attempt whose connection broke off is no proof of a crash: the endpoint may have been
// slow, or an answer was lost. Breaks keeps such attempts until the endpoint itself turns out
// to be gone. What was running there then are suspects: one of them may be the cause, the others
// were beside it by chance.
//
// A Table counts at how many crashes each suspect was. With the third it is quarantined: no
// router sends it to an endpoint. Two keepers of the request, on which all routers agree,
// count for all. A suspect is cleared by any attempt that ends well, and is not counted
// for a crash at which a quarantined request was. A quarantine ends with an attempt that was
// under way and ends well, by a trial, or when it lapses.
//
// # Invariants
//
//   - A quarantined request is sent again only by trials, two at most in ten minutes, each
//     of which one router wins in the platform's store.
//   - What is kept is bounded whatever callers send.
//
// # Usage
//
//	fp := blame.Fingerprint(customer, method, host, target, body)
//	br := &blame.Breaks{}
//	known := br.Broke(now, blame.Run{Endpoint: hash, Request: fp, Began: began})
//	crashed := br.Gone(now, hash, blame.Refused)
//	ta := &blame.Table{}
//	effects := ta.Crashed(now, hash, crashed)
//	effects = ta.Hear(now, note)
//	if ta.Judge(now, fp).Quarantined { ... }
package crash
