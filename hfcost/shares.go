package hfcost

// Shares counts which part of a pool the accounts use, and would use, in each class. All accounts that
// use some or wait have an equal share; what one leaves is free for the others.
type Shares struct {
	used     map[holder]float64
	accounts map[Class]int // number of accounts in used
	rescuing map[Class]bool
}

// holder is an account in a class.
type holder struct {
	class   Class
	account string
}

// NewShares returns shares of which nothing is used.
func NewShares() *Shares {
	return &Shares{used: map[holder]float64{}, accounts: map[Class]int{}, rescuing: map[Class]bool{}}
}

// Use counts a part of a pool that an account uses.
func (s *Shares) Use(c Class, account string, share float64) {
	s.join(c, account)
	s.used[holder{class: c, account: account}] += share
}

// join counts an account as one of those that share a pool.
func (s *Shares) join(c Class, account string) {
	h := holder{class: c, account: account}
	if _, ok := s.used[h]; !ok {
		s.used[h] = 0
		s.accounts[c]++
	}
}

// Rescue counts a job that went first because it starved and has not ended.
func (s *Shares) Rescue(c Class) { s.rescuing[c] = true }

// take counts what an account would use if one more claim got room. It returns what the account uses before that, as
// a multiple of an equal share, 1 at least.
func (s *Shares) take(c Class, account string, share float64) float64 {
	h := holder{class: c, account: account}
	before := s.used[h]
	s.used[h] += share
	return max(1, before*float64(s.accounts[c]))
}
