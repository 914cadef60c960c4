// Package hfmodel simulates load on the scheduling code and measures the results. It
// compares a day of gang jobs with first-fit in arrival order, and overload by requests
// with first-come-first-served dispatch to random endpoints. The simulation uses no
// network and no wall clock; only decision times are measured in real time.
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

// Deployment describes the hardware and the load of one failure domain.
type Deployment struct {
	name             string
	workers          int
	acceleratorsPer8 int // accelerators of 8 workers, which form a rack
	jobsPerDay       int
	accounts         int
	guaranteedSizes  []int // block size of the guarantee of each of the first accounts
}

// Deployments returns one domain of each of the two systems that heatherfront was designed
// for, and one of the size that the design must support (see CONTRIBUTING.md).
func Deployments() []Deployment {
	return []Deployment{
		{name: "association", workers: 17, acceleratorsPer8: 64, jobsPerDay: 170, accounts: 4, guaranteedSizes: []int{16, 8}},
		{name: "price-desks", workers: 17, acceleratorsPer8: 64, jobsPerDay: 170, accounts: 4, guaranteedSizes: []int{8, 8}},
		{name: "target", workers: 144, acceleratorsPer8: 14, jobsPerDay: 320, accounts: 85, guaranteedSizes: []int{8, 8, 4, 4}},
	}
}

// ScaledTarget returns the target deployment with another number of workers and a
// proportional number of jobs.
func ScaledTarget(workers int) Deployment {
	return Deployment{name: fmt.Sprint("w", workers), workers: workers, acceleratorsPer8: 14, jobsPerDay: 320 * workers / 144, accounts: 85, guaranteedSizes: []int{8, 8, 4, 4}}
}

// Name returns the deployment's name.
func (d Deployment) Name() string { return d.name }

// arrival is one job of a trace.
type arrival struct {
	at      time.Time
	job     *hfwire.Job
	runTime time.Duration // actual run time, which the scheduler does not know
}

// gangSizes holds the gang sizes and how often each occurs, in percent.
var gangSizes = []struct{ size, percent int }{{1, 30}, {2, 20}, {4, 20}, {8, 15}, {16, 9}, {32, 5}, {64, 1}}

const (
	medianRunTime    = 90 * time.Minute
	runTimeSigma     = 0.8 // standard deviation of the logarithm
	maxEstimateError = 3.0 // declared run times are too long or too short by up to this factor
	urgentShare      = 0.10
	batchShare       = 0.50
	burstSize        = 10 // jobs that arrive close together
)

// drawTrace draws the arrivals of a day. The same seed gives the same arrivals.
func (d Deployment) drawTrace(seed uint64, start time.Time) []arrival {
	r := rand.New(rand.NewPCG(seed, 11))
	arrivals := make([]arrival, 0, d.jobsPerDay)
	at := start
	meanInterval := 24 * time.Hour / time.Duration(d.jobsPerDay)
	for i := range d.jobsPerDay {
		if i%burstSize != 0 { // jobs arrive in bursts of burstSize
			at = at.Add(time.Duration(r.ExpFloat64() * float64(2*time.Second)))
		} else {
			at = at.Add(time.Duration(r.ExpFloat64() * burstSize * float64(meanInterval)))
		}
		arrivals = append(arrivals, d.drawJob(r, i, at))
	}
	return arrivals
}

func (d Deployment) drawJob(r *rand.Rand, i int, at time.Time) arrival {
	runTime := time.Duration(float64(medianRunTime) * math.Exp(runTimeSigma*r.NormFloat64()))
	work, account := "normal", r.IntN(d.accounts)
	size := drawSize(r)
	switch p := r.Float64(); {
	case p < urgentShare: // urgent jobs belong to accounts with guarantees and fit into them
		work, account = "urgent", r.IntN(len(d.guaranteedSizes))
		size = min(size, d.guaranteedSizes[account])
		runTime /= 3
	case p < urgentShare+batchShare:
		work = "batch"
	}
	declared := float64(runTime) * math.Pow(maxEstimateError, 2*r.Float64()-1)
	class := map[string]hfconfig.Class{"urgent": hfconfig.ClassUrgent, "normal": hfconfig.ClassNormal, "batch": hfconfig.ClassBatch}[work]
	return arrival{at: at, runTime: runTime, job: &hfwire.Job{
		Id: fmt.Sprintf("job%05d", i), Account: fmt.Sprint("a", account), Caller: fmt.Sprintf("a%d-c%d", account, r.IntN(3)),
		Work: work, Class: string(class), Size: uint32(size), Preemptible: work == "batch", Idempotent: true,
		Run: time.Duration(declared).Milliseconds(), Command: "run",
	}}
}

func drawSize(r *rand.Rand) int {
	p := r.IntN(100)
	for _, s := range gangSizes {
		if p < s.percent {
			return s.size
		}
		p -= s.percent
	}
	return 1
}

// workersByName returns the workers, in racks of 8.
func (d Deployment) workersByName() map[string]hfworker.Worker {
	workers := map[string]hfworker.Worker{}
	for i := range d.workers {
		accelerators := d.acceleratorsPer8 / 8
		if i%8 < d.acceleratorsPer8%8 {
			accelerators++
		}
		name := fmt.Sprintf("w%04d", i)
		workers[name] = hfworker.NewWorker(name, name, "a", "one", fmt.Sprintf("r%03d", i/8), i%8, accelerators, false)
	}
	return workers
}

// accountDirectory returns the accounts and kinds of work. The first accounts have guarantees.
func (d Deployment) accountDirectory() *hfaccount.Directory {
	s := hfconfig.NewState(time.Unix(0, 0))
	var names []string
	revision := int64(0)
	add := func(kind hfconfig.Kind, name string, spec any) {
		revision++
		s.Update(hfconfig.Learned(hfconfig.NewResource(kind, name, spec).WithRevision(revision)), time.Unix(0, 0))
	}
	for i := range d.accounts {
		account := &hfconfig.Account{}
		if i < len(d.guaranteedSizes) {
			account.Guarantees = []hfconfig.Guarantee{{Domain: "a", Size: d.guaranteedSizes[i], Count: 2}}
		}
		names = append(names, fmt.Sprint("a", i))
		add(hfconfig.KindAccount, names[i], account)
	}
	for _, c := range hfconfig.Classes() {
		add(hfconfig.KindWork, string(c), &hfconfig.Work{Type: hfconfig.TypeJob, Class: c, Idempotent: true, Preemptible: c == hfconfig.ClassBatch, Accounts: names})
	}
	return hfaccount.NewDirectory(s.View())
}
