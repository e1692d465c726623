package proc

import (
	"slices"

	"magnolialedge"
)

// coldProtocol is the first protocol of entries that keep the limits of cold upstreams.
const coldProtocol = 1

// SteeredKeepers returns SteeredEntries if all of them keep the limits of cold upstreams, and
// none otherwise. An entry of an earlier release sends to a cold upstream what its callers
// ask for, which leaves nothing of the limit that others could share.
func SteeredKeepers(all []magnolialedge.Instance, service string, place Place, hosts []string) []magnolialedge.Instance {
	steered := SteeredEntries(all, service, place, hosts)
	if slices.ContainsFunc(steered, isEarlier) {
		return nil
	}
	return steered
}

func isEarlier(in magnolialedge.Instance) bool {
	return in.Protocol < coldProtocol
}
