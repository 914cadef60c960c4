package hfsettings

import (
	"strings"
	"time"
)

// Name returns the instance's name.
func (s *Settings) Name() string { return s.name }

// Domain returns the instance's failure domain.
func (s *Settings) Domain() string { return s.domain }

// Region returns the instance's region.
func (s *Settings) Region() string { return s.region }

// Listen returns the address for callers and operators.
func (s *Settings) Listen() string { return s.listen }

// Peer returns the address for other instances.
func (s *Settings) Peer() string { return s.peer }

// Reach returns the address at which other instances reach this one.
func (s *Settings) Reach() string {
	if s.reach == "" {
		return s.peer
	}
	return s.reach
}

// Store returns the URL of the platform's store.
func (s *Settings) Store() string { return s.store }

// Members returns the URL of the platform's membership list.
func (s *Settings) Members() string { return s.members }

// Operator returns the hash of the first operator's secret, or "".
func (s *Settings) Operator() string { return s.operator }

// Seeds returns the addresses of other instances by name.
func (s *Settings) Seeds() map[string]string {
	seeds := map[string]string{}
	for _, entry := range strings.Split(s.seeds, ",") {
		if entry == "" {
			continue
		}
		name, addr, ok := strings.Cut(entry, "=")
		if !ok {
			name = ""
		}
		seeds[name] = addr
	}
	return seeds
}

// Lease returns the lease of a task on a worker.
func (s *Settings) Lease() time.Duration { return *s.lease }

// Beat returns the interval of messages between instances.
func (s *Settings) Beat() time.Duration { return *s.beat }

// Poll returns the interval of calls to a worker.
func (s *Settings) Poll() time.Duration { return *s.poll }

// HealthInterval returns the interval of health checks of an endpoint.
func (s *Settings) HealthInterval() time.Duration { return *s.check }

// Suspect returns the silence after which an instance's duties move.
func (s *Settings) Suspect() time.Duration { return *s.suspect }

// Stop returns the time that a planned stop may take.
func (s *Settings) Stop() time.Duration { return *s.stop }

// Retain returns the time for which finished jobs are kept.
func (s *Settings) Retain() time.Duration { return *s.retain }

// MaxBody returns the largest request and answer in bytes.
func (s *Settings) MaxBody() int64 { return s.maxBody }

// Queue returns the most requests that wait in this instance.
func (s *Settings) Queue() int { return s.queue }

// LogLevel returns the lowest level that is logged.
func (s *Settings) LogLevel() string { return s.logLevel }

// Certificate returns the file of the instance's certificate, or "".
func (s *Settings) Certificate() string { return s.certificate }

// Key returns the file of the certificate's key, or "".
func (s *Settings) Key() string { return s.key }

// Authority returns the file of the peers' authority, or "".
func (s *Settings) Authority() string { return s.authority }

// Secure tells whether TLS is on.
func (s *Settings) Secure() bool { return s.certificate != "" }
