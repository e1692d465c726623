// Package seed fixes the random steps of tests.
package seed

import (
	"flag"
	"os"
	"testing"
)

// fixed is the seed of rapid unless the command line gives another one.
const fixed = "20260101"

// Main runs the tests of a package with the same random steps each time. It is
// called from TestMain.
func Main(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", fixed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
