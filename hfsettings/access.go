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

// Listen returns the listen address for callers and operators.
func (s *Settings) Listen() string { return s.listen }

// Peer returns the listen address for other instances.
func (s *Settings) Peer() string { return s.peer }

// AdvertisedPeer returns the address at which other instances reach this one.
func (s *Settings) AdvertisedPeer() string {
	if s.peerReach == "" {
		return s.peer
	}
	return s.peerReach
}

// StoreURL returns the URL of the platform's store.
func (s *Settings) StoreURL() string { return s.storeURL }

// MembersURL returns the URL of the platform's membership list.
func (s *Settings) MembersURL() string { return s.membersURL }

// OperatorHash returns the hash of the root operator's secret, or "" if there is none.
func (s *Settings) OperatorHash() string { return s.operatorHash }

// Seeds returns the peer addresses of other instances by name. An entry without a
// name has the key "".
func (s *Settings) Seeds() map[string]string {
	seeds := map[string]string{}
	for _, entry := range strings.Split(s.seeds, ",") {
		if entry == "" {
			continue
		}
		name, address, ok := strings.Cut(entry, "=")
		if !ok {
			name = ""
		}
		seeds[name] = address
	}
	return seeds
}

// TaskLease returns the duration of a task's lease on a worker.
func (s *Settings) TaskLease() time.Duration { return *s.taskLease }

// HeartbeatInterval returns the heartbeat interval between instances.
func (s *Settings) HeartbeatInterval() time.Duration { return *s.heartbeatInterval }

// PollInterval returns the interval at which each worker is polled.
func (s *Settings) PollInterval() time.Duration { return *s.pollInterval }

// HealthInterval returns the interval between health checks of an endpoint.
func (s *Settings) HealthInterval() time.Duration { return *s.healthInterval }

// SuspectTimeout returns the time without messages after which an instance is suspected to
// have failed and others take over its responsibilities.
func (s *Settings) SuspectTimeout() time.Duration { return *s.suspectTimeout }

// StopTimeout returns the timeout of a graceful shutdown.
func (s *Settings) StopTimeout() time.Duration { return *s.stopTimeout }

// Retention returns the retention time of finished jobs.
func (s *Settings) Retention() time.Duration { return *s.retention }

// MaxBody returns the maximum size of the body of a request or answer in bytes.
func (s *Settings) MaxBody() int64 { return s.maxBodyBytes }

// BodyMemoryShare is the part of the memory, as a divisor, that the bodies of callers may take. The answers take
// as much again, which is why it is small.
const BodyMemoryShare = 8

// jobMemoryShare is the part of the memory, as a divisor, that jobs may take if this instance leads all domains.
const jobMemoryShare = 6

// JobMemory returns the memory that the jobs of all domains may take in bytes.
func (s *Settings) JobMemory() int64 { return s.Memory() / jobMemoryShare }

// Memory returns the memory that this process may take in bytes.
func (s *Settings) Memory() int64 {
	if s.memoryMB == 0 {
		return machineMemory()
	}
	return s.memoryMB << 20
}

// MemoryLimited reports whether the memory is set.
func (s *Settings) MemoryLimited() bool { return s.memoryMB > 0 }

// MaxQueued returns the maximum number of requests that wait in this instance.
func (s *Settings) MaxQueued() int { return s.maxQueued }

// LogLevel returns the minimum level of logged events.
func (s *Settings) LogLevel() string { return s.logLevel }

// Certificate returns the file name of the instance's certificate, or "" without
// TLS.
func (s *Settings) Certificate() string { return s.certificateFile }

// Key returns the file name of the certificate's private key, or "" without TLS.
func (s *Settings) Key() string { return s.keyFile }

// Authority returns the file name of the certificate authority that signs the
// instances' certificates, or "" without TLS.
func (s *Settings) Authority() string { return s.authorityFile }

// TLSEnabled reports whether TLS is enabled.
func (s *Settings) TLSEnabled() bool { return s.certificateFile != "" }
