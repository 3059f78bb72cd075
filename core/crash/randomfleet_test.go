package crash_test

import (
	"flag"
	"math"
	"testing"
	"time"
)

var explore = flag.Int("explore", 0, "random fleets to simulate beyond the usual ones")

// Endpoints crash, with and without requests that cause it. Each cause has to be stopped with its
// third crash, but for maxLateSends, and bystanders have to be let through, or served again after
// the first trial.
func TestRandomFleets(t *testing.T) {
	for _, pa := range patterns {
		t.Run(pa.name, func(t *testing.T) {
			t.Parallel()
			bystanders, refused, lasting, most := 0, 0, 0, 0
			ended, notices := 0, 0
			var sharing, begun [2]int
			var longest time.Duration
			for seed := range uint64(20 + *explore) {
				fl := newFleet(pa, seed)
				fl.run()
				for fp, count := range fl.lateSends {
					if count > maxLateSends {
						t.Errorf("seed %d: %s was sent %d times too late, %d crashes", seed, fp, count, fl.crashes[fp])
					}
				}
				for _, count := range fl.crashes {
					most = max(most, count)
				}
				for ix := range sharing {
					sharing[ix] += fl.sharing[ix]
					begun[ix] += fl.sharingBegun[ix]
				}
				ended += fl.ended
				notices += fl.ownerNotices
				bystanders += len(fl.bystanders)
				refused += len(fl.firstRefused)
				for fp, at := range fl.firstRefused {
					end := fl.firstPassed[fp]
					if end == 0 {
						end = fleetDuration
					}
					longest = max(longest, end-at)
					if end-at > callerTimeout {
						lasting++
					}
				}
			}
			t.Logf("%d crashes of endpoints, %.1f notices to owners for each", ended, float64(notices)/math.Max(1, float64(ended)))
			t.Logf("%d bystanders of a crash, %d refused wrongly, %d of them for longer than %s, %s at most",
				bystanders, refused, lasting, callerTimeout, longest.Round(time.Millisecond))
			if fl := pa; fl.inParts {
				before, after := float64(begun[0])/float64(sharing[0]), float64(begun[1])/float64(sharing[1])
				t.Logf("%d crashes by one cause at most; %.3f of the sound requests began before, %.3f after", most, before, after)
				if after < before/2 {
					t.Errorf("%.3f of the requests that share a part with the cause begin, %.3f did before", after, before)
				}
			}
			if part := float64(lasting) / math.Max(1, float64(bystanders)); part > maxLasting {
				t.Errorf("%.5f of the bystanders are refused for longer than their callers wait, at most %.5f allowed", part, maxLasting)
			}
			if longest > maxRefusedFor {
				t.Errorf("refused wrongly for %s, at most %s allowed", longest, maxRefusedFor)
			}
		})
	}
}

const (
	// callerTimeout is how long callers wait, including retries, and maxLasting the fraction of the
	// bystanders that may be refused wrongly for longer.
	callerTimeout = 10 * time.Second
	maxLasting    = 0.001
	// maxRefusedFor covers the delay before the first trial, the caller's next retry, and the
	// execution of the trial.
	maxRefusedFor = 30 * time.Second
)
