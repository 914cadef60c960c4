// Package hfsettings reads and checks the settings of one instance, from flags
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
)

// EnvPrefix is the prefix of the environment variables: --store-url is
// HEATHERFRONT_STORE_URL.
const EnvPrefix = "HEATHERFRONT"

// ErrSetting reports a setting that is missing or out of range; its text names
// the setting.
var ErrSetting = eris.New("bad setting")

// Settings of one instance. Intervals are settings, the one place where the
// program keeps durations; everything that runs out is a stored deadline.
type Settings struct {
	name     string // unique among the live instances
	domain   string // failure domain
	region   string
	listen   string // IP:port for callers and operators
	peer     string // IP:port for other instances
	reach    string // IP:port at which other instances reach peer; "": peer itself
	store    string // URL
	members  string // URL
	seeds    string // name=IP:port, separated by commas; used while the list is away
	operator string // hash of the first operator's secret, in force before any caller resource

	lease    *time.Duration
	beat     *time.Duration
	poll     *time.Duration
	check    *time.Duration
	suspect  *time.Duration
	stop     *time.Duration
	retain   *time.Duration
	maxBody  int64
	queue    int
	logLevel string

	certificate string
	key         string
	authority   string
}

// New returns settings with their defaults, bound to a flag set.
func New(fs *flag.FlagSet) *Settings {
	s := &Settings{}
	fs.StringVar(&s.name, "name", "", "name of this instance, unique among the live ones")
	fs.StringVar(&s.domain, "domain", "", "failure domain of this instance")
	fs.StringVar(&s.region, "region", "", "region of this instance")
	fs.StringVar(&s.listen, "listen", "127.0.0.1:8080", "IP:port for callers and operators")
	fs.StringVar(&s.peer, "peer", "127.0.0.1:8081", "IP:port for the other instances")
	fs.StringVar(&s.reach, "peer-reach", "", "IP:port at which the other instances reach --peer, if it differs")
	fs.StringVar(&s.store, "store-url", "", "URL of the platform's store")
	fs.StringVar(&s.members, "members-url", "", "URL of the platform's membership list")
	fs.StringVar(&s.seeds, "seeds", "", "name=IP:port of other instances, separated by commas, for when the list is away")
	fs.StringVar(&s.operator, "operator-hash", "", "hash of the first operator's secret (heatherfront hash)")
	s.lease = fs.Duration("lease", 12*time.Second, "lease of a task on a worker, 1s to 5m; at least the suspicion time, two polls and two beats, so that a gang outlives the instance that renews it")
	s.beat = fs.Duration("beat", 500*time.Millisecond, "interval of messages between instances, 50ms to 5s")
	s.poll = fs.Duration("poll", 4*time.Second, "interval of calls to a worker, 100ms to 1m")
	s.check = fs.Duration("check", time.Second, "interval of health checks of an endpoint, 50ms to 3s")
	s.suspect = fs.Duration("suspect", 3*time.Second, "silence after which an instance's duties move; at least six beats, as one without news comes every second beat")
	s.stop = fs.Duration("stop", 30*time.Second, "time a planned stop may take, 1s to 10m")
	s.retain = fs.Duration("retain", 7*24*time.Hour, "time for which finished jobs are kept, 1m to 90 days")
	fs.Int64Var(&s.maxBody, "max-body", 1<<20, "largest request and answer in bytes, 1 to 16 MiB")
	fs.IntVar(&s.queue, "queue", 4096, "most requests that wait in this instance, 1 to 100000")
	fs.StringVar(&s.logLevel, "log-level", "info", "debug, info, warn or error")
	fs.StringVar(&s.certificate, "tls-certificate", "", "PEM file of this instance's certificate; turns on TLS between instances and for callers")
	fs.StringVar(&s.key, "tls-key", "", "PEM file of the certificate's key")
	fs.StringVar(&s.authority, "tls-authority", "", "PEM file of the authority that signed the other instances' certificates")
	return s
}

// Parse reads flags and environment and checks every setting.
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

// Check returns ErrSetting with the name of the first setting that is missing
// or out of range.
func (s *Settings) Check() error {
	checks := []error{
		needed("name", s.name), plain("name", s.name),
		needed("domain", s.domain), plain("domain", s.domain),
		needed("region", s.region), plain("region", s.region),
		address("listen", s.listen), address("peer", s.peer), address("peer-reach", s.Reach()),
		url("store-url", s.store), url("members-url", s.members),
		within("lease", *s.lease, time.Second, 5*time.Minute),
		within("beat", *s.beat, 50*time.Millisecond, 5*time.Second),
		within("poll", *s.poll, 100*time.Millisecond, time.Minute),
		within("check", *s.check, 50*time.Millisecond, 3*time.Second),
		within("suspect", *s.suspect, 6**s.beat, time.Minute),
		within("stop", *s.stop, time.Second, 10*time.Minute),
		within("retain", *s.retain, time.Minute, 90*24*time.Hour),
		within("lease", *s.lease, *s.suspect+2**s.poll+2**s.beat, 5*time.Minute),
		between("max-body", s.maxBody, 1, 16<<20),
		between("queue", int64(s.queue), 1, 100000),
		s.checkSeeds(), s.checkTLS(),
	}
	for _, err := range checks {
		if err != nil {
			return fmt.Errorf("setting: %w", err)
		}
	}
	return nil
}

func needed(name, value string) error {
	if value == "" {
		return fmt.Errorf("%w --%s: it is required", ErrSetting, name)
	}
	return nil
}

func plain(name, value string) error {
	for _, r := range value {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return fmt.Errorf("%w --%s: %q has characters other than a-z, 0-9 and -", ErrSetting, name, value)
		}
	}
	return nil
}

func address(name, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("%w --%s: %q is not an IP number with a port", ErrSetting, name, value)
	}
	return nil
}

func url(name, value string) error {
	rest, ok := strings.CutPrefix(value, "http://")
	if !ok {
		rest, ok = strings.CutPrefix(value, "https://")
	}
	if _, err := netip.ParseAddrPort(rest); !ok || err != nil {
		return fmt.Errorf("%w --%s: %q is not http:// or https:// with an IP number and a port", ErrSetting, name, value)
	}
	return nil
}

func within(name string, value, low, high time.Duration) error {
	if value < low || value > high {
		return fmt.Errorf("%w --%s: %s is not between %s and %s", ErrSetting, name, value, low, high)
	}
	return nil
}

func between(name string, value, low, high int64) error {
	if value < low || value > high {
		return fmt.Errorf("%w --%s: %d is not between %d and %d", ErrSetting, name, value, low, high)
	}
	return nil
}

func (s *Settings) checkSeeds() error {
	for name, addr := range s.Seeds() {
		if name == "" {
			return fmt.Errorf("%w --seeds: an entry is not name=IP:port", ErrSetting)
		}
		if err := address("seeds", addr); err != nil {
			return fmt.Errorf("seed %s: %w", name, err)
		}
	}
	return nil
}

func (s *Settings) checkTLS() error {
	given := 0
	for _, v := range []string{s.certificate, s.key, s.authority} {
		if v != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		return fmt.Errorf("%w --tls-certificate, --tls-key and --tls-authority: all three or none", ErrSetting)
	}
	return nil
}
