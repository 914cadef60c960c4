package main

import (
	"fmt"
	"time"
)

// playWave plays two waves of upkeep. Between them a machine is added. A wave may be said to be
// completed only when the upkeep of each of its machines that stay has begun.
func playWave(w *world) error {
	if err := w.config(1, []map[string]any{route("usual", 1, 3)}, []map[string]any{tenant("plants", 8, callerKey)}); err != nil {
		return err
	}
	for i := range 4 {
		if _, err := w.addMinion(fmt.Sprintf("m-%02d", i), "r0", 8); err != nil {
			return err
		}
	}
	const added = "m-new"
	if !w.trouble {
		if _, err := w.addMinion(added, "r0", 8); err != nil {
			return err
		}
	}
	if err := w.startEntries(3); err != nil {
		return err
	}
	time.Sleep(settle)
	if err := w.machines.wave(1, []string{"m-00"}, 1); err != nil {
		return err
	}
	if err := w.await("the first wave", 25*time.Second, func() bool { return w.machines.waveState(1) == "completed" }); err != nil {
		return err
	}
	w.note("operator: status/wave/1 is completed")
	if w.trouble {
		if _, err := w.addMinion(added, "r0", 8); err != nil {
			return err
		}
		w.note("platform: machine %s is added with an empty minion", added)
	}
	time.Sleep(settle)
	if err := w.machines.wave(2, []string{added}, 1); err != nil {
		return err
	}
	if err := w.await("the second wave", 25*time.Second, func() bool { return w.machines.waveState(2) == "completed" }); err != nil {
		return err
	}
	begun, exists := w.machines.hasBegun(added)
	w.note("operator: status/wave/2 is completed; machine %s is there: %t, its upkeep has begun: %t", added, exists, begun)
	if exists && !begun {
		return fmt.Errorf("%w: MIXED: wave 2 is said to be completed, and the upkeep of %s, which stays, has not begun", errBroken, added)
	}
	return nil
}
