// Package hfsettings reads and validates the settings of one instance from flags
// and from environment variables with the prefix HEATHERFRONT.
package hfsettings

import (
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/rotisserie/eris"

	"golang.org/x/sys/unix"
)

// EnvPrefix is the prefix of the environment variables: the flag --store-url
// corresponds to HEATHERFRONT_STORE_URL.
const EnvPrefix = "HEATHERFRONT"

// ErrInvalidSetting reports a missing or invalid setting. The errors that wrap it name the
// setting.
var ErrInvalidSetting = eris.New("bad setting")

// Settings are the settings of one instance. Intervals and timeouts are durations;
// everything that expires is stored with an absolute deadline instead.
type Settings struct {
	name         string // unique among the live instances
	domain       string // failure domain
	region       string
	listen       string // IP:port for callers and operators
	peer         string // IP:port for other instances
	peerReach    string // advertised IP:port of peer; "": same as peer
	storeURL     string // URL
	membersURL   string // URL
	seeds        string // name=IP:port, separated by commas; used while the membership list is unavailable
	operatorHash string // hash of the root operator's secret, valid even before any caller resource exists

	taskLease         *time.Duration
	heartbeatInterval *time.Duration
	pollInterval      *time.Duration
	healthInterval    *time.Duration
	suspectTimeout    *time.Duration
	stopTimeout       *time.Duration
	retention         *time.Duration
	maxBodyBytes      int64
	maxQueued         int
	memoryMB          int64 // 0: that of the machine
	logLevel          string

	certificateFile string
	keyFile         string
	authorityFile   string
}

// New defines one flag for each setting in a flag set and returns settings with the
// default values, which parsing the flags updates.
func New(fs *flag.FlagSet) *Settings {
	s := &Settings{}
	fs.StringVar(&s.name, "name", "", "name of this instance, unique among the live ones")
	fs.StringVar(&s.domain, "domain", "", "failure domain of this instance")
	fs.StringVar(&s.region, "region", "", "region of this instance")
	fs.StringVar(&s.listen, "listen", "127.0.0.1:8080", "IP:port for callers and operators")
	fs.StringVar(&s.peer, "peer", "127.0.0.1:8081", "IP:port for the other instances")
	fs.StringVar(&s.peerReach, "peer-reach", "", "advertised IP:port of --peer, if other instances reach it at a different address")
	fs.StringVar(&s.storeURL, "store-url", "", "URL of the platform's store")
	fs.StringVar(&s.membersURL, "members-url", "", "URL of the platform's membership list")
	fs.StringVar(&s.seeds, "seeds", "", "name=IP:port of other instances, separated by commas; used while the membership list is unavailable")
	fs.StringVar(&s.operatorHash, "operator-hash", "", "hash of the root operator's secret (output of heatherfront hash)")
	s.taskLease = fs.Duration("lease", 12*time.Second, "duration of a task's lease on a worker, 1s to 5m; at least --suspect plus twice --poll plus twice --beat, so that a gang survives the failure of the instance that renews its leases")
	s.heartbeatInterval = fs.Duration("beat", 500*time.Millisecond, "heartbeat interval between instances, 50ms to 5s")
	s.pollInterval = fs.Duration("poll", 4*time.Second, "interval at which each worker is polled, 100ms to 1m")
	s.healthInterval = fs.Duration("check", time.Second, "interval between health checks of an endpoint, 50ms to 3s")
	s.suspectTimeout = fs.Duration("suspect", 3*time.Second, "time without messages after which an instance is suspected to have failed and others take over its responsibilities; at least six times --beat, because a heartbeat without news is sent only every second interval")
	s.stopTimeout = fs.Duration("stop", 30*time.Second, "timeout of a graceful shutdown, 1s to 10m")
	s.retention = fs.Duration("retain", 7*24*time.Hour, "retention time of finished jobs, 1m to 90 days; shorter if the account's new jobs need their memory (OPERATIONS.md)")
	fs.Int64Var(&s.maxBodyBytes, "max-body", 1<<20, "maximum body size of a request or answer in bytes, 1 to 16 MiB and to an eighth of --memory")
	fs.Int64Var(&s.memoryMB, "memory", 0, "memory that this process may take in MB, 64 to 1048576, or 0 for that of the machine; callers' bodies and answers take an eighth each, connections a third at most")
	fs.IntVar(&s.maxQueued, "queue", 4096, "maximum number of requests that wait in this instance, 1 to 100000")
	fs.StringVar(&s.logLevel, "log-level", "info", "minimum level of logged events: debug, info, warn or error")
	fs.StringVar(&s.certificateFile, "tls-certificate", "", "PEM file of this instance's certificate; turns on TLS between instances and for callers")
	fs.StringVar(&s.keyFile, "tls-key", "", "PEM file of the certificate's key")
	fs.StringVar(&s.authorityFile, "tls-authority", "", "PEM file of the certificate authority that signed the other instances' certificates")
	return s
}

// Parse reads the settings from flags and environment variables and validates them. A
// flag takes precedence over its environment variable.
//
//	fs := flag.NewFlagSet("serve", flag.ContinueOnError)
//	s := hfsettings.New(fs)
//	err := s.Parse(fs, os.Args[2:])
func (s *Settings) Parse(fs *flag.FlagSet, args []string) error {
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	if err := s.Check(); err != nil {
		return fmt.Errorf("check settings: %w", err)
	}
	return nil
}

// Check returns an error that wraps ErrInvalidSetting and names the first missing or
// invalid setting.
func (s *Settings) Check() error {
	checks := []error{
		checkRequired("name", s.name), checkNameCharacters("name", s.name),
		checkRequired("domain", s.domain), checkNameCharacters("domain", s.domain),
		checkRequired("region", s.region), checkNameCharacters("region", s.region),
		checkAddress("listen", s.listen), checkAddress("peer", s.peer), checkAddress("peer-reach", s.AdvertisedPeer()),
		checkURL("store-url", s.storeURL), checkURL("members-url", s.membersURL),
		checkDurationRange("lease", *s.taskLease, time.Second, 5*time.Minute),
		checkDurationRange("beat", *s.heartbeatInterval, 50*time.Millisecond, 5*time.Second),
		checkDurationRange("poll", *s.pollInterval, 100*time.Millisecond, time.Minute),
		checkDurationRange("check", *s.healthInterval, 50*time.Millisecond, 3*time.Second),
		checkDurationRange("suspect", *s.suspectTimeout, 6**s.heartbeatInterval, time.Minute),
		checkDurationRange("stop", *s.stopTimeout, time.Second, 10*time.Minute),
		checkDurationRange("retain", *s.retention, time.Minute, 90*24*time.Hour),
		checkDurationRange("lease", *s.taskLease, *s.suspectTimeout+2**s.pollInterval+2**s.heartbeatInterval, 5*time.Minute),
		checkIntRange("max-body", s.maxBodyBytes, 1, 16<<20),
		s.checkMemory(),
		checkIntRange("queue", int64(s.maxQueued), 1, 100000),
		s.checkSeeds(), s.checkTLS(),
	}
	for _, err := range checks {
		if err != nil {
			return fmt.Errorf("setting: %w", err)
		}
	}
	return nil
}

func checkRequired(name, value string) error {
	if value == "" {
		return fmt.Errorf("%w --%s: it is required", ErrInvalidSetting, name)
	}
	return nil
}

func checkNameCharacters(name, value string) error {
	for _, r := range value {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return fmt.Errorf("%w --%s: %q has characters other than a-z, 0-9 and -", ErrInvalidSetting, name, value)
		}
	}
	return nil
}

func checkAddress(name, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%w --%s: %q is not an IP number with a port", ErrInvalidSetting, name, value)
	}
	return nil
}

func checkURL(name, value string) error {
	hostPort, ok := strings.CutPrefix(value, "http://")
	if !ok {
		hostPort, ok = strings.CutPrefix(value, "https://")
	}
	if _, err := netip.ParseAddrPort(hostPort); !ok || err != nil {
		return fmt.Errorf("%w --%s: %q is not http:// or https:// with an IP number and a port", ErrInvalidSetting, name, value)
	}
	return nil
}

func checkDurationRange(name string, value, low, high time.Duration) error {
	if value < low || value > high {
		return fmt.Errorf("%w --%s: %s is not between %s and %s", ErrInvalidSetting, name, value, low, high)
	}
	return nil
}

func checkIntRange(name string, value, low, high int64) error {
	if value < low || value > high {
		return fmt.Errorf("%w --%s: %d is not between %d and %d", ErrInvalidSetting, name, value, low, high)
	}
	return nil
}

// machineMemory returns the memory of the machine in bytes, or unknownMemory.
func machineMemory() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return unknownMemory
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// unknownMemory is assumed where the memory is not known: that of a node for control (CONTRIBUTING.md).
const unknownMemory = 128 << 20

func (s *Settings) checkMemory() error {
	if s.memoryMB == 0 {
		return nil
	}
	if err := checkIntRange("memory", s.memoryMB, 64, 1<<20); err != nil {
		return err
	}
	return checkIntRange("max-body", s.maxBodyBytes, 1, s.Memory()/BodyMemoryShare)
}

func (s *Settings) checkSeeds() error {
	for name, address := range s.Seeds() {
		if name == "" {
			return fmt.Errorf("%w --seeds: an entry is not name=IP:port", ErrInvalidSetting)
		}
		if err := checkAddress("seeds", address); err != nil {
			return fmt.Errorf("seed %s: %w", name, err)
		}
	}
	return nil
}

func (s *Settings) checkTLS() error {
	given := 0
	for _, file := range []string{s.certificateFile, s.keyFile, s.authorityFile} {
		if file != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		return fmt.Errorf("%w --tls-certificate, --tls-key and --tls-authority: all three or none", ErrInvalidSetting)
	}
	return nil
}
