package main

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
)

func itoa(n int) string { return strconv.Itoa(n) }

// cases are the cases by name. Each returns errBroken if the rule was broken.
var cases = map[string]func(w *world) error{
	"wave":   playWave,
	"memory": playMemory,
	"relist": playRelist,
	"avoid":  playAvoid,
}

// main plays one case: stand-2 NAME FOLDER PROGRAM. It exits with 1 if the rule was broken, 0 if it
// held, and 2 if the case could not run.
func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER PROGRAM")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func play(run func(w *world) error, dir, program string) int {
	w, err := newWorld(dir, program, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		w.note("stopped from outside")
		w.close()
		os.Exit(2)
	}()
	err = run(w)
	w.noteRuns()
	if logErr := w.keepLogs(os.Getenv("KEEP_LOGS")); logErr != nil {
		fmt.Fprintln(os.Stderr, logErr)
	}
	switch {
	case err == nil:
		w.note("held")
		fmt.Println("held")
		return 0
	case isBroken(err):
		w.note("broken: %v", err)
		fmt.Println("broken:", err)
		return 1
	}
	w.note("could not run: %v", err)
	fmt.Println("could not run:", err)
	return 2
}
