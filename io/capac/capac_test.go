package capac_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"almondrill/io/capac"
)

const docs = "../../docs"

// The page must match the committed figures. If this fails, run go run ./cmd/capac, or .ci/measure
// for new figures.
func TestPageMatchesFigures(t *testing.T) {
	fi, err := capac.Load(filepath.Join(docs, "capacity.json"))
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(docs, "capacity.tmpl"))
	if err != nil {
		t.Fatal(err)
	}
	want, err := capac.Page(fi, string(text))
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(docs, "CAPACITY-AGENTS.md"))
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != want {
		t.Error("docs/CAPACITY-AGENTS.md is stale; run: go run ./cmd/capac")
	}
	if _, err = capac.Chart(fi); err != nil {
		t.Error(err)
	}
}

// Every row must be fitted through at least three sizes, except for benchmarks without a size.
func TestRowsHaveThreeSizes(t *testing.T) {
	fi, err := capac.Load(filepath.Join(docs, "capacity.json"))
	if err != nil {
		t.Fatal(err)
	}
	for _, ro := range capac.Rows {
		if _, single := fi.Results[ro.Prefix]; single {
			continue
		}
		sizes := 0
		for name, units := range fi.Results {
			if _, measured := units[ro.Metric]; measured && strings.HasPrefix(name, ro.Prefix) && strings.HasSuffix(name, ro.Suffix) {
				sizes++
			}
		}
		if sizes < 3 {
			t.Errorf("%s, %s: %d sizes", ro.Role, ro.What, sizes)
		}
	}
}

// Benchmark output is read by name and unit, and several runs of a benchmark count once.
func TestReadBenchmarks(t *testing.T) {
	in := "cpu: test\nBenchmarkX/n=1-8 1 5 ns/op 7 B/s/node\nBenchmarkX/n=1-8 1 5 ns/op 9 B/s/node\nBenchmarkX/n=1-8 1 5 ns/op 8 B/s/node\n"
	fi, err := capac.ParseBenchmarks(strings.NewReader(in))
	if err != nil {
		t.Fatal(err)
	}
	for name, units := range fi.Results {
		if !strings.HasPrefix(name, "X/n=1") || units["B/s/node"] != 8 {
			t.Errorf("%s: %v", name, units)
		}
	}
	if fi.Machine.Processor != "test" || len(fi.Results) != 1 {
		t.Errorf("%+v", fi)
	}
}
