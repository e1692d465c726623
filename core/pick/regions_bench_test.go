package pick

import (
	"fmt"
	"testing"
)

// BenchmarkPickWithRegions is BenchmarkPick for a request that two regions may serve, with a
// zone evacuated.
func BenchmarkPickWithRegions(b *testing.B) {
	f := newTestFleet()
	for i := range 300 {
		f.Register(at(0), registration(fmt.Sprint("u", i), []string{"east-a", "east-b", "west-a"}[i%3], 4))
	}
	f.SetEvacuated("west-b", true)
	req := requestIn("east", "west")
	for b.Loop() {
		f.Candidates(at(0), req, 3)
	}
}
