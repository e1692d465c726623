package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func validSettings() Settings {
	return Settings{
		Name: "e", Region: "r", Zone: "z",
		Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Ops: "127.0.0.1:0", Platform: "127.0.0.1:7000",
		Secret: "0123456789abcdef", Token: "0123456789abcdef",
		StopLimit: time.Second, KeyCapacity: 1, StoreRate: 1, MostRequests: 1,
	}
}

func TestSettingsAreCheckedAllAtOnce(t *testing.T) {
	require.NoError(t, validSettings().Check())
	s := validSettings()
	s.Name = "E 1"
	s.Callers = "localhost:80"
	s.Peers, s.Ops = "127.0.0.1:81", "127.0.0.1:81"
	s.Secret = "short"
	s.Gateways = map[string]string{"q": "gateway"}
	s.StopLimit = 0
	s.KeyCapacity = 0
	s.StoreRate = 0
	s.MostRequests = 0
	var faults *SettingsError
	require.ErrorAs(t, s.Check(), &faults)
	require.Len(t, faults.Faults, 9)
}
