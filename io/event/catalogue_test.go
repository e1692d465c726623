package event

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func severityName(s Severity) string {
	return [...]string{"info", "warning", "failure"}[s]
}

// TestCatalogueMatchesDocumentation guards against a page for operators that differs
// from the events in the code.
func TestCatalogueMatchesDocumentation(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	last := 0
	for _, e := range Catalogue() {
		require.Greater(t, e.Number, last, "%s", e.Name)
		last = e.Number
		row := fmt.Sprintf("| %d | %s | %s | %s |", e.Number, e.Name, severityName(e.Severity), e.Meaning)
		require.Contains(t, string(page), row)
	}
	rows := regexp.MustCompile(`(?m)^\| \d{4} `).FindAllString(string(page), -1)
	require.Len(t, rows, len(Catalogue()))
}

// TestEveryDeclaredEventIsListedAndLogged guards against events that are missing from
// the catalogue and events that no code logs.
func TestEveryDeclaredEventIsListedAndLogged(t *testing.T) {
	source, err := os.ReadFile("catalogue.go")
	require.NoError(t, err)
	declared := regexp.MustCompile(`(?m)^\t(\w+) += Event\{`).FindAllStringSubmatch(string(source), -1)
	require.Len(t, declared, len(Catalogue()))
	var code strings.Builder
	for _, dir := range []string{"../call", "../entry", "../front", "../mirror", "../node", "../serve", "../vers"} {
		files, err := os.ReadDir(dir)
		require.NoError(t, err)
		for _, f := range files {
			text, err := os.ReadFile(dir + "/" + f.Name())
			require.NoError(t, err)
			code.Write(text)
		}
	}
	for _, d := range declared {
		require.True(t, strings.Contains(code.String(), "event."+d[1]), "no code logs %s", d[1])
	}
}
