package plat

// Value is the answer of the key-value service.
type Value struct {
	Data     []byte `json:"data,omitempty"`
	Revision int64  `json:"revision"`
}

// CompareAndSwapRequest is the body of a compare-and-swap.
type CompareAndSwapRequest struct {
	BaseRevision int64  `json:"base"`
	Data         []byte `json:"data"`
	TTLMs        int64  `json:"ttlMs,omitempty"`
}

// Paths of the platform's HTTP interface.
const (
	// PathKeys is followed by an escaped key.
	PathKeys = "/v1/keys/"
	// PathInstances lists instances, and takes an instance that announces itself.
	PathInstances = "/v1/instances"
)
