// Package hfseed fixes the seeds of randomised tests, so that a test run gives the
// same verdict every time. A run with -rapid.seed=N tries another seed.
package hfseed

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// Default is the seed of every randomised test in CI.
const Default = "20261204"

// Main runs the tests of a package with fixed seeds. Call it from TestMain.
//
//	func TestMain(m *testing.M) { hfseed.Main(m) }
func Main(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": Default, "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if flag.Lookup(name) != nil {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// Finds tells whether one of a number of runs with fixed seeds returns an error. The
// proofs use it to show that a wrong variant is found out.
func Finds(runs int, run func(*rapid.T) error) bool {
	found := false
	for seed := 0; seed < runs && !found; seed++ {
		rapid.Custom(func(t *rapid.T) bool {
			found = run(t) != nil || found
			return true
		}).Example(seed)
	}
	return found
}
