// Package trial contains end-to-end tests and benchmarks of the policies in core. They run real
// routers and agents on the fakes of io/fakes/inmem, in virtual time.
//
// # Usage
//
//	go test -run '^$' -bench . -benchtime 1x ./core/trial
//
// Benchmarks of policies have sub-benchmarks for the product's policy ("own") and for baselines, with
// the same seeded workload.
package trial
