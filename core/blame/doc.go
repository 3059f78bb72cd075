// Package blame finds out which requests crash the endpoints that run them.
//
// # Concepts
//
// A request that crashes its endpoint comes back as another attempt, by another router, and
// is sent to the next endpoint. What a router knows of the attempt, or of the endpoint, does
// not show that it is the same request. A Fingerprint does.
//
// An attempt whose connection broke off is no proof of a crash: the endpoint may have been
// slow, or an answer was lost. Breaks keeps such attempts until the endpoint itself turns out
// to be gone.
//
// # Usage
//
//	fp := blame.Fingerprint(customer, method, host, target, body)
//	br := &blame.Breaks{}
//	known := br.Broke(now, blame.Run{Endpoint: hash, Request: fp, Began: began})
//	crashed := br.Gone(now, hash, blame.Refused)
package blame
