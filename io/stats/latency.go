package stats

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latency holds the histograms of answers. The zero value is ready.
type Latency struct {
	mu    sync.Mutex // guards both
	whole *hdrhistogram.Histogram
	first *hdrhistogram.Histogram
}

const (
	// longestMs is the largest time that is told apart, in milliseconds.
	longestMs = 60_000
	// digits is the precision: two significant digits, 20 KB a histogram.
	digits = 2
)

// Whole notes the time from a request to the end of its answer.
func (la *Latency) Whole(d time.Duration) { la.note(&la.whole, d) }

// First notes the time from a request to the beginning of its answer.
func (la *Latency) First(d time.Duration) { la.note(&la.first, d) }

func (la *Latency) note(hi **hdrhistogram.Histogram, d time.Duration) {
	la.mu.Lock()
	defer la.mu.Unlock()
	if *hi == nil {
		*hi = hdrhistogram.New(1, longestMs, digits)
	}
	_ = (*hi).RecordValue(min(longestMs, max(0, d.Milliseconds()))) // always within its range
}

// Publish adds the quantiles, in milliseconds, to a Set.
func (la *Latency) Publish(st *Set) {
	for name, hi := range map[string]**hdrhistogram.Histogram{"AnswerMs": &la.whole, "FirstMs": &la.first} {
		for suffix, quantile := range map[string]float64{"P50": 50, "P95": 95, "P99": 99, "Max": 100} {
			st.Read(name+suffix, func() int64 {
				la.mu.Lock()
				defer la.mu.Unlock()
				if *hi == nil {
					return 0
				}
				return (*hi).ValueAtQuantile(quantile)
			})
		}
	}
}
