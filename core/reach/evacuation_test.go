package reach

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Load: two upstreams of a zone fail while it is switched off, then one of another zone does.
// Guards against links that count as lost because of the evacuated zone.
func TestFailuresOfAnEvacuatedZoneAreForgotten(t *testing.T) {
	tr := NewTracker()
	zone := upstreamAt("a", 0).Zone
	tr.RecordFailure(at(0), upstreamAt("a", 0), largeService, largeFleet)
	tr.RecordFailure(at(1), upstreamAt("a", 3), largeService, largeFleet)
	tr.ForgetZone(zone)
	tr.RecordFailure(at(2), upstreamAt("a", 1), largeService, largeFleet)
	require.Equal(t, Reached, tr.StateAt(at(2), "a"))
	require.False(t, tr.IsIsolated())
}
