package stats

import (
	"bufio"
	"cmp"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"slices"
)

// bucketBoundsMs are the upper bounds, in milliseconds, of the buckets in which latencies are
// served. They are close together around the latency goals of routes, 150 to 600 ms.
var bucketBoundsMs = []int64{10, 20, 50, 100, 150, 200, 300, 400, 600, 1000, 2000, 5000, 10000}

// TextHandler serves the Set in the text format that metrics scrapers read, one value a line. The
// counters of reasons have the reason as a label. Latencies are served as cumulative buckets.
func (st *Set) TextHandler() http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
		wr.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		out := bufio.NewWriter(wr)
		st.all.Do(func(kv expvar.KeyValue) {
			if by, ok := kv.Value.(*expvar.Map); ok {
				by.Do(func(re expvar.KeyValue) { fmt.Fprintf(out, "%s{Reason=%q} %s\n", kv.Key, re.Key, re.Value) })
				return
			}
			fmt.Fprintf(out, "%s %s\n", kv.Key, kv.Value)
		})
		if st.latencies != nil {
			st.latencies.writeBuckets(out)
		}
		_ = out.Flush() // fails only if the client has disconnected
	})
}

// writeBuckets writes the buckets, sum and count of every latency that was recorded.
func (la *Latencies) writeBuckets(out io.Writer) {
	la.mu.Lock()
	defer la.mu.Unlock()
	for _, de := range latencies {
		hi := la.histograms[LatencyName(de.name)]
		if hi == nil {
			continue
		}
		counts := make([]int64, len(bucketBoundsMs))
		for _, bar := range hi.Distribution() {
			at, _ := slices.BinarySearchFunc(bucketBoundsMs, bar.To, cmp.Compare[int64])
			for ; at < len(bucketBoundsMs); at++ {
				counts[at] += bar.Count
			}
		}
		for ix, bound := range bucketBoundsMs {
			fmt.Fprintf(out, "%s_bucket{le=\"%d\"} %d\n", de.name, bound, counts[ix])
		}
		fmt.Fprintf(out, "%s_bucket{le=\"+Inf\"} %d\n", de.name, hi.TotalCount())
		fmt.Fprintf(out, "%s_sum %.0f\n%s_count %d\n", de.name, hi.Mean()*float64(hi.TotalCount()), de.name, hi.TotalCount())
	}
}
