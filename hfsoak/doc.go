// Package hfsoak holds the randomized soak test. It runs entry instances as processes
// against fakes of the platform and injects faults into both. The package holds test code
// only.
//
//	go test ./hfsoak -run Soak -seeds 50 -parallel 4 -timeout 30m
package hfsoak
