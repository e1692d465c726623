package soak

import (
	"os"

	"github.com/go-logfmt/logfmt"
)

// addHelpers replaces the entry of each request that was handed over by the entry that
// sent it to upstreams, according to the logs of the entries.
func (cl *cluster) addHelpers(entries map[string]string) {
	for _, e := range cl.entries {
		for id := range handedRequests(e.logPath) {
			if _, ok := entries[id]; ok {
				entries[id] = e.settings.Name
			}
		}
	}
}

// handedRequests returns the IDs of the requests that other entries handed to the entry
// with the given log, and that it sent to an upstream. A log that cannot be read has none.
func handedRequests(path string) map[string]bool {
	out := map[string]bool{}
	f, err := os.Open(path)
	if err != nil {
		return out
	}
	defer f.Close()
	d := logfmt.NewDecoder(f)
	for d.ScanRecord() {
		fields := map[string]string{}
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
		if fields["handedBy"] != "" && fields["attempts"] != "" {
			out[fields["requestId"]] = true
		}
	}
	return out
}
