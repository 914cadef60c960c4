// Package hfconfig implements the configuration that operators write: its
// resources, their manifests and validation, the replicated state that converges
// to the same revisions on every instance and never reverts to older ones, and
// compare-and-swap writes to the store.
package hfconfig

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

// Kind is the type of a resource.
type Kind string

// The resource kinds.
const (
	KindAccount   Kind = "account"
	KindWork      Kind = "work"
	KindCaller    Kind = "caller"
	KindMerge     Kind = "merge"
	KindObjective Kind = "objective"
)

// Kinds returns every kind in the order in which manifests are applied.
func Kinds() []Kind {
	return []Kind{KindAccount, KindWork, KindCaller, KindMerge, KindObjective}
}

// WatchPrefix is the prefix of all store keys that instances watch.
const WatchPrefix = "watched/"

// ConfigPrefix is the prefix of the store keys of resources.
const ConfigPrefix = WatchPrefix + "config/"

var (
	// ErrInvalid reports an invalid manifest or resource. The errors that wrap it
	// name the field.
	ErrInvalid = eris.New("invalid resource")
	// ErrRevisionConflict reports a write whose expected revision is not the current one.
	ErrRevisionConflict = eris.New("resource has another revision")
	// ErrNotFound reports a resource that does not exist.
	ErrNotFound = eris.New("no such resource")
	// ErrStaleStore reports that the store returned an older state than the
	// configuration in force, such as after a restore from a backup.
	ErrStaleStore = eris.New("store shows an older state than the one in force; writes are refused")
)

// Class is the scheduling class of a kind of work, ordered by urgency.
type Class string

// The classes, most urgent first.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassBatch  Class = "batch"
)

// Classes returns the classes, most urgent first.
func Classes() []Class { return []Class{ClassUrgent, ClassNormal, ClassBatch} }

// Rank returns the position of the class in the order of urgency, 0 for the most
// urgent.
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

// Share returns the minimum fraction of slot time that a class gets under any load
// of the other classes. The shares add up to 1. A class's unused share goes to the
// others.
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

// Guarantee describes blocks of adjacent accelerators in one failure domain that
// are guaranteed to an account.
type Guarantee struct {
	Domain string `json:"domain"`
	Size   int    `json:"size"` // accelerators in one block
	Count  int    `json:"count"`
}

// Account is a client account.
type Account struct {
	Guarantees []Guarantee `json:"guarantees,omitempty"`
	Quota      int         `json:"quota,omitempty"`    // maximum accelerators in use at once; 0: no quota
	Limit      int         `json:"limit,omitempty"`    // maximum requests in flight at once; 0: no limit
	Weight     int         `json:"weight,omitempty"`   // relative share among the accounts of a class; 0 counts as 1
	Alias      string      `json:"alias,omitempty"`    // the account that this one was merged into
	Absorbed   []string    `json:"absorbed,omitempty"` // accounts whose guarantees, quota, limit and weight are included here
}

// Work is a kind of work that client accounts may submit.
type Work struct {
	Type        string   `json:"type"` // request or job
	Class       Class    `json:"class"`
	Idempotent  bool     `json:"idempotent,omitempty"`
	Preemptible bool     `json:"preemptible,omitempty"` // jobs only: may be preempted, and so may run in unclaimed guarantees
	Accounts    []string `json:"accounts"`
	Timeout     int64    `json:"timeout,omitempty"` // requests only: milliseconds until a request times out; 0: 30 s
}

// Caller is the holder of a credential.
type Caller struct {
	Account string `json:"account,omitempty"`
	Hash    string `json:"hash"` // of the secret; output of heatherfront hash
	Role    string `json:"role"` // caller, auditor (may see every job of the account) or operator
}

// Merge moves everything that belongs to one account into another.
type Merge struct {
	From  string `json:"from"`
	Into  string `json:"into"`
	Phase string `json:"phase"` // overlap, commit or done
}

// Objective is a service-level objective for one kind of work of one account.
type Objective struct {
	Account string  `json:"account"`
	Work    string  `json:"work"`
	Target  float64 `json:"target"` // required fraction of good requests or jobs, such as 0.99
	Late    int64   `json:"late"`   // milliseconds; an answer or a job start that takes longer is bad
}

// The values of Caller.Role, Merge.Phase and Work.Type.
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

// Resource is one object of the configuration at one revision.
type Resource struct {
	kind     Kind
	name     string
	revision int64  // store revision of the write; 0 before it is stored
	deleted  bool   // a tombstone, which prevents an older copy from reappearing
	writeID  string // unique to one write
	spec     any    // *Account, *Work, *Caller, *Merge or *Objective; nil when deleted
}

// NewResource returns a resource that is not stored yet.
func NewResource(kind Kind, name string, spec any) Resource {
	return Resource{kind: kind, name: name, spec: spec}
}

// Kind returns the resource's kind.
func (r Resource) Kind() Kind { return r.kind }

// Name returns the resource's name, unique within its kind.
func (r Resource) Name() string { return r.name }

// Revision returns the store revision of the write, or 0 if it is not stored yet.
func (r Resource) Revision() int64 { return r.revision }

// Deleted reports whether the resource is a tombstone.
func (r Resource) Deleted() bool { return r.deleted }

// Spec returns the declared state, or nil for a tombstone.
func (r Resource) Spec() any { return r.spec }

// Key returns the resource's store key.
func (r Resource) Key() string { return Key(r.kind, r.name) }

// WithRevision returns a copy of the resource with the given revision.
func (r Resource) WithRevision(revision int64) Resource {
	r.revision = revision
	return r
}

// Tombstone returns a copy of the resource that marks it as deleted.
func (r Resource) Tombstone() Resource {
	r.deleted, r.spec = true, nil
	return r
}

// Key returns the store key of a resource.
func Key(kind Kind, name string) string {
	return ConfigPrefix + string(kind) + "/" + name
}

// storedResource is the JSON value stored under a resource's key.
type storedResource struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	WriteID string          `json:"writer"`
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
}

// Encode returns the value that is stored for the resource. The write ID makes the
// value unique to one write.
func (r Resource) Encode(writeID string) ([]byte, error) {
	spec, err := json.Marshal(r.spec)
	if err != nil {
		return nil, fmt.Errorf("encode spec: %w", err)
	}
	v := storedResource{Kind: r.kind, Name: r.name, WriteID: writeID, Deleted: r.deleted}
	if !r.deleted {
		v.Spec = spec
	}
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode resource: %w", err)
	}
	return b, nil
}

// Decode decodes a stored value. Unknown fields are ignored, so that instances of
// different versions can run side by side.
func Decode(key string, revision int64, value []byte) (Resource, error) {
	var v storedResource
	if err := json.Unmarshal(value, &v); err != nil {
		return Resource{}, fmt.Errorf("decode %s: %w: %w", key, ErrInvalid, err)
	}
	r := Resource{kind: v.Kind, name: v.Name, revision: revision, deleted: v.Deleted, writeID: v.WriteID}
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
