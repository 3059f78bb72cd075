package stats

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Time names a latency of which quantiles are kept.
type Time string

// Latencies; docs.go tells what they measure.
const (
	AnswerMs  Time = "AnswerMs"
	FirstMs   Time = "FirstMs"
	GapMs     Time = "GapMs"
	SentMs    Time = "SentMs"
	RefusedMs Time = "RefusedMs"
	FailedMs  Time = "FailedMs"
)

// Latency holds the histograms of answers. The zero value is ready.
type Latency struct {
	mu     sync.Mutex // guards byTime
	byTime map[Time]*hdrhistogram.Histogram
}

const (
	// longestMs is the largest time that is told apart, in milliseconds.
	longestMs = 60_000
	// digits is the precision: two significant digits, 20 KB a histogram.
	digits = 2
)

// Note adds a time.
func (la *Latency) Note(ti Time, d time.Duration) {
	la.mu.Lock()
	defer la.mu.Unlock()
	hi := la.byTime[ti]
	if hi == nil {
		if la.byTime == nil {
			la.byTime = map[Time]*hdrhistogram.Histogram{}
		}
		hi = hdrhistogram.New(1, longestMs, digits)
		la.byTime[ti] = hi
	}
	_ = hi.RecordValue(min(longestMs, max(0, d.Milliseconds()))) // always within its range
}

// quantile is a latency's quantile in milliseconds, 0 if nothing was noted.
func (la *Latency) quantile(ti Time, percent float64) int64 {
	la.mu.Lock()
	defer la.mu.Unlock()
	if hi := la.byTime[ti]; hi != nil {
		return hi.ValueAtQuantile(percent)
	}
	return 0
}

// Publish adds the quantiles, in milliseconds, to a Set, and the histograms to its text.
func (la *Latency) Publish(st *Set) {
	st.latency = la
	for _, de := range times {
		for suffix, percent := range map[string]float64{"P50": 50, "P95": 95, "P99": 99, "Max": 100} {
			st.Read(de.name+suffix, func() int64 { return la.quantile(Time(de.name), percent) })
		}
	}
}
