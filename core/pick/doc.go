// Package pick selects the registered upstream that receives a request, queues
// requests while no upstream has a free slot, and rejects those that cannot be
// served in time.
package pick
