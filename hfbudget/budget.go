// Package hfbudget divides an amount of memory between client accounts.
package hfbudget

// Owner is what memory is counted for: the urgent or the other jobs of a client account.
type Owner struct {
	account string
	urgent  bool
}

// NewOwner returns the owner of the urgent or of the other jobs of an account.
func NewOwner(account string, urgent bool) Owner { return Owner{account: account, urgent: urgent} }

// minimumShare is the part of a budget, as a divisor, that each owner may use whatever the others
// use. Those may have been given more than there is: by an earlier release, or by instances that had
// not heard of each other's jobs.
const minimumShare = 128

// Budget is an amount of memory of which each owner may use as much as stays free. One owner alone
// gets half of it, and there is always room for another one.
type Budget struct {
	limit int64           // bytes
	total int64           // bytes in use, the sum of used
	used  map[Owner]int64 // bytes in use by owner; owners that use none are not in it
}

// New returns a budget of the given number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit, used: map[Owner]int64{}} }

// SetLimit changes the number of bytes. It may become less than what is in use.
func (b *Budget) SetLimit(limit int64) { b.limit = limit }

// Limit returns the number of bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Total returns the number of bytes in use.
func (b *Budget) Total() int64 { return b.total }

// Fits reports whether an owner may use another size bytes.
func (b *Budget) Fits(o Owner, size int64) bool {
	return b.used[o]+size <= max(b.limit-b.total-size, b.limit/minimumShare)
}

// Possible reports whether size bytes would fit if nothing was in use.
func (b *Budget) Possible(size int64) bool { return size <= b.limit-size }

// Add counts size more bytes for an owner, or fewer if it is negative.
func (b *Budget) Add(o Owner, size int64) {
	b.total += size
	if b.used[o] += size; b.used[o] == 0 {
		delete(b.used, o)
	}
}
