package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func validSettings() Settings {
	return Settings{
		Name: "e", Region: "r", Zone: "z",
		CallerAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0", PlatformAddress: "127.0.0.1:7000",
		Secret: "0123456789abcdef", Token: "0123456789abcdef",
		StopTimeout: time.Second, KeyCapacity: 1, StoreCallsPerSecond: 1, MaxInFlight: 1,
	}
}

func TestValidateReportsAllProblems(t *testing.T) {
	require.NoError(t, validSettings().Validate())
	s := validSettings()
	s.Name = "E 1"
	s.CallerAddress = "localhost:80"
	s.PeerAddress, s.OperatorAddress = "127.0.0.1:81", "127.0.0.1:81"
	s.Secret = "short"
	s.Gateways = map[string]string{"q": "gateway"}
	s.StopTimeout = 0
	s.KeyCapacity = 0
	s.StoreCallsPerSecond = 0
	s.MaxInFlight = 0
	var settingsErr *SettingsError
	require.ErrorAs(t, s.Validate(), &settingsErr)
	require.Len(t, settingsErr.Problems, 9)
}
