// Package hfcrowd tests what processes of the program do under crowds of clients that nobody vouches for. Its
// tests run one at a time and apart from other load (scripts/test.sh): they measure the memory and the
// descriptors of a process.
package hfcrowd
