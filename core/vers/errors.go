package vers

import (
	"fmt"
	"strings"
)

// ValidationError describes one invalid part of a document.
type ValidationError struct {
	// Path is a JSON pointer to the invalid value.
	Path  string `json:"path"`
	Found string `json:"found"`
	Want  string `json:"want"`
}

// String returns the error on one line.
func (f ValidationError) String() string {
	return fmt.Sprintf("%s: found %s; want %s", f.Path, f.Found, f.Want)
}

// ValidationErrors lists all invalid parts of a document.
type ValidationErrors []ValidationError

// Error returns all errors, one per line.
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
