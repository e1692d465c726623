package node

import (
	"bytes"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"magnolialedge/io/event"
)

// TestInvalidSettingsAreLoggedAndNotApplied checks that the log contains the
// reason why settings could not be read or applied.
func TestInvalidSettingsAreLoggedAndNotApplied(t *testing.T) {
	var b bytes.Buffer
	n := &Node{log: event.NewLogger(&b, "e1"), settings: Settings{StopTimeout: time.Second}}
	n.reload(Reload{Err: errors.New("line 3 is not TOML")})
	require.Contains(t, b.String(), "line 3 is not TOML")
	n.reload(Reload{Settings: Settings{StopTimeout: time.Minute}})
	require.Contains(t, b.String(), "the zone is missing")
	require.Equal(t, time.Second, n.settings.StopTimeout)
}
