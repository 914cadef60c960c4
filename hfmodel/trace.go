// Package hfmodel drives the decision code with modelled load and measures it: a day
// of gang jobs against first-fit in arrival order, and floods of requests against
// first-come-first-served with random choice. It has no network and no clock of the
// machine; only decision times are real.
package hfmodel

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/heatherfront/heatherfront/hfaccount"
	"github.com/heatherfront/heatherfront/hfconfig"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// Deployment is one failure domain of a system served.
type Deployment struct {
	name     string
	workers  int
	perEight int // accelerators on each 8 workers of a rack
	jobs     int // a day
	accounts int
	shapes   []int // guaranteed sizes of each of the first accounts
}

// Deployments returns the domains of the brief's two systems and of the letter's
// target.
func Deployments() []Deployment {
	return []Deployment{
		{name: "association", workers: 17, perEight: 64, jobs: 170, accounts: 4, shapes: []int{16, 8}},
		{name: "price-desks", workers: 17, perEight: 64, jobs: 170, accounts: 4, shapes: []int{8, 8}},
		{name: "target", workers: 144, perEight: 14, jobs: 320, accounts: 85, shapes: []int{8, 8, 4, 4}},
	}
}

// Sized returns the target's domain with another number of workers, and jobs in
// proportion.
func Sized(workers int) Deployment {
	return Deployment{name: fmt.Sprint("w", workers), workers: workers, perEight: 14, jobs: 320 * workers / 144, accounts: 85, shapes: []int{8, 8, 4, 4}}
}

// Name returns the deployment's name.
func (d Deployment) Name() string { return d.name }

// arrival is one job of a trace.
type arrival struct {
	at     time.Time
	record *hfwire.Job
	run    time.Duration // what it really takes; not told to the scheduler
}

// gang sizes and how often each comes, in percent.
var sizes = []struct{ size, percent int }{{1, 30}, {2, 20}, {4, 20}, {8, 15}, {16, 9}, {32, 5}, {64, 1}}

const (
	medianRun   = 90 * time.Minute
	runSpread   = 0.8 // of the logarithm
	wrongFactor = 3.0 // declared run times are off by up to this
	urgentShare = 0.10
	batchShare  = 0.50
)

// trace draws a day of jobs. The same seed gives the same day.
func (d Deployment) trace(seed uint64, start time.Time) []arrival {
	r := rand.New(rand.NewPCG(seed, 11))
	list := make([]arrival, 0, d.jobs)
	at := start
	mean := 24 * time.Hour / time.Duration(d.jobs)
	for i := range d.jobs {
		if i%10 != 0 { // jobs come in bursts of ten
			at = at.Add(time.Duration(r.ExpFloat64() * float64(2*time.Second)))
		} else {
			at = at.Add(time.Duration(r.ExpFloat64() * 10 * float64(mean)))
		}
		list = append(list, d.draw(r, i, at))
	}
	return list
}

func (d Deployment) draw(r *rand.Rand, i int, at time.Time) arrival {
	run := time.Duration(float64(medianRun) * math.Exp(runSpread*r.NormFloat64()))
	work, account := "normal", r.IntN(d.accounts)
	size := drawSize(r)
	switch p := r.Float64(); {
	case p < urgentShare: // urgent work of accounts with guarantees, within their shapes
		work, account = "urgent", r.IntN(len(d.shapes))
		size = min(size, d.shapes[account])
		run /= 3
	case p < urgentShare+batchShare:
		work = "batch"
	}
	declared := float64(run) * math.Pow(wrongFactor, 2*r.Float64()-1)
	class := map[string]hfconfig.Class{"urgent": hfconfig.ClassUrgent, "normal": hfconfig.ClassNormal, "batch": hfconfig.ClassBatch}[work]
	return arrival{at: at, run: run, record: &hfwire.Job{
		Id: fmt.Sprintf("job%05d", i), Account: fmt.Sprint("a", account), Caller: fmt.Sprintf("a%d-c%d", account, r.IntN(3)),
		Work: work, Class: string(class), Size: uint32(size), Preemptible: work == "batch", Idempotent: true,
		Run: time.Duration(declared).Milliseconds(), Command: "run",
	}}
}

func drawSize(r *rand.Rand) int {
	p := r.IntN(100)
	for _, s := range sizes {
		if p < s.percent {
			return s.size
		}
		p -= s.percent
	}
	return 1
}

// rows returns the workers in racks of 8.
func (d Deployment) rows() map[string]hfworker.Worker {
	rows := map[string]hfworker.Worker{}
	for i := range d.workers {
		n := d.perEight / 8
		if i%8 < d.perEight%8 {
			n++
		}
		name := fmt.Sprintf("w%04d", i)
		rows[name] = hfworker.NewWorker(name, name, "a", "one", fmt.Sprintf("r%03d", i/8), i%8, n, false)
	}
	return rows
}

// book returns the accounts, the first of which have guarantees.
func (d Deployment) book() *hfaccount.Book {
	s := hfconfig.NewState(time.Unix(0, 0))
	var names []string
	revision := int64(0)
	learn := func(kind hfconfig.Kind, name string, spec any) {
		revision++
		s.Update(hfconfig.Learned(hfconfig.NewResource(kind, name, spec).At(revision)), time.Unix(0, 0))
	}
	for i := range d.accounts {
		account := &hfconfig.Account{}
		if i < len(d.shapes) {
			account.Guarantees = []hfconfig.Shape{{Domain: "a", Size: d.shapes[i], Count: 2}}
		}
		names = append(names, fmt.Sprint("a", i))
		learn(hfconfig.KindAccount, names[i], account)
	}
	for _, c := range hfconfig.Classes() {
		learn(hfconfig.KindWork, string(c), &hfconfig.Work{Type: hfconfig.TypeJob, Class: c, Idempotent: true, Preemptible: c == hfconfig.ClassBatch, Accounts: names})
	}
	return hfaccount.NewBook(s.View())
}
