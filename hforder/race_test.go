//go:build race

package hforder

import "runtime"

// The race detector itself crashes when the goroutines of wide worlds run in parallel ("CHECK failed:
// tsan_rtl.cpp", or a fault in its StackDepot). It finds races by the order of events, also on one processor.
func init() { runtime.GOMAXPROCS(1) }
