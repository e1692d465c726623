package acct

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"magnolialedge"
)

func newTestTable(accounts ...magnolialedge.ClientAccount) *Table {
	return NewTable(TableConfig{Accounts: accounts, HashKey: HashKey{1, 2, 3}})
}

func account(name string, keys ...magnolialedge.Secret) magnolialedge.ClientAccount {
	return magnolialedge.ClientAccount{Name: name, Keys: keys}
}

// ownerOf returns the name of the account of a key, "none", or "conflict".
func ownerOf(t *Table, key string) string {
	a, _, result := t.Find(key)
	switch result {
	case Found:
		return a.Name
	case Conflicting:
		return "conflict"
	}
	return "none"
}

// Guards against a request that is sent for the wrong account.
func TestKeyOfTwoAccountsBelongsToNeither(t *testing.T) {
	table := newTestTable(account("a", "k1", "k2"), account("b", "k2", "k3"), account("c", "k2"))
	require.Equal(t, "a", ownerOf(table, "k1"))
	require.Equal(t, "conflict", ownerOf(table, "k2"))
	require.Equal(t, "b", ownerOf(table, "k3"))
	require.Equal(t, []Conflict{{"a", "b"}, {"a", "c"}}, table.Conflicts())
	require.Equal(t, 2, table.TotalKeys())
	require.Equal(t, 0, table.KeyCount("c"))
}

func TestUnusableAccountsAndKeysAreLeftOut(t *testing.T) {
	long := strings.Repeat("x", MaxKeyBytes)
	table := newTestTable(account("", "k0"), account("x\r\ny", "k0"), account("a", "", "k 1", "k1", "k1"), account("b", "", magnolialedge.Secret(long), magnolialedge.Secret(long+"x")), account("a", "k2"), account("c"))
	require.Equal(t, "none", ownerOf(table, "k0"))
	require.Equal(t, "none", ownerOf(table, ""))
	require.Equal(t, "none", ownerOf(table, "k 1"))
	require.Equal(t, "a", ownerOf(table, "k1"))
	require.Equal(t, "a", ownerOf(table, "k2"), "accounts of one name are one account")
	require.Equal(t, "b", ownerOf(table, long))
	require.Equal(t, "none", ownerOf(table, long+"x"))
	require.Empty(t, table.Conflicts())
	require.Len(t, table.Accounts(), 3)
}

// Guards against keys in dumps and log lines about a table.
func TestTableHoldsNoKey(t *testing.T) {
	table := newTestTable(account("a", "secret-key"), account("b", "secret-key", "other-key"))
	require.NotContains(t, fmt.Sprintf("%v %+v %#v", table, table, table), "secret-key")
	for _, a := range table.Accounts() {
		require.Empty(t, a.Keys)
	}
	require.Len(t, table.Hashes()["b"][0].String(), shownDigits)
	require.NotEqual(t, HashKey{1}.HashOf("k"), HashKey{2}.HashOf("k"), "hashes differ from process to process")
}

// Guards against a key that stays with an account after it was removed or moved: each
// table is compared with a plain map.
func TestTableAgreesWithTheConfigurationAfterRandomChanges(t *testing.T) {
	var previous *Table
	rapid.Check(t, func(rt *rapid.T) {
		keys := rapid.SliceOfN(rapid.IntRange(0, 12), 0, 8)
		var accounts []magnolialedge.ClientAccount
		listedBy := map[string]map[string]bool{}
		for i := range rapid.IntRange(0, 5).Draw(rt, "accounts") {
			a := account(fmt.Sprint("a", i))
			for _, k := range keys.Draw(rt, "keys") {
				key := fmt.Sprint("k", k)
				a.Keys = append(a.Keys, magnolialedge.Secret(key))
				if listedBy[key] == nil {
					listedBy[key] = map[string]bool{}
				}
				listedBy[key][a.Name] = true
			}
			accounts = append(accounts, a)
		}
		table := NewTable(TableConfig{Accounts: accounts, HashKey: HashKey{1}, Previous: previous})
		previous = table
		for k := range 13 {
			key := fmt.Sprint("k", k)
			got := ownerOf(table, key)
			switch names := listedBy[key]; len(names) {
			case 0:
				require.Equal(rt, "none", got)
			case 1:
				require.True(rt, names[got])
			default:
				require.Equal(rt, "conflict", got)
			}
		}
	})
}

func manyAccounts(accounts, keysEach int) []magnolialedge.ClientAccount {
	var out []magnolialedge.ClientAccount
	for i := range accounts {
		a := account(fmt.Sprint("account-", i))
		for j := range keysEach {
			a.Keys = append(a.Keys, magnolialedge.Secret(fmt.Sprintf("key-%032d-%d", i, j)))
		}
		out = append(out, a)
	}
	return out
}

// 10,000 keys and 100 changes must cause no pause. The bound is the time within which a
// configuration must be in force.
func TestHundredChangesOfTenThousandKeysStayWithinTheBound(t *testing.T) {
	accounts := manyAccounts(79, 127)
	table := newTestTable(accounts...)
	start := time.Now()
	for i := range 100 {
		a := &accounts[i%len(accounts)]
		a.Keys = append(a.Keys[1:], magnolialedge.Secret(fmt.Sprint("new-", i)))
		table = NewTable(TableConfig{Accounts: accounts, HashKey: HashKey{1, 2, 3}, Previous: table})
		require.Equal(t, a.Name, ownerOf(table, fmt.Sprint("new-", i)))
	}
	require.Less(t, time.Since(start), 3*time.Second)
	require.Equal(t, 79*127, table.TotalKeys())
}

func BenchmarkNewTableOfTenThousandKeys(b *testing.B) {
	accounts := manyAccounts(79, 127)
	b.Run("first", func(b *testing.B) {
		for b.Loop() {
			newTestTable(accounts...)
		}
	})
	b.Run("change", func(b *testing.B) {
		table := newTestTable(accounts...)
		for i := 0; b.Loop(); i++ {
			accounts[0].Keys[0] = magnolialedge.Secret(fmt.Sprint("new-", i))
			table = NewTable(TableConfig{Accounts: accounts, HashKey: HashKey{1, 2, 3}, Previous: table})
		}
	})
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{79, 7900} {
		b.Run(fmt.Sprint(n, " accounts"), func(b *testing.B) {
			table := newTestTable(manyAccounts(n, 2)...)
			b.ReportAllocs()
			for b.Loop() {
				table.Find("key-00000000000000000000000000000007-1")
			}
		})
	}
}
