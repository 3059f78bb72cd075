// Capac generates docs/CAPACITY-AGENTS.md and its chart. With -figures it first reads the output of
// benchmarks from standard input and writes new figures; see .ci/measure.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"almondrill/io/capac"
)

func main() {
	docs := flag.String("page", "docs", "folder of the page, the figures and the template")
	figures := flag.Bool("figures", false, "read new benchmark output from standard input")
	flag.Parse()
	if err := run(*docs, *figures); err != nil {
		fmt.Fprintln(os.Stderr, "capac:", err)
		os.Exit(1)
	}
}

func run(docs string, figures bool) error {
	file := filepath.Join(docs, "capacity.json")
	if figures {
		fi, err := capac.ParseBenchmarks(os.Stdin)
		if err != nil {
			return err
		}
		if err = fi.Save(file); err != nil {
			return err
		}
	}
	fi, err := capac.Load(file)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(filepath.Join(docs, "capacity.tmpl"))
	if err != nil {
		return err
	}
	page, err := capac.Page(fi, string(text))
	if err != nil {
		return err
	}
	if err = os.WriteFile(filepath.Join(docs, "CAPACITY-AGENTS.md"), []byte(page), 0o644); err != nil {
		return err
	}
	chart, err := capac.Chart(fi)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(docs, "capacity.svg"), chart, 0o644)
}
