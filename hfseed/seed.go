// Package hfseed fixes the seeds of randomised tests, so that every test run has the
// same result. The flag -rapid.seed=N selects another seed.
package hfseed

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// Default is the seed of every randomised test in CI.
const Default = "20261204"

// Main runs the tests of a package with fixed seeds, except for flags that are set on
// the command line. Call it from TestMain.
//
//	func TestMain(m *testing.M) { hfseed.Main(m) }
func Main(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": Default, "rapid.nofailfile": "true"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if flag.Lookup(name) != nil {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// FindsFailure reports whether run returns an error for at least one of the seeds 0 to
// runs-1. Property tests use it to show that they detect a deliberately wrong variant.
func FindsFailure(runs int, run func(*rapid.T) error) bool {
	found := false
	for seed := 0; seed < runs && !found; seed++ {
		rapid.Custom(func(t *rapid.T) bool {
			found = run(t) != nil || found
			return true
		}).Example(seed)
	}
	return found
}
