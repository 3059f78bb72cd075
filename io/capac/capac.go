// Package capac works out docs/CAPACITY-AGENTS.md from measured slopes.
//
// # Concepts
//
// Figures are the results of benchmarks, with the machine they ran on, kept in
// docs/capacity.json. A Row says which figure, at which sizes, is fitted by a
// line, what it comes to at the target, the budget, and the mechanism. The page
// is made from the committed figures alone, so CI can tell when they disagree.
//
// # Usage
//
//	.ci/measure                      # benchmarks, then figures, page and picture
//	go run ./cmd/capac -page docs    # page and picture from the committed figures
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

// Figures are what one run of .ci/measure found.
type Figures struct {
	Machine Machine
	// Results holds metrics by benchmark name (without "Benchmark" and the
	// number of processors) and unit.
	Results map[string]map[string]float64
}

// Machine is where the figures come from.
type Machine struct {
	Processor string
	Cores     int
	OS        string
	Go        string
}

// ParseBenchmarks takes in the output of go test -bench. The same benchmark run several
// times counts as its median.
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

// Load reads committed figures.
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

// Save writes figures.
func (fi *Figures) Save(file string) error {
	data, err := json.MarshalIndent(fi, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

// point is a figure at a size.
type point struct{ size, value float64 }

// points finds the results of a benchmark at its sizes: the name is prefix,
// number, suffix.
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

// line is a fit through points. Residual is the largest deviation of a point
// from it, as a part of that point's value.
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
