package acct

import (
	"slices"

	"magnolialedge"
)

// Table finds the client account of a key. It holds hashes of the keys only, and is
// immutable.
type Table struct {
	hashKey HashKey
	// accounts holds the accounts without their keys, in the order of the configuration, and
	// indexOf their positions by name.
	accounts []magnolialedge.ClientAccount
	indexOf  map[string]int
	// keySets holds the key sets by their position in the configuration.
	keySets   map[keySetID]*keySet
	byHash    map[Hash]keyOwner
	keyCounts map[string]int
	conflicts []Conflict
}

// keySetID identifies the list of keys of an account: the name, and how many earlier
// elements of the configuration have it too.
type keySetID struct {
	account string
	seq     int
}

// keyOwner is the account that lists a key, by its position.
type keyOwner struct {
	account int
	// isConflicting is set if another account lists the key too.
	isConflicting bool
}

// TableConfig configures a Table.
type TableConfig struct {
	Accounts []magnolialedge.ClientAccount
	HashKey  HashKey
	// Previous is the table that the new one replaces, or nil. Hashes of unchanged lists of
	// keys are taken from it. It must have the same HashKey.
	Previous *Table
}

// Conflict names two accounts that list the same key, which is given to neither.
type Conflict struct {
	First  string
	Second string
}

// NewTable returns a Table for the given configuration. Accounts of the same name are one
// account, to which the first of them gives its values. Accounts whose name no header can
// carry and keys that no request can carry are left out.
func NewTable(cfg TableConfig) *Table {
	t := &Table{
		hashKey:   cfg.HashKey,
		indexOf:   make(map[string]int, len(cfg.Accounts)),
		keySets:   make(map[keySetID]*keySet, len(cfg.Accounts)),
		keyCounts: make(map[string]int, len(cfg.Accounts)),
	}
	sets := t.addAccounts(cfg)
	t.byHash = make(map[Hash]keyOwner, cfg.Previous.size())
	for _, s := range sets {
		for _, h := range s.hashes {
			t.addKey(s.account, h)
		}
	}
	return t
}

// size returns the number of listed keys of a table, which may be nil.
func (t *Table) size() int {
	if t == nil {
		return 0
	}
	return len(t.byHash)
}

// ownedKeySet is a key set with the position of its account.
type ownedKeySet struct {
	*keySet
	account int
}

// addAccounts adds the accounts and returns their key sets in the order of the
// configuration.
func (t *Table) addAccounts(cfg TableConfig) []ownedKeySet {
	d := t.hashKey.newDigest()
	var sets []ownedKeySet
	seen := map[string]int{}
	for _, a := range cfg.Accounts {
		if !isName(a.Name) {
			continue
		}
		id := keySetID{account: a.Name, seq: seen[a.Name]}
		seen[a.Name]++
		t.keySets[id] = newKeySet(d, a.Keys, cfg.Previous.keySet(id))
		if id.seq == 0 {
			a.Keys = nil
			t.indexOf[a.Name] = len(t.accounts)
			t.accounts = append(t.accounts, a)
		}
		sets = append(sets, ownedKeySet{keySet: t.keySets[id], account: t.indexOf[a.Name]})
	}
	return sets
}

// keySet returns a key set of a table, which may be nil, or nil.
func (t *Table) keySet(id keySetID) *keySet {
	if t == nil {
		return nil
	}
	return t.keySets[id]
}

// addKey gives a key to an account, or takes it from the account that has it.
func (t *Table) addKey(account int, h Hash) {
	owner, isListed := t.byHash[h]
	switch {
	case !isListed:
		t.byHash[h] = keyOwner{account: account}
		t.keyCounts[t.accounts[account].Name]++
	case owner.account != account:
		first := t.accounts[owner.account].Name
		if !owner.isConflicting {
			t.keyCounts[first]--
		}
		t.byHash[h] = keyOwner{account: owner.account, isConflicting: true}
		t.addConflict(Conflict{First: first, Second: t.accounts[account].Name})
	}
}

func (t *Table) addConflict(c Conflict) {
	if !slices.Contains(t.conflicts, c) {
		t.conflicts = append(t.conflicts, c)
	}
}

// Lookup is the result of looking for the account of a key.
type Lookup int

const (
	// Unknown means that no account lists the key.
	Unknown Lookup = iota
	// Conflicting means that several accounts list the key.
	Conflicting
	// Found means that one account lists the key.
	Found
)

// Find returns the account of a key and the hash of the key. The account has no keys.
// The caller must not change it.
func (t *Table) Find(key string) (*magnolialedge.ClientAccount, Hash, Lookup) {
	h := t.hashKey.HashOf(key)
	a, result := t.FindHash(h)
	return a, h, result
}

// FindHash returns the account of a key from the hash of the key. The caller must not change
// the account.
func (t *Table) FindHash(h Hash) (*magnolialedge.ClientAccount, Lookup) {
	owner, isListed := t.byHash[h]
	switch {
	case !isListed:
		return nil, Unknown
	case owner.isConflicting:
		return nil, Conflicting
	}
	return &t.accounts[owner.account], Found
}

// Account returns the account of the given name, or nil. It has no keys, and the caller must
// not change it.
func (t *Table) Account(name string) *magnolialedge.ClientAccount {
	i, ok := t.indexOf[name]
	if !ok {
		return nil
	}
	return &t.accounts[i]
}

// Accounts returns the accounts without their keys, in the order of the configuration, or
// nil if t is nil. The caller must not change the result.
func (t *Table) Accounts() []magnolialedge.ClientAccount {
	if t == nil {
		return nil
	}
	return t.accounts
}

// Conflicts returns the pairs of accounts that list the same key.
func (t *Table) Conflicts() []Conflict {
	return t.conflicts
}

// KeyCount returns the number of keys that belong to the account of the given name.
func (t *Table) KeyCount(account string) int {
	return t.keyCounts[account]
}

// TotalKeys returns the number of keys that belong to an account.
func (t *Table) TotalKeys() int {
	total := 0
	for _, n := range t.keyCounts {
		total += n
	}
	return total
}

// Hashes returns the hashes of the keys by account, in ascending order.
func (t *Table) Hashes() map[string][]Hash {
	out := make(map[string][]Hash, len(t.accounts))
	for h, owner := range t.byHash {
		if !owner.isConflicting {
			name := t.accounts[owner.account].Name
			out[name] = append(out[name], h)
		}
	}
	for _, hashes := range out {
		slices.SortFunc(hashes, func(a, b Hash) int { return slices.Compare(a[:], b[:]) })
	}
	return out
}
