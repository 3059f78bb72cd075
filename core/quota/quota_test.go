package quota_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondrill/core/quota"
)

// TestMain sets a fixed seed for rapid so that runs are reproducible. Use -rapid.seed to try another.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

// For any sequence of reservations, cancellations and sends, no second may contain more sent requests
// than the limit.
func TestWindowHoldsInEverySecond(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(0, 6).Draw(rt, "limit")
		var wi quota.Window
		var sent []time.Time
		reserved, now := 0, begin
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(rt, "ms")) * time.Millisecond)
			if wi.HasCapacity(now, limit) {
				wi.Reserve()
				reserved++
			}
			if reserved == 0 || rapid.Bool().Draw(rt, "hold") {
				continue
			}
			reserved--
			if rapid.IntRange(0, 3).Draw(rt, "cancel") == 0 {
				wi.Cancel()
				continue
			}
			wi.MarkSent(now)
			sent = append(sent, now)
			within := 0
			for _, at := range sent {
				if now.Sub(at) <= time.Second {
					within++
				}
			}
			if within > limit {
				rt.Fatalf("%d requests sent within a second, limit %d", within, limit)
			}
		}
	})
}
