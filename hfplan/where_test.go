package hfplan

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/heatherfront/heatherfront/hfwork"
)

// dump describes all that a value refers to, with the addresses. Of maps, the order is that of the keys' descriptions.
func dump(value any) string {
	d := dumper{seen: map[dumped]bool{}}
	d.add(reflect.ValueOf(value))
	return d.out.String()
}

type dumped struct {
	at   uintptr
	kind reflect.Type
}

type dumper struct {
	out  strings.Builder
	seen map[dumped]bool
}

func (d *dumper) add(v reflect.Value) {
	switch v.Kind() {
	case reflect.Invalid:
		d.out.WriteString("nil ")
	case reflect.Pointer:
		fmt.Fprintf(&d.out, "%x ", v.Pointer())
		if key := (dumped{v.Pointer(), v.Type()}); v.IsNil() || d.seen[key] {
			return
		} else {
			d.seen[key] = true
		}
		if m, ok := reflect.NewAt(v.Type().Elem(), v.UnsafePointer()).Interface().(proto.Message); ok {
			raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
			fmt.Fprintf(&d.out, "%x %v ", raw, err)
			return
		}
		d.add(v.Elem())
	case reflect.Interface:
		if !v.IsNil() {
			d.out.WriteString(v.Elem().Type().String() + " ")
		}
		d.add(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			d.out.WriteString(v.Type().Field(i).Name + ":")
			d.add(v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		fmt.Fprintf(&d.out, "[%d ", v.Len())
		for i := range v.Len() {
			d.add(v.Index(i))
		}
	case reflect.Map:
		fmt.Fprintf(&d.out, "{%d ", v.Len())
		keys := v.MapKeys()
		names := make(map[string]reflect.Value, len(keys))
		for _, k := range keys {
			names[fmt.Sprint(k)] = k
		}
		for _, name := range sortedKeys(names) {
			d.out.WriteString(name + "=")
			d.add(v.MapIndex(names[name]))
		}
	case reflect.Func, reflect.Chan:
		fmt.Fprintf(&d.out, "%x ", v.Pointer())
	default:
		fmt.Fprintf(&d.out, "%v ", v)
	}
}

// ask asks where a job would go, and requires that this changes nothing.
func (w *world) ask(t *testing.T, queue string, steps ...*hfwork.Step) WhereAnswer {
	t.Helper()
	job := &hfwork.Job{Id: "ffffffffffffffff", Queue: queue, Account: "plants", Steps: steps}
	before, load := dump(w.s), w.s.Load(w.now)
	a := w.s.Where(job, w.now)
	require.True(t, before == dump(w.s), "the scheduler has changed")
	require.Equal(t, load, w.s.Load(w.now))
	require.Equal(t, a, w.s.Where(job, w.now), "the same question has the same answer")
	require.Len(t, a.Steps, max(1, len(steps)))
	return a
}

func whyCounts(a WhereStep) map[string]int {
	counts := map[string]int{}
	for _, g := range a.Workers {
		counts[g.Why] = g.Count
	}
	return counts
}

func TestDumpSeesChanges(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.advance(time.Second)
	w.submit("a", "usual", single(4, time.Minute))
	for name, change := range map[string]func(){
		"reservation": func() { w.s.workers["w0-0"].resources.Reserve(w.s.groups[0], w.now) },
		"timer":       func() { w.s.groups[0].rackSoughtAt = w.now },
		"avoidance":   func() { w.s.groups[0].avoid["w0-1"] = true },
		"cache":       func() { w.s.workers["w0-0"].releasesAt = w.now },
		"dirty job":   func() { w.s.dirtyJobs["b"] = w.s.jobs["a"] },
	} {
		before := dump(w.s)
		require.Equal(t, before, dump(w.s))
		change()
		require.NotEqual(t, before, dump(w.s), name)
	}
}

func TestWhereAJobThatFitsStarts(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.advance(time.Second)
	w.submit("a", "usual", single(8, time.Minute))
	w.advance(time.Second)
	step := gang(3, 8, 10*time.Second)
	a := w.ask(t, "usual", step).Steps[0]
	require.Equal(t, WhereStarts, a.Outcome)
	require.Equal(t, 1, a.Rank)
	require.Equal(t, 3, a.Placed)
	require.Equal(t, map[string]int{whyFits: 7, "has too little room: accelerators": 1}, whyCounts(a))
	var told []string
	for _, p := range a.Placements {
		told = append(told, p.Worker)
	}
	w.submit("b", "usual", step)
	w.advance(time.Second)
	var on []string
	for _, id := range sortedKeys(w.fleet) {
		for _, r := range w.fleet[id].runs {
			if r.task.Job() == "b" {
				on = append(on, id)
			}
		}
	}
	slices.Sort(told)
	require.Equal(t, on, told, "it goes where the answer says")
}

func TestWhereAJobThatWaitsIsToldWhatIsAheadAndWhen(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.advance(time.Second)
	w.submit("busy", "usual", single(16, time.Minute))
	w.advance(time.Second)
	w.submit("small", "usual", single(2, 10*time.Second))
	w.submit("large", "usual", single(16, time.Hour))
	w.advance(50 * time.Millisecond)
	a := w.ask(t, "usual", single(4, 30*time.Second)).Steps[0]
	require.Equal(t, WhereWaits, a.Outcome, a.Why)
	require.Equal(t, 2, a.Rank)
	require.Equal(t, []WhereAhead{{Job: "small", Queue: "usual", Priority: 1, Waiting: 2}}, a.Ahead)
	require.NotNil(t, a.Start)
	require.WithinDuration(t, w.now.Add(59*time.Second), a.Start.Earliest, 5*time.Second)
	require.False(t, a.Start.Expected.Before(a.Start.Earliest))
	require.Positive(t, a.Start.Measured+a.Start.Declared)
}

func TestWhereAJobThatNeverFitsIsToldWhy(t *testing.T) {
	w := newWorld(t, 2, 2)
	w.advance(time.Second)
	large, labelled := single(1, time.Second), single(1, time.Second)
	large.Accelerators, labelled.Label = 9, "nvlink"
	for why, step := range map[string]*hfwork.Step{
		"a task needs 11000 millicores, 29000 MB and 9 accelerators, and the largest of 4 workers have 128000 millicores, 262144 MB and 8 accelerators": large,
		`none of the 4 workers of the pool has the label "nvlink"`:                                                                                      labelled,
		"at most 4 of the 5 tasks, which start together, fit on the 4 workers that could run one":                                                       gang(5, 8, time.Second),
	} {
		a := w.ask(t, "usual", step).Steps[0]
		require.Equal(t, WhereNever, a.Outcome)
		require.Equal(t, why, a.Why)
		require.Nil(t, a.Start)
	}
	require.Equal(t, WhereNothing, w.ask(t, "none", large).Steps[0].Outcome)
}

func TestWhereAnUrgentJobDisplacesOthers(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.advance(time.Second)
	w.submit("busy", "spare", single(16, time.Minute))
	w.advance(time.Second)
	answer := w.ask(t, "urgent", single(3, time.Second))
	a := answer.Steps[0]
	require.True(t, answer.Guaranteed)
	require.Equal(t, WhereDisplaces, a.Outcome, a.Why)
	require.Equal(t, []WhereDisplaced{{Job: "busy", Queue: "spare", Tasks: 3}}, a.Displaced)
	before := w.preempted
	w.submit("urgent", "urgent", single(3, time.Second))
	w.advance(500 * time.Millisecond)
	require.Equal(t, before+3, w.preempted, "it stops as many as the answer says")
	require.Equal(t, WhereWaits, w.ask(t, "spare", single(3, time.Second)).Steps[0].Outcome)
}

func TestWhereSaysWhyWorkersDoNotFit(t *testing.T) {
	w := newWorld(t, 1, 8)
	w.fleet["w0-0"].registration.Draining = true
	w.fleet["w0-1"].registration.Domain = "away"
	w.evacuated = map[string]bool{"away": true}
	w.fleet["w0-7"].registration.Labels = []string{"big"}
	w.replaceScheduler()
	w.advance(time.Second)
	w.s.workers["w0-2"].quarantinedUntil = w.now.Add(time.Minute)
	w.s.updateUsable(w.s.workers["w0-2"], w.now)
	w.submit("a", "usual", checkpointing(gang(5, 8, time.Minute)))
	w.advance(time.Second)
	require.Equal(t, 5, w.running("a"))
	w.submit("b", "usual", checkpointing(gang(3, 8, time.Minute)))
	w.advance(50 * time.Millisecond)
	a := w.ask(t, "spare", single(1, 3*time.Minute)).Steps[0]
	require.Equal(t, 1, whyCounts(a)["is draining"])
	require.Equal(t, 1, whyCounts(a)["its failure domain is evacuated"])
	require.Equal(t, 1, whyCounts(a)["is quarantined"])
	require.Equal(t, 5, whyCounts(a)["has too little room: accelerators"]+whyCounts(a)["is reserved for a job that goes first"])
	labelled := single(1, time.Second)
	labelled.Label = "big"
	require.Equal(t, 7, whyCounts(w.ask(t, "spare", labelled).Steps[0])[`has no label "big"`])
	second := single(1, time.Second)
	second.After = []uint32{0}
	later := w.ask(t, "spare", single(1, time.Second), second).Steps[1]
	require.Equal(t, WhereLater, later.Outcome)
}

// waitingAfter returns how many tasks wait after the pass that an answer tells of.
func waitingAfter(told WhereStep) int {
	if told.Outcome == WhereDisplaces {
		return 0
	}
	return told.Tasks - told.Placed
}

// playQuestions plays a random world and returns what the scheduler decided in it. If it asks where each job would go,
// it requires that as many tasks as told get a worker in the pass after the submission, unless another pass was due.
func playQuestions(t *testing.T, seed uint64, stop time.Duration, asks bool) []Note {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 49))
	w := newWorld(t, 1+random.IntN(3), 2+random.IntN(4))
	if stop > 0 {
		w.stopDelay, w.timing = stop, NewTiming(6*time.Second).WithStopTime(stop)
		for _, q := range w.policy.Queues {
			q.Stretch, q.Objective = 1.5, 400
		}
		w.replaceScheduler()
	}
	w.advance(time.Second)
	outcomes, unsettled := map[WhereOutcome]int{}, 0
	for i := range 40 {
		step := single(1+uint32(random.IntN(12)), time.Duration(1+random.IntN(20))*time.Second)
		if random.IntN(2) == 0 {
			step = gang(1+uint32(random.IntN(6)), int64(1+random.IntN(8)), time.Duration(1+random.IntN(20))*time.Second)
			step.Compact = random.IntN(2) == 0
		}
		step.Saves, step.Apart = random.IntN(2) == 0, uint32(random.IntN(2)*random.IntN(3))
		step.Lasting = random.IntN(8) == 0
		queue, id := []string{"urgent", "usual", "spare"}[random.IntN(3)], fmt.Sprintf("job%02d", i)
		if random.IntN(12) == 0 {
			w.deadly[id+"/0/0/0"] = true
		}
		if random.IntN(6) == 0 {
			w.failingJobs[id] = true
		}
		if f := w.fleet[sortedKeys(w.fleet)[random.IntN(len(w.fleet))]]; random.IntN(10) == 0 {
			f.failsRuns = !f.failsRuns
		}
		w.s.needsPass = true // so that what waits ahead has had its turn
		w.send(TickMsg{})
		var told WhereStep
		pending := false
		if asks {
			answer := w.ask(t, queue, step)
			told, pending = answer.Steps[0], answer.Pending
			outcomes[told.Outcome]++
		}
		w.submit(id, queue, step)
		if asks {
			if pending {
				unsettled++
			} else {
				require.Equal(t, waitingAfter(told), w.s.jobs[id].group(0, 0).waiting(), "seed %d, %s: %+v", seed, id, told)
			}
			w.ask(t, queue, step)
		}
		w.advance(time.Duration(random.IntN(1500)) * time.Millisecond)
	}
	if asks {
		t.Logf("seed %d: %v, %d before another pass was due", seed, outcomes, unsettled)
		require.Less(t, unsettled, 10)
	}
	w.advance(10 * time.Second)
	return w.notes
}

// The worlds with questions and those without decide the same, and do what was told.
func TestWhereChangesNoDecision(t *testing.T) {
	for seed := range uint64(16) {
		require.Equal(t, playQuestions(t, seed, 0, false), playQuestions(t, seed, 0, true), "seed %d", seed)
	}
}

// The same where stops take longer than urgent work can wait, so that room is kept for it.
func TestWhereChangesNoDecisionWhereStopsTakeLong(t *testing.T) {
	const stop = 900 * time.Millisecond
	for seed := range uint64(8) {
		require.Equal(t, playQuestions(t, seed, stop, false), playQuestions(t, seed, stop, true), "seed %d", seed)
	}
}
