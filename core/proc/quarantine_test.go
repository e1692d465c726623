package proc

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func quarantined(q *Quarantine, now time.Time, fingerprint uint64) bool {
	_, refused := q.Remaining(now, fingerprint)
	return refused
}

func TestQuarantineAfterTwoLosses(t *testing.T) {
	q := NewQuarantine()
	now := time.Unix(1000, 0)
	require.Equal(t, 1, q.RecordLoss(now, 7))
	require.False(t, quarantined(q, now, 7))
	require.Equal(t, 2, q.RecordLoss(now, 7))
	require.True(t, quarantined(q, now, 7))
	require.False(t, quarantined(q, now.Add(QuarantineTTL), 7))
}

func TestSuccessfulRequestIsNotQuarantined(t *testing.T) {
	q := NewQuarantine()
	now := time.Unix(1000, 0)
	q.RecordSuccess(now, 7)
	require.Zero(t, q.RecordLoss(now.Add(time.Second), 7))
	require.False(t, q.RecordPeerLosses(now.Add(time.Second), 7, 2))
	require.False(t, quarantined(q, now.Add(time.Second), 7))
	require.Equal(t, 1, q.RecordLoss(now.Add(successTTL+time.Second), 7), "later losses count")
	q.RecordSuccess(now.Add(successTTL+2*time.Second), 7)
	require.Zero(t, q.Losses(now.Add(successTTL+2*time.Second), 7))
	require.Equal(t, 1, q.RecordLoss(now, 8), "other requests are not affected")
}

func TestSucceededRequestsAreBounded(t *testing.T) {
	q := NewQuarantine()
	now := time.Unix(1000, 0)
	for i := range uint64(3 * maxSucceeded) {
		q.RecordSuccess(now, i)
	}
	require.Len(t, q.succeeded.recent, maxSucceeded)
}

// Guards against a quarantine that entries which start in turn pass on to each other without end.
func TestAdoptedQuarantineEndsWithTheOneThatWasTold(t *testing.T) {
	now := time.Unix(1000, 0)
	q := NewQuarantine()
	q.RecordLoss(now, 7)
	require.Empty(t, q.Quarantined(now))
	q.RecordLoss(now, 7)
	q.RecordLoss(now, 8)
	later := now.Add(20 * time.Second)
	known := q.Quarantined(later)
	require.Equal(t, []Quarantined{{Fingerprint: 7, Losses: 2, Remaining: QuarantineTTL - 20*time.Second}}, known)
	other := NewQuarantine()
	require.True(t, other.Adopt(later, known[0]))
	require.False(t, other.Adopt(later, known[0]))
	require.True(t, quarantined(other, later, 7))
	require.False(t, quarantined(other, now.Add(QuarantineTTL), 7))
	executed := NewQuarantine()
	executed.RecordSuccess(later, 7)
	require.False(t, executed.Adopt(later, known[0]), "an upstream has executed it here")
}
