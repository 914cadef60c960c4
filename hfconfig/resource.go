// Package hfconfig holds the operators' configuration: its resources, the rule
// by which every instance comes to the same revision and never goes back, and
// the writes by compare-and-swap.
package hfconfig

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// Kind names a type of resource.
type Kind string

// The kinds of resource.
const (
	KindAccount   Kind = "account"
	KindWork      Kind = "work"
	KindCaller    Kind = "caller"
	KindMerge     Kind = "merge"
	KindObjective Kind = "objective"
)

// Kinds lists every kind in the order in which manifests are applied.
func Kinds() []Kind {
	return []Kind{KindAccount, KindWork, KindCaller, KindMerge, KindObjective}
}

// WatchPrefix is the prefix of every key that instances watch.
const WatchPrefix = "watched/"

// ConfigPrefix is the prefix of the keys that hold resources.
const ConfigPrefix = WatchPrefix + "config/"

var (
	// ErrInvalid reports a manifest or resource that breaks a rule; its text
	// names the field.
	ErrInvalid = eris.New("invalid resource")
	// ErrStale reports a write that expected another revision than the current one.
	ErrStale = eris.New("resource has another revision")
	// ErrMissing reports a resource that does not exist.
	ErrMissing = eris.New("no such resource")
	// ErrOlderStore reports a store whose state is older than the one in force.
	ErrOlderStore = eris.New("store shows an older state than the one in force; writes are refused")
)

// Class orders work by urgency.
type Class string

// The classes, most urgent first.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassBatch  Class = "batch"
)

// Classes lists the classes, most urgent first.
func Classes() []Class { return []Class{ClassUrgent, ClassNormal, ClassBatch} }

// Rank returns 0 for the most urgent class.
func (c Class) Rank() int {
	switch c {
	case ClassUrgent:
		return 0
	case ClassNormal:
		return 1
	default:
		return 2
	}
}

// Share returns the part of slot time that a class keeps however much other work
// floods in. The three add up to 1. What a class does not use goes to the others.
func (c Class) Share() float64 {
	switch c {
	case ClassUrgent:
		return 0.5
	case ClassNormal:
		return 0.3
	default:
		return 0.2
	}
}

// Shape is a number of blocks of adjacent accelerators in one failure domain.
type Shape struct {
	Domain string `json:"domain"`
	Size   int    `json:"size"` // accelerators in one block
	Count  int    `json:"count"`
}

// Account is a client account.
type Account struct {
	Guarantees []Shape  `json:"guarantees,omitempty"`
	Quota      int      `json:"quota,omitempty"`    // most accelerators in use at once; 0: no quota
	Limit      int      `json:"limit,omitempty"`    // most requests in flight at once; 0: no limit
	Weight     int      `json:"weight,omitempty"`   // share among accounts of a class; 0 counts as 1
	Alias      string   `json:"alias,omitempty"`    // the account that this one was merged into
	Absorbed   []string `json:"absorbed,omitempty"` // accounts whose terms this one already holds
}

// Work is a kind of work that client accounts may submit.
type Work struct {
	Type        string   `json:"type"` // request or job
	Class       Class    `json:"class"`
	Idempotent  bool     `json:"idempotent,omitempty"`
	Preemptible bool     `json:"preemptible,omitempty"` // jobs only: may borrow unclaimed guarantees
	Accounts    []string `json:"accounts"`
	Timeout     int64    `json:"timeout,omitempty"` // requests only: milliseconds a request may take; 0: 30 s
}

// Caller is one holder of a credential.
type Caller struct {
	Account string `json:"account,omitempty"`
	Hash    string `json:"hash"` // from heatherfront hash
	Role    string `json:"role"` // caller, auditor (sees the whole account) or operator
}

// Merge moves all of one account into another.
type Merge struct {
	From  string `json:"from"`
	Into  string `json:"into"`
	Phase string `json:"phase"` // overlap, commit or done
}

// Objective is a service-level objective.
type Objective struct {
	Account string  `json:"account"`
	Work    string  `json:"work"`
	Target  float64 `json:"target"` // share of requests or jobs that must go well, such as 0.99
	Late    int64   `json:"late"`   // milliseconds; an answer or a start after this did not go well
}

// The values of Caller.Role and Merge.Phase and Work.Type.
const (
	RoleCaller   = "caller"
	RoleAuditor  = "auditor"
	RoleOperator = "operator"

	PhaseOverlap = "overlap"
	PhaseCommit  = "commit"
	PhaseDone    = "done"

	TypeRequest = "request"
	TypeJob     = "job"
)

// Resource is one object at one revision.
type Resource struct {
	kind     Kind
	name     string
	revision int64 // store revision of the write; 0 before it is stored
	deleted  bool  // a tombstone: it keeps an older copy from coming back
	writer   string
	spec     any // *Account, *Work, *Caller, *Merge or *Objective; nil when deleted
}

// NewResource returns a resource that is not stored yet.
func NewResource(kind Kind, name string, spec any) Resource {
	return Resource{kind: kind, name: name, spec: spec}
}

// Kind returns the resource's kind.
func (r Resource) Kind() Kind { return r.kind }

// Name returns the name, unique within the kind.
func (r Resource) Name() string { return r.name }

// Revision returns the store revision that wrote it.
func (r Resource) Revision() int64 { return r.revision }

// Deleted tells whether the resource is a tombstone.
func (r Resource) Deleted() bool { return r.deleted }

// Spec returns the declared state, or nil for a tombstone.
func (r Resource) Spec() any { return r.spec }

// Key returns the store key.
func (r Resource) Key() string { return Key(r.kind, r.name) }

// At returns the resource at a revision.
func (r Resource) At(revision int64) Resource {
	r.revision = revision
	return r
}

// Tombstone returns the resource as deleted.
func (r Resource) Tombstone() Resource {
	r.deleted, r.spec = true, nil
	return r
}

// Key returns the store key of a resource.
func Key(kind Kind, name string) string {
	return ConfigPrefix + string(kind) + "/" + name
}

// stored is the value under a resource's key.
type stored struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Writer  string          `json:"writer"`
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
}

// Encode returns the stored value of a resource. The writer id makes the value
// unique to one write.
func (r Resource) Encode(writer string) ([]byte, error) {
	spec, err := json.Marshal(r.spec)
	if err != nil {
		return nil, fmt.Errorf("encode spec: %w", err)
	}
	v := stored{Kind: r.kind, Name: r.name, Writer: writer, Deleted: r.deleted}
	if !r.deleted {
		v.Spec = spec
	}
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode resource: %w", err)
	}
	return b, nil
}

// Decode reads a stored value. Fields that this version does not know are
// passed over, so that versions can mix.
func Decode(key string, revision int64, value []byte) (Resource, error) {
	var v stored
	if err := json.Unmarshal(value, &v); err != nil {
		return Resource{}, fmt.Errorf("decode %s: %w: %w", key, ErrInvalid, err)
	}
	r := Resource{kind: v.Kind, name: v.Name, revision: revision, deleted: v.Deleted, writer: v.Writer}
	if r.Key() != key {
		return Resource{}, fmt.Errorf("decode %s: %w: it names %s", key, ErrInvalid, r.Key())
	}
	if v.Deleted {
		return r, nil
	}
	spec, err := newSpec(v.Kind)
	if err != nil {
		return Resource{}, fmt.Errorf("decode %s: %w", key, err)
	}
	if err := json.Unmarshal(v.Spec, spec); err != nil {
		return Resource{}, fmt.Errorf("decode %s: %w: %w", key, ErrInvalid, err)
	}
	r.spec = spec
	return r, nil
}

func newSpec(kind Kind) (any, error) {
	switch kind {
	case KindAccount:
		return &Account{}, nil
	case KindWork:
		return &Work{}, nil
	case KindCaller:
		return &Caller{}, nil
	case KindMerge:
		return &Merge{}, nil
	case KindObjective:
		return &Objective{}, nil
	default:
		return nil, fmt.Errorf("%w: kind %q is not one of %s", ErrInvalid, kind, kindNames())
	}
}

func kindNames() string {
	names := make([]string, 0, len(Kinds()))
	for _, k := range Kinds() {
		names = append(names, string(k))
	}
	return strings.Join(names, ", ")
}
