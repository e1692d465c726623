package pick

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
)

// decisionDigest is the digest of the decisions of drive, as commit 35d70d5 takes them, which
// knows neither evacuations nor regions.
const decisionDigest = "9b54dc63"

// Guards against decisions that change although the configuration asks for nothing new. If a
// deliberate change of the selection alters the digest, compare it with that of the commit
// before.
func TestDecisionsWithoutRegionsAreAsBefore(t *testing.T) {
	require.Equal(t, decisionDigest, drive(newTestFleet(), nil))
}

// Guards against decisions that depend on evacuations elsewhere, or on restrictions that
// permit all regions.
func TestEmptyEvacuationAndAllRegionsChangeNothing(t *testing.T) {
	f := newTestFleet()
	f.SetEvacuated("empty", true)
	require.Equal(t, decisionDigest, drive(f, []string{"east", "west"}))
}

// drive sends random requests through a fleet and a queue for ten simulated seconds, with
// registrations, failures, limits and drains, and returns a digest of all decisions.
func drive(f *Fleet, regions []string) string {
	r := rand.New(rand.NewPCG(7, 7))
	digest := fnv.New32a()
	var q Queue
	zones := []string{"east-a", "east-b", "west-a"}
	running := map[int]string{}
	name := func() string { return fmt.Sprint("u", r.IntN(12)) }
	for ms := range 10_000 {
		now := at(ms)
		req := testRequest(at(ms - r.IntN(300)))
		req.Regions = regions
		req.Idempotent, req.Priority = r.IntN(3) > 0, r.IntN(3)
		switch r.IntN(14) {
		case 0:
			u := registration(name(), zones[r.IntN(3)], 1+r.IntN(4))
			u.Draining = r.IntN(5) == 0
			f.Register(now, u)
		case 1:
			f.MarkUnreachable(now, name())
		case 2, 3:
			f.RecordLoad(now, name(), magnolialedge.LoadReading{Running: r.IntN(5), Slowdown: 7 * r.Float64()})
		case 4:
			u, _ := f.Find(name())
			fmt.Fprint(digest, f.RecordLimit(now, u, now, magnolialedge.RateLimit{IsSet: r.IntN(2) == 0, PerSecond: 3}))
		case 5:
			u, _ := f.Find(name())
			f.RecordRetryAfter(now, u, 50*time.Millisecond)
		case 6, 7:
			id := running[ms-1-r.IntN(40)]
			f.EndAttempt(now, AttemptResult{UpstreamID: id, Request: req, Duration: time.Duration(r.IntN(200)) * time.Millisecond, Slowdown: 1, Status: AttemptStatus(r.IntN(5))})
		case 8:
			for _, u := range append(f.StaleUpstreams(now, "reads", 3), f.Neighbors(now, registration("x", "east-b", 1), 2)...) {
				fmt.Fprint(digest, u.ID)
			}
			target, ok := f.LossProbeTarget(now, "reads", true)
			fmt.Fprint(digest, target.ID, ok)
		case 9:
			w := &Waiter{Request: req, EnqueuedAt: now, Wake: func(reason WakeReason) { fmt.Fprint(digest, ms, reason) }}
			fmt.Fprint(digest, q.Push(now, w, f))
		case 10:
			q.Dispatch(now, f)
		default:
			found, hasUsable := f.Candidates(now, req, 3)
			fmt.Fprint(digest, ids(found), hasUsable, f.RetryAfter(now, req, q.Len()).Milliseconds(), f.ShortageFor(now, req, q.Len()).FreeSlots)
			if len(found) > 0 {
				f.BeginAttempt(now, found[0].ID)
				running[ms] = found[0].ID
			}
		}
	}
	return fmt.Sprintf("%08x", digest.Sum32())
}
