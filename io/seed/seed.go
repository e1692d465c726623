// Package seed sets a fixed random seed for property-based tests.
package seed

import (
	"flag"
	"os"
	"testing"
)

// defaultSeed is the seed of rapid if the command line sets none.
const defaultSeed = "20260101"

// Main runs the tests of a package with defaultSeed, unless the flag rapid.seed is set, and
// exits. It also disables rapid's failure files. TestMain calls it.
func Main(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
