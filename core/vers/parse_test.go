package vers

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"

	"magnolialedge"
)

const validDocument = `{"schema":1,"regions":[{"name":"r","maxEntries":2}],"zones":[{"name":"z","region":"r"}],
"measuring":{"bytesPerSecond":1000,"operationsPerSecond":10},"crossRegionMsPerMB":40,
"services":[{"name":"s","finder":"store","deadlineMs":1000,"retryPercent":10,"hedgePercent":5,
"nonIdempotent":[{"method":"POST","path":"/a/*"}],
"targets":[{"address":"10.0.0.1:80","zone":"z","slots":4,"maxConnections":10}]}]}`

// TestParseReportsAllErrors compares all errors of each invalid document with a
// golden file.
func TestParseReportsAllErrors(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		name := filepath.Base(file)
		t.Run(name, func(t *testing.T) {
			data, err := os.ReadFile(file)
			require.NoError(t, err)
			_, err = Parse(data)
			require.Error(t, err)
			goldie.New(t).Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

func TestFormatRoundTrip(t *testing.T) {
	doc, err := Parse([]byte(validDocument))
	require.NoError(t, err)
	text, err := Format(doc)
	require.NoError(t, err)
	again, err := Parse(text)
	require.NoError(t, err)
	require.Equal(t, doc, again)
}

func TestParseRejectsOversizedDocument(t *testing.T) {
	_, err := Parse(make([]byte, MaxDocumentBytes+1))
	var errs ValidationErrors
	require.ErrorAs(t, err, &errs)
	require.Len(t, errs, 1)
}

// TestApplyDoesNotModifyInput applies edits and requires that the document
// passed in stays unchanged and that opposite edits cancel each other.
func TestApplyDoesNotModifyInput(t *testing.T) {
	doc, err := Parse([]byte(validDocument))
	require.NoError(t, err)
	before, err := json.Marshal(doc)
	require.NoError(t, err)
	target := doc.Services[0].Targets[0]
	drained := Edit{Kind: EditDrainTarget, Service: "s", Target: target}.Apply(doc)
	require.True(t, drained.Services[0].Targets[0].IsDraining())
	served := Edit{Kind: EditActivateTarget, Service: "s", Target: target}.Apply(drained)
	require.Equal(t, doc, served)
	rule := magnolialedge.Rule{Method: "POST", Path: "/b"}
	added := Edit{Kind: EditAddRule, Service: "s", Rule: rule}.Apply(doc)
	require.Len(t, added.Services[0].NonIdempotent, 2)
	require.Equal(t, doc, Edit{Kind: EditRemoveRule, Service: "s", Rule: rule}.Apply(added))
	require.Empty(t, Edit{Kind: EditRemoveTarget, Service: "s", Target: target}.Apply(doc).Services[0].Targets)
	require.Equal(t, doc, Edit{Kind: EditRemoveTarget, Service: "missing", Target: target}.Apply(doc))
	after, err := json.Marshal(doc)
	require.NoError(t, err)
	require.Equal(t, string(before), string(after))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"schema":1}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse(data)
		if err != nil {
			return
		}
		text, err := Format(doc)
		require.NoError(t, err)
		if len(text) > MaxDocumentBytes {
			return
		}
		again, err := Parse(text)
		require.NoError(t, err)
		require.Equal(t, mustFormat(t, doc), mustFormat(t, again))
	})
}

func mustFormat(t *testing.T, doc magnolialedge.Document) string {
	text, err := Format(doc)
	require.NoError(t, err)
	return string(text)
}
