package alive

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"magnolialedge"
)

// Responses are lost, repeated and late, entries start anew, are listed or not, and the process is
// paused between the steps. Guards against evidence that becomes younger on its way, against a
// judgement of an entry that was heard within its bound, and against a silent entry that returns
// to the responses by the passing of time alone.
func TestJudgementFollowsTheEvidenceUnderRandomSteps(t *testing.T) {
	timing := TimingFor(2500 * time.Millisecond)
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		self := magnolialedge.Instance{Name: "self", StartedAt: 1}
		table := NewTable(Config{Self: self, Timing: timing, Random: func(int) int { return 0 }})
		runs := map[string]int64{}
		listed := map[string]bool{}
		// heard is when each run was last heard by anybody, as the test knows.
		heard := map[string]time.Time{}
		instances := func() []magnolialedge.Instance {
			out := []magnolialedge.Instance{self}
			for _, name := range names {
				if listed[name] {
					out = append(out, magnolialedge.Instance{Name: name, StartedAt: runs[name]})
				}
			}
			return out
		}
		draw := func(t *rapid.T) string { return rapid.SampledFrom(names).Draw(t, "entry") }
		wasSilent := map[string]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"list": func(t *rapid.T) {
				name := draw(t)
				listed[name] = !listed[name]
				table.SetEntries(now, instances())
			},
			"start": func(t *rapid.T) {
				name := draw(t)
				runs[name]++
				delete(heard, name)
				listed[name] = true
				table.SetEntries(now, instances())
			},
			"digest": func(t *rapid.T) {
				name := draw(t)
				age := time.Duration(rapid.IntRange(0, 8000).Draw(t, "ageMs")) * time.Millisecond
				sent := now.Add(-time.Duration(rapid.IntRange(0, 500).Draw(t, "tookMs")) * time.Millisecond)
				table.Merge(now, sent, "", appendEvidence(nil, runKey(magnolialedge.Instance{Name: name, StartedAt: runs[name]}), age))
				if _, isKnown := table.Entry(now, name); isKnown && sent.Add(-age).After(heard[name]) {
					heard[name] = sent.Add(-age)
				}
			},
			"failed": func(t *rapid.T) { table.Failed(now, now, draw(t)) },
			"judge":  func(*rapid.T) { table.Judge(now) },
			"pause": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, name := range names {
					state, ok := table.Entry(now, name)
					if !ok {
						wasSilent[name] = false
						delete(heard, name)
						continue
					}
					at, isHeard := heard[name]
					if isHeard && !state.IsAssumed {
						require.LessOrEqual(t, now.Sub(at), state.Age, "evidence is never younger than it was")
					}
					if state.IsSilent {
						require.Greater(t, state.Age, timing.NearBound)
					} else if wasSilent[name] && isHeard {
						require.LessOrEqual(t, state.Age, timing.NearBound, "only being heard ends a silence")
					}
					wasSilent[name] = state.IsSilent
				}
			},
		})
	})
}

// Guards against an entry that has just started and learns only from another one that an entry has
// long been silent: it must not wait for the bound first.
func TestEntryThatStartsLearnsOfASilenceWithTheFirstResponses(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	entries := []magnolialedge.Instance{{Name: "off"}, {Name: "x"}, {Name: "y"}, {Name: "z"}}
	known := func(name string) *Table {
		table := NewTable(Config{Self: magnolialedge.Instance{Name: name}, Timing: TimingFor(2500 * time.Millisecond), Random: func(int) int { return 0 }})
		table.SetEntries(now, entries)
		return table
	}
	x := known("x")
	x.Merge(now, now, "off", known("off").Digest(now, "", Request{}))
	now = now.Add(3 * time.Second)
	started := known("z")
	require.Empty(t, started.Silent(now))
	mayName := func(table *Table, at time.Time) []string {
		var out []string
		for _, in := range entries {
			if table.MayName(at, in.Name) {
				out = append(out, in.Name)
			}
		}
		return out
	}
	require.Empty(t, mayName(started, now), "it knows nothing yet")
	require.Len(t, mayName(started, now.Add(time.Second)), len(entries), "nobody responds")
	started.Merge(now, now, "x", x.Digest(now, "", Request{}))
	require.Equal(t, []string{"x"}, mayName(started, now))
	started.Merge(now, now, "y", known("y").Digest(now, "", Request{}))
	require.Equal(t, []string{"x", "y", "z"}, mayName(started, now))
	require.Contains(t, started.Silent(now), "off")
	require.Len(t, started.Silent(now), 1)
}

// Guards against leaving out an entry whose new run the store does not list yet, as in an outage: its
// program responds at the same address.
func TestEntryOfAnotherRunThanTheListedOneIsHeard(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	listed := []magnolialedge.Instance{{Name: "x", StartedAt: 1}, {Name: "y"}, {Name: "z"}}
	timing := TimingFor(2500 * time.Millisecond)
	table := NewTable(Config{Self: magnolialedge.Instance{Name: "z"}, Timing: timing, Random: func(int) int { return 0 }})
	table.SetEntries(now, listed)
	for range 5 * timing.NearBound / timing.Interval {
		now = now.Add(timing.Interval)
		table.Judge(now)
		table.Merge(now, now, "x", appendEvidence(nil, runKey(magnolialedge.Instance{Name: "x", StartedAt: 2}), 0))
		table.Merge(now, now, "y", appendEvidence(nil, runKey(magnolialedge.Instance{Name: "y"}), 0))
		require.Empty(t, table.Silent(now))
	}
}

// Guards against a digest that the receiver cannot read to its end.
func FuzzDigest(f *testing.F) {
	f.Add(appendEvidence(nil, 7, 3*time.Second))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, digest []byte) {
		var again []byte
		rangeEvidence(digest, func(key uint32, age time.Duration) { again = appendEvidence(again, key, age) })
		require.Equal(t, digest[:len(digest)/evidenceBytes*evidenceBytes], append([]byte{}, again...))
	})
}
