package plat

// Value is the response body of the key-value service.
type Value struct {
	Data     []byte `json:"data,omitempty"`
	Revision int64  `json:"revision"`
}

// CompareAndSwapRequest is the request body of a compare-and-swap.
type CompareAndSwapRequest struct {
	BaseRevision int64  `json:"base"`
	Data         []byte `json:"data"`
	TTLMs        int64  `json:"ttlMs,omitempty"`
}

// Paths of the platform's HTTP API.
const (
	// PathKeys is the prefix of a key's path; the escaped key follows it.
	PathKeys = "/v1/keys/"
	// PathInstances lists the instances on GET, and announces an instance on POST.
	PathInstances = "/v1/instances"
)
