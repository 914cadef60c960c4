// Package hfsoak holds the randomized soak: real entry instances as processes, stand-ins
// of the platform, and faults from outside them. It is test code only.
//
//	go test ./hfsoak -run Soak -seeds 50 -parallel 4 -timeout 30m
package hfsoak
