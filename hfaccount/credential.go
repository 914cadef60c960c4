package hfaccount

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/heatherfront/heatherfront/hfconfig"
)

// secretBytes is the length of a generated secret. A random secret of this length
// can be stored as a plain SHA-256 hash without a slow password hash.
const secretBytes = 32

// RootCaller is the name of the operator whose secret's hash comes from the
// settings.
const RootCaller = "root"

// ErrInvalidCredential reports a missing, malformed or wrong credential, without
// distinguishing these cases.
var ErrInvalidCredential = eris.New("credential not accepted")

// Identity is an authenticated caller.
type Identity struct {
	caller  string
	account string // resolved through merges; "" for operators
	role    string
}

// Caller returns the caller's name.
func (i Identity) Caller() string { return i.caller }

// Account returns the account that the caller belongs to, resolved through merges,
// or "" for operators.
func (i Identity) Account() string { return i.account }

// Operator reports whether the caller may change the configuration.
func (i Identity) Operator() bool { return i.role == hfconfig.RoleOperator }

// Auditor reports whether the caller may see every job of its account.
func (i Identity) Auditor() bool { return i.role == hfconfig.RoleAuditor }

// Hash returns the SHA-256 hash of a secret in hexadecimal, as stored in a caller's
// spec.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// NewSecret returns a random secret and its hash.
func NewSecret() (secret, hash string) {
	b := make([]byte, secretBytes)
	_, _ = rand.Read(b) // never fails on supported systems
	secret = hex.EncodeToString(b)
	return secret, Hash(secret)
}

// Authenticate checks a credential of the form caller:secret and returns the
// caller's identity. The hashes are compared in constant time. root is the hash of
// the root operator's secret, or "" if the settings have none.
func (d *Directory) Authenticate(credential, root string) (Identity, error) {
	name, secret, ok := strings.Cut(credential, ":")
	if !ok {
		return Identity{}, ErrInvalidCredential
	}
	want, identity := d.findCaller(name, root)
	got := Hash(secret)
	if subtle.ConstantTimeCompare([]byte(got), []byte(want)) != 1 {
		return Identity{}, ErrInvalidCredential
	}
	if !identity.Operator() && identity.account == "" {
		return Identity{}, ErrInvalidCredential
	}
	return identity, nil
}

// findCaller returns the hash of a caller's secret and its identity, or "" if there
// is no such caller.
func (d *Directory) findCaller(name, root string) (string, Identity) {
	if name == RootCaller && root != "" {
		return root, Identity{caller: RootCaller, role: hfconfig.RoleOperator}
	}
	c, ok := d.view.Callers()[name]
	if !ok {
		return "", Identity{}
	}
	return c.Hash, Identity{caller: name, account: d.resolved[c.Account], role: c.Role}
}
