package magnolialedge

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// A key that is printed by mistake would let anyone who reads the logs use the account.
func TestSecretIsNotShown(t *testing.T) {
	account := ClientAccount{Name: "a", Keys: []Secret{"k1234567"}}
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		require.NotContains(t, fmt.Sprintf(verb, account), "k1234567", verb)
		require.NotContains(t, fmt.Sprintf(verb, account.Keys[0]), fmt.Sprintf("%x", "k1234567"), verb)
	}
	encoded, err := json.Marshal(account)
	require.NoError(t, err)
	require.NotContains(t, string(encoded), "k1234567")
}
