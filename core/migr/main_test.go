package migr_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid so that runs are reproducible. Use -rapid.seed to try another.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
