package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/heatherfront/heatherfront/hfstand"
)

const (
	slowAnswer    = 240 * time.Millisecond // platform_slow: 60 times the 4 ms of an answer; at most 83 times
	lostShare     = 0.35                   // platform_lost: x at most 0.35
	lostTime      = 4500 * time.Millisecond
	silentTime    = time.Second // platform_compact: watches hear nothing for a second
	scheduledJobs = 5000
	specBytes     = 1500 // at most 2,000 in the site files, 4,000 on the page
	clientTries   = 5    // the first one and 4 retries
	rounds        = 3    // at most, of the disruption
)

// storeFaults stands before the store of the platform: it loses answers of writes that were done, and
// drops the history of the store.
type storeFaults struct {
	world  *world
	next   http.Handler
	losing atomic.Bool
	slow   atomic.Bool
	silent atomic.Bool
	mu     sync.Mutex
	cut    context.Context // of the watches that wait
	end    context.CancelFunc
	random *rand.Rand
}

func newStoreFaults(w *world) *storeFaults {
	f := &storeFaults{world: w, next: w.store.PlatformHandler(), random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))}
	f.cut, f.end = context.WithCancel(context.Background())
	return f
}

func (f *storeFaults) chance(share float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < share
}

func (f *storeFaults) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if f.slow.Load() {
		time.Sleep(slowAnswer)
	}
	switch {
	case r.URL.Path == "/v1/kv-watch":
		f.watch(rw, r)
	case r.URL.Path == "/v1/kv-txn" && f.losing.Load() && f.chance(lostShare):
		f.next.ServeHTTP(&lostAnswer{header: http.Header{}}, r)
		<-r.Context().Done() // the connection returns nothing further
		panic(http.ErrAbortHandler)
	default:
		f.next.ServeHTTP(rw, r)
	}
}

// watch holds the answers back while watches hear nothing, and is cut when the history is dropped.
func (f *storeFaults) watch(rw http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	cut := f.cut
	f.mu.Unlock()
	if !f.silent.Load() {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		stop := context.AfterFunc(cut, cancel)
		defer stop()
		answer := &keptAnswer{header: http.Header{}}
		f.next.ServeHTTP(answer, r.WithContext(ctx))
		if !f.silent.Load() && cut.Err() == nil {
			answer.send(rw)
			return
		}
	}
	select {
	case <-cut.Done():
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

// compact lets watches hear nothing for a second, drops the history and cuts them.
func (f *storeFaults) compact() {
	f.world.note("platform: watches of the store hear nothing")
	f.silent.Store(true)
	time.Sleep(silentTime)
	f.world.store.Compact()
	f.mu.Lock()
	f.end()
	f.cut, f.end = context.WithCancel(context.Background())
	f.mu.Unlock()
	f.silent.Store(false)
	f.world.note("platform: the store has dropped its history and cut the watches")
}

// lostAnswer drops an answer.
type lostAnswer struct{ header http.Header }

func (a *lostAnswer) Header() http.Header         { return a.header }
func (a *lostAnswer) Write(b []byte) (int, error) { return len(b), nil }
func (a *lostAnswer) WriteHeader(int)             {}

// keptAnswer keeps an answer until it may be sent.
type keptAnswer struct {
	header http.Header
	status int
	body   []byte
}

func (a *keptAnswer) Header() http.Header { return a.header }
func (a *keptAnswer) Write(b []byte) (int, error) {
	a.body = append(a.body, b...)
	return len(b), nil
}
func (a *keptAnswer) WriteHeader(status int) { a.status = status }
func (a *keptAnswer) send(rw http.ResponseWriter) {
	for k, v := range a.header {
		rw.Header()[k] = v
	}
	if a.status != 0 {
		rw.WriteHeader(a.status)
	}
	_, _ = rw.Write(a.body)
}

// playRelist lets the store lose answers of writes while its history is dropped, and clients hand jobs
// in. A job of which each try was rejected must not run.
func playRelist(w *world) error {
	faults := newStoreFaults(w)
	var err error
	if w.storeAddr, err = w.serve(&http.Server{Handler: faults, ReadHeaderTimeout: callTimeout}, ""); err != nil {
		return err
	}
	if err := w.config(1, []map[string]any{route("usual", 1, 3)}, []map[string]any{tenant("plants", 8, callerKey)}); err != nil {
		return err
	}
	for i := range 8 {
		if _, err := w.addMinion(fmt.Sprintf("m-%02d", i), "r0", 8); err != nil {
			return err
		}
	}
	if err := w.startEntries(6); err != nil {
		return err
	}
	time.Sleep(settle)
	if err := w.scheduleJobs(); err != nil {
		return err
	}
	for range rounds {
		if w.trouble {
			go faults.compact()
			time.Sleep(silentTime)
			w.note("platform: the store takes %v for an answer, and loses %.2f of the answers of writes", slowAnswer, lostShare)
			faults.losing.Store(true)
			faults.slow.Store(true)
			time.AfterFunc(lostTime, func() {
				faults.losing.Store(false)
				faults.slow.Store(false)
				w.note("platform: the store is well again")
			})
		}
		rejected := w.handInMany()
		time.Sleep(8 * time.Second)
		for _, s := range w.runLog.Starts() {
			if why := rejected[jobOf(s.Task)]; why != "" {
				return fmt.Errorf("%w: REFUSED: job %s runs, and each try to hand it in was rejected: %s", errBroken, jobOf(s.Task), why)
			}
		}
	}
	return nil
}

// scheduleJobs hands in jobs that are due tomorrow, so that the store holds records as on a usual day.
func (w *world) scheduleJobs() error {
	job := oneTaskJob(1, 2500)
	job["spec"] = strings.Repeat("x", specBytes)
	job["first_run_ms"], job["interval_ms"], job["repetitions"] = time.Now().Add(24*time.Hour).UnixMilli(), 3600000, 2
	var group sync.WaitGroup
	var failed atomic.Int64
	for worker := range 8 {
		group.Go(func() {
			for i := worker; i < scheduledJobs; i += 8 {
				id := fmt.Sprintf("%016x", rand.Uint64())
				if status, _ := w.call(w.entries[i%2], http.MethodPost, "/usual/"+id, job); status != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	group.Wait()
	w.note("client: handed in %d jobs that are due tomorrow, %d not accepted", scheduledJobs, failed.Load())
	if failed.Load() > scheduledJobs/10 {
		return fmt.Errorf("%w: the scheduled jobs were not accepted", errSetup)
	}
	return nil
}

// handInMany hands jobs in at the last instance. It returns those of which
// each try was rejected, with the answers.
func (w *world) handInMany() map[string]string {
	rejected := map[string]string{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for range 160 {
		id := fmt.Sprintf("%016x", rand.Uint64())
		w.setProfile(id, hfstand.TaskProfile{RunTime: 300 * time.Millisecond, GangSize: 1, Accelerators: 1})
		group.Go(func() {
			why, all := w.handInAsClient(id)
			if all {
				mu.Lock()
				rejected[id] = why
				mu.Unlock()
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	group.Wait()
	return rejected
}

// handInAsClient hands a job in as the page says: again after 502, 504 or no answer, and after 429 and
// 503. It reports whether every try was rejected.
func (w *world) handInAsClient(id string) (answers string, rejected bool) {
	rejected = true
	e := w.entries[len(w.entries)-1]
	for try := range clientTries {
		sent := time.Now()
		status, body := w.call(e, http.MethodPost, "/usual/"+id, oneTaskJob(1, 300))
		w.note("client: POST /usual/%s at %s, try %d, after %v -> %d %s", id, e.name, try+1, time.Since(sent), status, strings.TrimSpace(body))
		answers += fmt.Sprintf("%d %s; ", status, strings.TrimSpace(body))
		switch status {
		case http.StatusOK:
			return answers, false
		case 0, http.StatusBadGateway, http.StatusGatewayTimeout:
			rejected = false // the effect is not known
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		default:
			return answers, rejected
		}
		time.Sleep(time.Second)
	}
	return answers, rejected
}
