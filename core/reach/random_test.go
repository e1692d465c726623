package reach

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"magnolialedge/io/seed"
)

func TestMain(m *testing.M) {
	seed.Main(m)
}

// Random sequences of responses and failures must never let links count as lost without
// enough failures, nor keep them lost while new connections are answered.
func TestTrackerUnderRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := NewTracker()
		now := start
		services := []string{"a", "b"}
		// failed holds the upstreams of each service that failed since its last response.
		failed := map[string]map[string]bool{"a": {}, "b": {}}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(services).Draw(t, "service")
			u := upstreamAt(name, rapid.IntRange(0, 11).Draw(t, "upstream"))
			before := tr.StateAt(now, name)
			if rapid.Bool().Draw(t, "responds") {
				tr.RecordResponse(now, now, u, largeService)
				if before != Lost {
					clear(failed[name])
				}
				if before == Reached && tr.IsIsolated() {
					t.Fatalf("isolated although %s is reached", name)
				}
			} else {
				failed[name][u.ID] = true
				tr.RecordFailure(now, u, largeService, largeFleet)
			}
			isNewLoss := before != Lost && tr.StateAt(now, name) == Lost
			total := len(failed["a"]) + len(failed["b"])
			if isNewLoss && len(failed[name]) < failuresToLose && total < failuresToIsolate {
				t.Fatalf("%s is lost after %d failures, %d of all", name, len(failed[name]), total)
			}
		}
		for i := range 60 {
			now = now.Add(200 * time.Millisecond)
			for _, name := range services {
				tr.RecordResponse(now, now, upstreamAt(name, i%12), largeService)
			}
		}
		for _, name := range services {
			if tr.StateAt(now, name) != Reached || !tr.AllowsDirect(now, name) {
				t.Fatalf("%s is %s after responses for 12 s", name, tr.StateAt(now, name))
			}
		}
		if tr.IsIsolated() {
			t.Fatal("isolated after responses for 12 s")
		}
	})
}
