package order_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives rapid a fixed seed, so that every run draws the same values; pass -rapid.seed for
// another.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}
