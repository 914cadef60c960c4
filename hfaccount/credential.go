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

// secretBytes is the length of a generated secret. It is random, so that one
// round of SHA-256 is enough to store it.
const secretBytes = 32

// Root is the name of the operator whose hash comes from the settings.
const Root = "root"

// ErrCredential reports a credential that is missing, malformed or wrong. The
// three are not told apart.
var ErrCredential = eris.New("credential not accepted")

// Identity is an authenticated caller.
type Identity struct {
	caller  string
	account string // resolved through merges; empty for operators
	role    string
}

// Caller returns the caller's name.
func (i Identity) Caller() string { return i.caller }

// Account returns the account that the caller belongs to now.
func (i Identity) Account() string { return i.account }

// Operator tells whether the identity may change the configuration.
func (i Identity) Operator() bool { return i.role == hfconfig.RoleOperator }

// Auditor tells whether the identity may see every job of its account.
func (i Identity) Auditor() bool { return i.role == hfconfig.RoleAuditor }

// Hash returns the stored form of a secret.
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

// Authenticate checks a credential of the form caller:secret. The comparison
// takes the same time whatever the secret. root is the hash of the operator from
// the settings, or "".
func (b *Book) Authenticate(credential, root string) (Identity, error) {
	name, secret, ok := strings.Cut(credential, ":")
	if !ok {
		return Identity{}, ErrCredential
	}
	want, identity := b.lookup(name, root)
	got := Hash(secret)
	if subtle.ConstantTimeCompare([]byte(got), []byte(want)) != 1 {
		return Identity{}, ErrCredential
	}
	if !identity.Operator() && identity.account == "" {
		return Identity{}, ErrCredential
	}
	return identity, nil
}

func (b *Book) lookup(name, root string) (string, Identity) {
	if name == Root && root != "" {
		return root, Identity{caller: Root, role: hfconfig.RoleOperator}
	}
	c, ok := b.view.Callers()[name]
	if !ok {
		return "", Identity{}
	}
	return c.Hash, Identity{caller: name, account: b.alias[c.Account], role: c.Role}
}
