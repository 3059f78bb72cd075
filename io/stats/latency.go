package stats

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LatencyName is the name of a latency, as served.
type LatencyName string

// Names of the latencies; docs.go explains them.
const (
	AnswerMs  LatencyName = "AnswerMs"
	FirstMs   LatencyName = "FirstMs"
	GapMs     LatencyName = "GapMs"
	SentMs    LatencyName = "SentMs"
	RefusedMs LatencyName = "RefusedMs"
	FailedMs  LatencyName = "FailedMs"
)

// Latencies records latencies in histograms. The zero value is ready to use.
type Latencies struct {
	mu         sync.Mutex // guards histograms
	histograms map[LatencyName]*hdrhistogram.Histogram
}

const (
	// maxLatencyMs is the largest recorded latency, in milliseconds; longer ones count as this.
	maxLatencyMs = 60_000
	// significantDigits is the precision of a histogram, which takes 20 KB with two digits.
	significantDigits = 2
)

// Record adds one measured latency.
func (la *Latencies) Record(name LatencyName, d time.Duration) {
	la.mu.Lock()
	defer la.mu.Unlock()
	hi := la.histograms[name]
	if hi == nil {
		if la.histograms == nil {
			la.histograms = map[LatencyName]*hdrhistogram.Histogram{}
		}
		hi = hdrhistogram.New(1, maxLatencyMs, significantDigits)
		la.histograms[name] = hi
	}
	_ = hi.RecordValue(min(maxLatencyMs, max(0, d.Milliseconds()))) // always within the histogram's range
}

// quantile returns a quantile of a latency in milliseconds, 0 if none was recorded.
func (la *Latencies) quantile(name LatencyName, percent float64) int64 {
	la.mu.Lock()
	defer la.mu.Unlock()
	if hi := la.histograms[name]; hi != nil {
		return hi.ValueAtQuantile(percent)
	}
	return 0
}

// Publish adds the quantiles, in milliseconds, to a Set, and the histograms to what its TextHandler
// serves.
func (la *Latencies) Publish(st *Set) {
	st.latencies = la
	for _, de := range latencies {
		for suffix, percent := range map[string]float64{"P50": 50, "P95": 95, "P99": 99, "Max": 100} {
			st.SetFunc(de.name+suffix, func() int64 { return la.quantile(LatencyName(de.name), percent) })
		}
	}
}
