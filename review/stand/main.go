// Command stand plays the cases of the review: it starts stand-ins of the platform's store, of
// workers and of clients, runs entry instances of the product as processes, and checks one rule.
// It is started from the root of the repository, with the name of a case and the folder for the
// record. TROUBLE=0 leaves the disruption out.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2

	caseLimit = 115 * time.Second
)

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// caseSpec is a case: the number of its workers, and how it is played. play returns whether the
// rule was broken.
type caseSpec struct {
	site    string
	workers int
	play    func(w *world) (broken bool, err error)
}

var cases = map[string]caseSpec{
	"crashes":       {site: "abialog-grown", workers: 16, play: playCrashes},
	"removed-route": {site: "abialog", workers: 8, play: playRemovedRoute},
	"long-id":       {site: "abialog", workers: 8, play: playLongID},
	"merged-tenant": {site: "abialog", workers: 4, play: playMergedTenant},
	"late-submit":   {site: "abialog", workers: 8, play: playLateSubmit},
	"same-rack":     {site: "abialog-grown", workers: 40, play: playSameRack},
	"same-id":       {site: "abialog", workers: 4, play: playSameID},
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]].play == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitFailed
	}
	c := cases[os.Args[1]]
	w, err := newWorld(os.Args[2], c.workers, boundsOf(c.site))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := c.play(w)
		results <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case r := <-results:
		switch {
		case r.err != nil:
			w.say("%v", r.err)
			return exitFailed
		case r.broken:
			w.say("the rule was broken")
			return exitBroken
		}
		w.say("the rule held")
		return exitHeld
	case <-interrupted:
		w.say("interrupted")
	case <-time.After(caseLimit):
		w.say("the case took too long")
	}
	return exitFailed
}
