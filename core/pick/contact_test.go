package pick

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestShortageTellsHowTheUpstreamsWereReached(t *testing.T) {
	f := newTestFleet()
	for _, id := range []string{"u1", "u2", "u3"} {
		f.Register(at(0), registration(id, "east-a", 4))
	}
	s := f.ShortageFor(at(0), testRequest(at(0)), 0)
	require.Zero(t, s.Unreachable)
	require.Equal(t, time.Duration(-1), s.ContactAge)
	f.RecordContact(at(0), "u1")
	f.RecordContact(at(1000), "u2")
	f.MarkUnreachable(at(2000), "u1")
	f.MarkUnreachable(at(2000), "u3")
	s = f.ShortageFor(at(3000), testRequest(at(3000)), 0)
	require.Equal(t, 2, s.Unreachable)
	require.Equal(t, 2*time.Second, s.ContactAge)
	require.Equal(t, 2, f.UnreachableCount())
}
