package vers

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong in a document.
type Fault struct {
	// Path is the place, as a JSON pointer.
	Path  string `json:"path"`
	Found string `json:"found"`
	Want  string `json:"want"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: found %s; want %s", f.Path, f.Found, f.Want)
}

// Faults is everything that is wrong in a document.
type Faults []Fault

// Error returns all faults, one a line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

func (fs *Faults) add(path, found, want string) {
	*fs = append(*fs, Fault{Path: path, Found: found, Want: want})
}
