package alive

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"magnolialedge"
)

const (
	// evidenceBytes is the size of the evidence of one run in a digest: four bytes of the
	// run's hash and two of its age.
	evidenceBytes = 6
	// ageUnit is the unit of the ages in a digest. They are rounded up, so that evidence does
	// not become younger on its way.
	ageUnit = 10 * time.Millisecond
	maxAge  = 1<<16 - 1
)

// runKey identifies a run of an entry in digests. Two runs with the same key would count as heard if
// either is; among some hundred entries that is improbable and ends with either run.
func runKey(in magnolialedge.Instance) uint32 {
	return uint32(xxhash.Sum64String(in.Name + "\x00" + strconv.FormatInt(in.StartedAt, 10)))
}

func appendEvidence(digest []byte, key uint32, age time.Duration) []byte {
	units := min(maxAge, (max(0, age)+ageUnit-1)/ageUnit)
	digest = binary.BigEndian.AppendUint32(digest, key)
	return binary.BigEndian.AppendUint16(digest, uint16(units))
}

// rangeEvidence calls f with each run in a digest and how long ago it was heard. It ignores
// what follows the last complete run.
func rangeEvidence(digest []byte, f func(key uint32, age time.Duration)) {
	for ; len(digest) >= evidenceBytes; digest = digest[evidenceBytes:] {
		f(binary.BigEndian.Uint32(digest), time.Duration(binary.BigEndian.Uint16(digest[4:]))*ageUnit)
	}
}
