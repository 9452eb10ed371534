// Package membudget bounds the memory that the messages of many parties hold together while they are read, and decides
// which of them is given up when there is none left.
//
// A bound on each message does not bound their sum: parties that send without end would take the memory of all
// others, until the process ends. A message that finds no room is not always the one to give up, since messages
// without end hold the memory for longest. The budget revokes the largest message of the party that holds most. A
// party whose messages are small and end soon keeps its room, however many others there are that do not.
//
// The package has no goroutine, clock or lock: a Budget and its Accounts are not safe for concurrent use.
package membudget

// Budget is an amount of memory in bytes.
type Budget struct {
	limit, used int64
	// opened counts the accounts.
	opened uint64
	// held is the memory of each party, accounts the accounts that hold memory.
	held     map[string]int64
	accounts map[*Account]struct{}
}

// Account is what one message holds.
type Account struct {
	// Owner is for the caller, to find what belongs to a revoked account.
	Owner   any
	budget  *Budget
	party   string
	number  uint64
	held    int64
	pinned  bool
	revoked bool
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, held: make(map[string]int64), accounts: make(map[*Account]struct{})}
}

// Used returns the memory that all accounts hold, in bytes.
func (b *Budget) Used() int64 { return b.used }

// Open returns an account of a party that holds nothing.
func (b *Budget) Open(party string, owner any) *Account {
	b.opened++
	return &Account{Owner: owner, budget: b, party: party, number: b.opened}
}

// Grow adds n bytes to what an account holds. It revokes other accounts if that is necessary, and returns them: what
// belongs to them has to be given up at once. It returns false, and changes nothing, if the account itself is the
// one to give up: it holds most of the party that holds most, or has been revoked.
func (a *Account) Grow(n int64) (revoked []*Account, ok bool) {
	b := a.budget
	if a.revoked {
		return nil, false
	}
	a.add(n)
	for b.used > b.limit {
		largest := b.largest()
		if largest == nil || largest == a {
			a.add(-n)
			return revoked, false
		}
		largest.revoke()
		revoked = append(revoked, largest)
	}
	return revoked, true
}

// Shrink subtracts n bytes from what an account holds. It has no effect on a revoked one.
func (a *Account) Shrink(n int64) {
	if !a.revoked {
		a.add(-n)
	}
}

// Pin keeps an account from being revoked from now on. It returns false if it has been.
func (a *Account) Pin() bool {
	a.pinned = true
	return !a.revoked
}

// Revoked reports whether the account has been revoked.
func (a *Account) Revoked() bool { return a.revoked }

// Close gives back all that the account holds.
func (a *Account) Close() {
	if !a.revoked {
		a.add(-a.held)
	}
}

func (a *Account) revoke() {
	a.add(-a.held)
	a.revoked = true
}

func (a *Account) add(n int64) {
	b := a.budget
	a.held += n
	b.used += n
	if b.held[a.party] += n; b.held[a.party] == 0 {
		delete(b.held, a.party)
	}
	if a.held > 0 {
		b.accounts[a] = struct{}{}
	} else {
		delete(b.accounts, a)
	}
}

// largest returns the account that holds most of those of the party that holds most, but for pinned ones; nil if all
// are pinned.
func (b *Budget) largest() *Account {
	var largest *Account
	for a := range b.accounts {
		if !a.pinned && (largest == nil || a.exceeds(largest)) {
			largest = a
		}
	}
	return largest
}

// exceeds orders accounts by what their parties hold, then by what they hold themselves and by age.
func (a *Account) exceeds(other *Account) bool {
	ours, theirs := a.budget.held[a.party], a.budget.held[other.party]
	switch {
	case ours != theirs:
		return ours > theirs
	case a.party != other.party:
		return a.party > other.party
	}
	if a.held != other.held {
		return a.held > other.held
	}
	return a.number < other.number
}
