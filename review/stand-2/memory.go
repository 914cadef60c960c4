package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/heatherfront/heatherfront/hfstand"
)

const (
	memoryLimitMB  = 284 // limits.memory_mb of the site files
	memoryCheck    = 50 * time.Millisecond
	restartDelay   = time.Second
	usualSchedules = 4
	burstSchedules = 11 // 2.75 times as many; a burst has 2.8 times at most
	hoursOfYear    = 8760
	scheduleTasks  = 16 // as many as a job of meter-backfill has on average
	memoryWatch    = 70 * time.Second
	endsOfFault    = 3 // RULES.md, Fault: processes that end three times
	hostsOfFault   = 2 // on two machines at least
)

// memoryGuard ends processes that exceed their memory, as the platform does, and starts them again.
type memoryGuard struct {
	world *world
	mu    sync.Mutex
	kills map[string]int
	most  map[string]int64
}

func (g *memoryGuard) run() {
	for g.world.ctx.Err() == nil {
		for _, e := range g.world.entries {
			g.check(e)
		}
		time.Sleep(memoryCheck)
	}
}

// check ends an instance whose resident memory is above the limit.
func (g *memoryGuard) check(e *entry) {
	if e.cmd == nil {
		return
	}
	mb := residentMB(e.cmd.Process.Pid)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.most[e.name] = max(g.most[e.name], mb)
	if mb <= memoryLimitMB || g.world.ctx.Err() != nil {
		return
	}
	g.kills[e.name]++
	g.world.note("platform: %s uses %d MB of %d MB and is killed, for the %d. time", e.name, mb, memoryLimitMB, g.kills[e.name])
	g.world.kill(e)
	time.AfterFunc(restartDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.world.ctx.Err() == nil {
			_ = g.world.start(e)
		}
	})
}

// residentMB returns the resident memory of a process, or 0 if it has ended.
func residentMB(pid int) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kb, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				return 0
			}
			return kb / 1000
		}
	}
	return 0
}

// playMemory hands in jobs that run each hour of a year. A burst brings 2.75 times as many.
func playMemory(w *world) error {
	if err := w.config(1, []map[string]any{route("urgent", 0, 3), route("usual", 1, 3)}, []map[string]any{tenant("plants", 24, callerKey)}); err != nil {
		return err
	}
	for i := range 10 {
		if _, err := w.addMinion(fmt.Sprintf("m-%02d", i), fmt.Sprintf("r%d", i/5), 8); err != nil {
			return err
		}
	}
	if err := w.startEntries(3); err != nil {
		return err
	}
	guard := &memoryGuard{world: w, kills: map[string]int{}, most: map[string]int64{}}
	go guard.run()
	schedules := usualSchedules
	if w.trouble {
		schedules = burstSchedules
		w.note("a burst: %d jobs come instead of %d", burstSchedules, usualSchedules)
	}
	step := map[string]any{"count": scheduleTasks, "cpu": 11000, "mem_mb": 29000, "gpu": 1, "estimate_ms": 7600}
	for i := range schedules {
		job := map[string]any{
			"spec": "review", "steps": []map[string]any{step}, "repetitions": hoursOfYear, "interval_ms": time.Hour.Milliseconds(),
			"first_run_ms": time.Now().Add(time.Hour).UnixMilli(),
		}
		if err := w.handIn("/usual/", fmt.Sprintf("%016x", 0xc000+i), job); err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
	}
	done, asked := w.urgentJobs(time.Now().Add(memoryWatch))
	guard.mu.Lock()
	defer guard.mu.Unlock()
	often := 0
	for _, e := range w.entries {
		w.note("%s: used %d MB at most, killed %d times", e.name, guard.most[e.name], guard.kills[e.name])
		if guard.kills[e.name] >= endsOfFault {
			often++
		}
	}
	w.note("client: %d of %d urgent jobs were completed", done, asked)
	if often >= hostsOfFault {
		return fmt.Errorf("%w: Fault: the processes on %d of %d machines exceeded their memory three times or more; %d of %d urgent jobs of the same time were completed",
			errBroken, often, len(w.entries), done, asked)
	}
	return nil
}

// urgentJobs hands an urgent job of one short task in every 2 s until end. It returns how many were
// completed 5 s after the last, and how many were accepted.
func (w *world) urgentJobs(end time.Time) (done, accepted int) {
	var ids []string
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%016x", 0xd000+n)
		w.setProfile(id, hfstand.TaskProfile{RunTime: 300 * time.Millisecond, GangSize: 1, Accelerators: 1})
		status, body := w.call(w.entries[n%len(w.entries)], "POST", "/urgent/"+id, oneTaskJob(1, 300))
		w.note("client: POST /urgent/%s -> %d %s", id, status, strings.TrimSpace(body))
		if status == 200 {
			ids = append(ids, id)
		}
		time.Sleep(2 * time.Second)
	}
	time.Sleep(5 * time.Second)
	for _, id := range ids {
		state := ""
		for n := 0; n < 2*len(w.entries) && len(state) <= len("410"); n++ {
			state = w.state(w.entries[n%len(w.entries)], "/urgent/", id)
		}
		w.note("client: GET /urgent/%s -> %s", id, state)
		if state == "completed" {
			done++
		}
	}
	return done, len(ids)
}
