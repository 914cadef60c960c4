package hfevent

import "strings"

// Limits of Rejections.
const (
	// MaxRejections is the number of keys that are remembered. Rejections of further ones count
	// as repeated, and are not logged.
	MaxRejections  = 1000
	MaxReasonBytes = 300 // of a reason, which can quote what was rejected
)

// Rejection describes an entry, or a part of one, that another writer left and that is invalid.
type Rejection struct {
	key      string
	reason   string
	repeated bool
}

// Key returns the key, shortened for the log.
func (r Rejection) Key() string { return r.key }

// Reason returns why the entry is invalid, shortened for the log.
func (r Rejection) Reason() string { return r.reason }

// Repeated reports whether the entry was last rejected for the same reason, so that it need not
// be logged again.
func (r Rejection) Repeated() bool { return r.repeated }

// Rejections remembers for which reason the entry of each key was last rejected. Writers repeat
// their entries: each rejection is counted, and only the first one is logged. It is not safe for
// concurrent use.
type Rejections struct {
	keyBytes int
	reasons  map[string]string // by shortened key
}

// NewRejections returns an empty Rejections that shortens keys to keyBytes.
func NewRejections(keyBytes int) *Rejections {
	return &Rejections{keyBytes: keyBytes, reasons: map[string]string{}}
}

// Reject records that the entry of a key is invalid.
func (r *Rejections) Reject(key, reason string) Rejection {
	j := Rejection{key: shorten(key, r.keyBytes), reason: shorten(reason, MaxReasonBytes)}
	last, known := r.reasons[j.key]
	j.repeated = last == j.reason || (!known && len(r.reasons) >= MaxRejections)
	if !j.repeated {
		r.reasons[j.key] = j.reason
	}
	return j
}

// Forget drops the rejection of a key, whose entry is valid or gone.
func (r *Rejections) Forget(key string) { delete(r.reasons, shorten(key, r.keyBytes)) }

// Retain drops the rejections of the keys with a prefix that are not among keys.
func (r *Rejections) Retain(prefix string, keys []string) {
	retained := map[string]bool{}
	for _, key := range keys {
		retained[shorten(key, r.keyBytes)] = true
	}
	for key := range r.reasons {
		if strings.HasPrefix(key, prefix) && !retained[key] {
			delete(r.reasons, key)
		}
	}
}

// shorten returns the first n bytes of s as valid UTF-8.
func shorten(s string, n int) string { return strings.ToValidUTF8(s[:min(len(s), n)], "?") }
