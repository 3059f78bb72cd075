// Package trial measures the policies of core: its benchmarks and tests run the
// real routers and agents over the fakes of io/stand/inmem, on virtual time.
//
// # Usage
//
//	go test -run '^$' -bench . -benchtime 1x ./core/trial
//
// Each benchmark has sub-benchmarks for the product's own policy ("own") and for
// baselines, over the same seeded workload.
package trial
