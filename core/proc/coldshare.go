package proc

import (
	"slices"

	"magnolialedge"
)

// coldProtocol is the first protocol of entries that keep the limits of cold upstreams.
const coldProtocol = 1

// ColdLimitSharers returns SteeredEntries if all of them keep the limits of cold upstreams, and
// none otherwise. An entry of an earlier release sends to a cold upstream what its callers
// ask for, which leaves nothing of the limit that others could share.
func ColdLimitSharers(all []magnolialedge.Instance, service string, place Place, hosts []string) []magnolialedge.Instance {
	steered := SteeredEntries(all, service, place, hosts)
	if slices.ContainsFunc(steered, ignoresColdLimits) {
		return nil
	}
	return steered
}

// ignoresColdLimits reports whether an entry belongs to a release without cold limits.
func ignoresColdLimits(in magnolialedge.Instance) bool {
	return in.Protocol < coldProtocol
}
