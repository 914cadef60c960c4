package hfserve

import (
	"strconv"
	"strings"
	"time"

	"github.com/heatherfront/heatherfront/hfendpoint"
	"github.com/heatherfront/heatherfront/hfloop"
	"github.com/heatherfront/heatherfront/hfpeer"
	"github.com/heatherfront/heatherfront/hfwire"
	"github.com/heatherfront/heatherfront/hfworker"
)

// duties remembers for which members and rows the duties were divided last, so
// that they are divided anew only after a change, and which endpoints do not serve.
type duties struct {
	key    string
	unwell map[string]*hfwire.Health // owned endpoints that do not serve
}

// divide decides which workers this instance observes and whose endpoints' slots it
// lends. Each instance does so by itself; views that differ for a moment cost
// double polls or slots lent twice until they agree, and nothing else.
func (s *Server) divide(now time.Time) {
	live := s.live()
	workers := s.workerRows()
	var endpoints []hfendpoint.Endpoint
	s.desk.With(func(r *hfendpoint.Router) { endpoints = r.Rows() })
	key := dutyKey(live, workers, endpoints)
	if hfloop.With(s.duties, func(d *duties) bool { same := d.key == key; d.key = key; return same }) {
		return
	}
	mine := map[string]bool{}
	for name, w := range workers {
		if s.owns("worker/"+name, live, w.Domain(), w.Region()) {
			mine[name] = true
		}
	}
	hfloop.With(s.fleet, func(f *hfworker.Fleet) bool { f.Update(hfworker.Duty(mine), now); return true })
	var owned []hfendpoint.Endpoint
	regions := map[string]int{}
	for _, e := range endpoints {
		regions[e.Region()]++
		if s.owns(endpointDuty(e.Name()), live, "", e.Region()) {
			owned = append(owned, e)
		}
	}
	hfloop.With(s.lender, func(l *hfendpoint.Lender) bool { l.Own(owned, regions, now); return true })
	hfloop.With(s.duties, func(d *duties) bool { d.keepUnwell(owned); return true })
}

// keepUnwell forgets what was found of endpoints that this instance does not own
// any more.
func (d *duties) keepUnwell(owned []hfendpoint.Endpoint) {
	kept := map[string]*hfwire.Health{}
	for _, e := range owned {
		if h, ok := d.unwell[e.Name()]; ok {
			kept[e.Name()] = h
		}
	}
	d.unwell = kept
}

func endpointDuty(name string) string { return "endpoint/" + name }

func (s *Server) owns(duty string, live []hfpeer.Peer, domain, region string) bool {
	owner, ok := hfpeer.Owner(duty, live, domain, region)
	return ok && owner == s.settings.Name()
}

func dutyKey(live []hfpeer.Peer, workers map[string]hfworker.Worker, endpoints []hfendpoint.Endpoint) string {
	var b strings.Builder
	for _, p := range live {
		b.WriteString(p.Name() + "/" + p.Incarnation() + "/" + p.Domain() + "\n")
	}
	var names uint64 // order does not matter
	for name, w := range workers {
		names ^= hfpeer.Weight(name + w.Domain() + w.Region())
	}
	for _, e := range endpoints {
		names ^= hfpeer.Weight(e.Name() + e.Region())
	}
	b.WriteString(strconv.FormatUint(names, 16))
	return b.String()
}
