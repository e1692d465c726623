package vers

import (
	"fmt"
	"strings"
)

// ValidationError is one thing that is wrong in a document.
type ValidationError struct {
	// Path is the place, as a JSON pointer.
	Path  string `json:"path"`
	Found string `json:"found"`
	Want  string `json:"want"`
}

// String returns the fault on one line.
func (f ValidationError) String() string {
	return fmt.Sprintf("%s: found %s; want %s", f.Path, f.Found, f.Want)
}

// ValidationErrors is everything that is wrong in a document.
type ValidationErrors []ValidationError

// Error returns all faults, one a line.
func (fs ValidationErrors) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

func (fs *ValidationErrors) add(path, found, want string) {
	*fs = append(*fs, ValidationError{Path: path, Found: found, Want: want})
}
