package stats

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LatencyName names a latency of which quantiles are kept.
type LatencyName string

// Latencies; docs.go tells what they measure.
const (
	AnswerMs  LatencyName = "AnswerMs"
	FirstMs   LatencyName = "FirstMs"
	GapMs     LatencyName = "GapMs"
	SentMs    LatencyName = "SentMs"
	RefusedMs LatencyName = "RefusedMs"
	FailedMs  LatencyName = "FailedMs"
)

// Latencies holds the histograms of answers. The zero value is ready.
type Latencies struct {
	mu         sync.Mutex // guards byTime
	histograms map[LatencyName]*hdrhistogram.Histogram
}

const (
	// maxLatencyMs is the largest time that is told apart, in milliseconds.
	maxLatencyMs = 60_000
	// significantDigits is the precision: two significant digits, 20 KB a histogram.
	significantDigits = 2
)

// Record adds a time.
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
	_ = hi.RecordValue(min(maxLatencyMs, max(0, d.Milliseconds()))) // always within its range
}

// quantile is a latency's quantile in milliseconds, 0 if nothing was noted.
func (la *Latencies) quantile(name LatencyName, percent float64) int64 {
	la.mu.Lock()
	defer la.mu.Unlock()
	if hi := la.histograms[name]; hi != nil {
		return hi.ValueAtQuantile(percent)
	}
	return 0
}

// Publish adds the quantiles, in milliseconds, to a Set, and the histograms to its text.
func (la *Latencies) Publish(st *Set) {
	st.latencies = la
	for _, de := range latencies {
		for suffix, percent := range map[string]float64{"P50": 50, "P95": 95, "P99": 99, "Max": 100} {
			st.SetFunc(de.name+suffix, func() int64 { return la.quantile(LatencyName(de.name), percent) })
		}
	}
}
