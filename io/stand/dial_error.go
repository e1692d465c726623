package stand

import (
	"net"

	"github.com/cockroachdb/errors"
)

// isDialError reports whether err means that no connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
