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
func (e ValidationError) String() string {
	return fmt.Sprintf("%s: found %s; want %s", e.Path, e.Found, e.Want)
}

// ValidationErrors lists all invalid parts of a document.
type ValidationErrors []ValidationError

// Error returns all errors, one per line.
func (es ValidationErrors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.String()
	}
	return strings.Join(lines, "\n")
}

func (es *ValidationErrors) add(path, found, want string) {
	*es = append(*es, ValidationError{Path: path, Found: found, Want: want})
}
