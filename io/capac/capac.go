// Package capac generates docs/CAPACITY-AGENTS.md from the results of benchmarks.
//
// # Concepts
//
// Figures are the results of one run of the benchmarks, with the machine that they ran on. They are
// committed as docs/capacity.json. A Row selects the results of a benchmark at several sizes, fits a
// line through them, extrapolates it to the target size, and compares the result with a budget. The
// page and the chart are generated from the committed figures alone, so CI can check that they match.
//
// # Usage
//
//	.ci/measure                      # run the benchmarks, then write figures, page and chart
//	go run ./cmd/capac -page docs    # write page and chart from the committed figures
package capac

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"sort"
	"strconv"
	"strings"

	"golang.org/x/perf/benchfmt"
	"gonum.org/v1/gonum/stat"
)

// Figures holds the results of one run of .ci/measure.
type Figures struct {
	Machine Machine
	// Results holds values by benchmark name (without "Benchmark" and the number of processors) and
	// unit.
	Results map[string]map[string]float64
}

// Machine describes the machine that the benchmarks ran on.
type Machine struct {
	Processor string
	Cores     int
	OS        string
	Go        string
}

// ParseBenchmarks reads the output of go test -bench. A benchmark that ran several times counts
// with the median of its values.
func ParseBenchmarks(in io.Reader) (*Figures, error) {
	all := map[string]map[string][]float64{}
	fi := &Figures{
		Machine: Machine{Cores: runtime.NumCPU(), OS: runtime.GOOS + "/" + runtime.GOARCH, Go: runtime.Version()},
		Results: map[string]map[string]float64{},
	}
	re := benchfmt.NewReader(in, "benchmarks")
	for re.Scan() {
		result, ok := re.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		fi.Machine.Processor = result.GetConfig("cpu")
		name := strings.TrimSuffix(string(result.Name), fmt.Sprintf("-%d", runtime.GOMAXPROCS(0)))
		if all[name] == nil {
			all[name] = map[string][]float64{}
		}
		for _, va := range result.Values {
			unit, value := va.Unit, va.Value
			if va.OrigUnit != "" {
				unit, value = va.OrigUnit, va.OrigValue
			}
			all[name][unit] = append(all[name][unit], value)
		}
	}
	for name, units := range all {
		fi.Results[name] = map[string]float64{}
		for unit, values := range units {
			sort.Float64s(values)
			fi.Results[name][unit] = values[len(values)/2]
		}
	}
	return fi, re.Err()
}

// Load reads figures from a file.
func Load(file string) (*Figures, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var fi Figures
	if err = json.Unmarshal(data, &fi); err != nil {
		return nil, fmt.Errorf("read %s: %w", file, err)
	}
	return &fi, nil
}

// Save writes figures to a file.
func (fi *Figures) Save(file string) error {
	data, err := json.MarshalIndent(fi, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

// point is a measured value at a size.
type point struct{ size, value float64 }

// points returns the values of a benchmark, ordered by size. The names of its results consist of
// prefix, size and suffix.
func (fi *Figures) points(prefix, suffix, unit string) []point {
	var found []point
	for name, units := range fi.Results {
		middle, ok := strings.CutPrefix(name, prefix)
		if !ok {
			continue
		}
		middle, ok = strings.CutSuffix(middle, suffix)
		size, err := strconv.ParseFloat(middle, 64)
		value, measured := units[unit]
		if ok && err == nil && measured {
			found = append(found, point{size, value})
		}
	}
	sort.Slice(found, func(one, two int) bool { return found[one].size < found[two].size })
	return found
}

// line is a linear fit. residual is the largest deviation of a point from it, relative to the
// point's value.
type line struct {
	base, slope, residual float64
	from, to              float64
	count                 int
}

func fit(pts []point) line {
	var xs, ys []float64
	for _, pt := range pts {
		xs, ys = append(xs, pt.size), append(ys, pt.value)
	}
	li := line{count: len(pts)}
	if len(pts) == 0 {
		return li
	}
	li.from, li.to = xs[0], xs[len(xs)-1]
	if len(pts) == 1 {
		li.base = ys[0]
		return li
	}
	li.base, li.slope = stat.LinearRegression(xs, ys, nil, false)
	for _, pt := range pts {
		if pt.value != 0 {
			li.residual = math.Max(li.residual, math.Abs(li.at(pt.size)-pt.value)/math.Abs(pt.value))
		}
	}
	return li
}

func (li line) at(size float64) float64 { return li.base + li.slope*size }
