package retry_test

import (
	"testing"

	"pgregory.net/rapid"

	"almondrill/core"
	"almondrill/core/retry"
)

// Retries must stay within a tenth of first attempts plus the reserve, for each customer and in
// total, for any sequence of first attempts and retries.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bu := &retry.Budget{Ratio: 0.1}
		firsts, retries := map[core.CustomerID]int{}, map[core.CustomerID]int{}
		allFirsts, allRetries := 0, 0
		for range rapid.IntRange(1, 400).Draw(rt, "calls") {
			cu := core.CustomerID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "customer"))
			if rapid.Bool().Draw(rt, "first") {
				bu.RecordFirst(cu)
				firsts[cu]++
				allFirsts++
				continue
			}
			if bu.TryRetry(cu) {
				retries[cu]++
				allRetries++
			}
		}
		for cu, count := range retries {
			if float64(count) > 3.001+0.1*float64(firsts[cu]) {
				rt.Fatalf("customer %s: %d retries for %d first attempts", cu, count, firsts[cu])
			}
		}
		if float64(allRetries) > 10.001+0.1*float64(allFirsts) {
			rt.Fatalf("all customers: %d retries for %d first attempts", allRetries, allFirsts)
		}
	})
}
