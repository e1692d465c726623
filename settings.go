package magnolialedge

import "github.com/cockroachdb/errors"

// ErrInvalidSettings marks an error in the settings, as opposed to one of the
// environment. A process that meets it has not started anything.
var ErrInvalidSettings = errors.New("invalid settings")
