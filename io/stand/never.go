package stand

import (
	"net"

	"github.com/cockroachdb/errors"
)

// neverSent reports whether err shows that no connection came about.
func neverSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
