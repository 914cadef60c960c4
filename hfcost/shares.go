package hfcost

import "time"

// Shares counts which part of a pool the accounts use, and would use, in each class. All accounts that
// use some or wait have an equal share; what one leaves is free for the others.
type Shares struct{ classes map[Class]*classUse }

// classUse is what is used and waits in one class.
type classUse struct {
	used     map[string]*float64 // by account
	rescuing bool                // what went first because it starved has not ended
	timed    int                 // claims with an objective that wait
	chains   time.Duration       // sum of their remaining chains
}

// NewShares returns shares of which nothing is used.
func NewShares() *Shares { return &Shares{classes: map[Class]*classUse{}} }

// Use counts a part of a pool that an account uses.
func (s *Shares) Use(c Class, account string, share float64) { *s.class(c).join(account) += share }

// Rescue counts what went first because it starved and has not ended. Until then, nothing else of the class does.
func (s *Shares) Rescue(c Class) { s.class(c).rescuing = true }

func (s *Shares) class(c Class) *classUse {
	u := s.classes[c]
	if u == nil {
		u = &classUse{used: map[string]*float64{}}
		s.classes[c] = u
	}
	return u
}

// join counts an account as one of those that share the pool, and returns what it uses.
func (u *classUse) join(account string) *float64 {
	used := u.used[account]
	if used == nil {
		used = new(float64)
		u.used[account] = used
	}
	return used
}

// overuse returns what an account uses as a multiple of an equal share, 1 at least. There is nobody to share with
// for one account alone.
func (u *classUse) overuse(used float64) float64 {
	if len(u.used) == 1 {
		return 1
	}
	return max(1, used*float64(len(u.used)))
}

// belowShare reports whether an account uses less than an equal share.
func (u *classUse) belowShare(account string) bool {
	return len(u.used) <= 1 || *u.join(account)*float64(len(u.used)) < 1
}

// typicalWait returns the mean remaining chain of the claims that wait with an objective: about how long one waits
// that lets another one go first.
func (u *classUse) typicalWait() time.Duration { return u.chains / time.Duration(u.timed) }
