package vers

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"magnolialedge"
)

// MaxDocumentBytes limits the size of a document to the maximum size of a value
// in the key-value service.
const MaxDocumentBytes = 1 << 20

//go:embed schema.json
var schemaText []byte

var compiledSchema = sync.OnceValues(compileSchema)

func compileSchema() (*jsonschema.Schema, error) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		return nil, err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("document.json", doc); err != nil {
		return nil, err
	}
	return c.Compile("document.json")
}

// Parse decodes a document and validates it against the JSON schema and with
// Validate. Its errors are of type ValidationErrors.
func Parse(data []byte) (magnolialedge.Document, error) {
	var doc magnolialedge.Document
	if len(data) > MaxDocumentBytes {
		return doc, ValidationErrors{{Path: "", Found: fmt.Sprintf("%d bytes", len(data)), Want: "at most 1048576 bytes"}}
	}
	if errs := validateSchema(data); len(errs) > 0 {
		return doc, errs
	}
	if err := json.Unmarshal(data, &doc); err != nil {
		return doc, ValidationErrors{{Path: "", Found: err.Error(), Want: "a JSON document"}}
	}
	if errs := Validate(doc); len(errs) > 0 {
		return doc, errs
	}
	return doc, nil
}

// validateSchema returns the parts of data that violate the JSON schema.
func validateSchema(data []byte) ValidationErrors {
	schema, err := compiledSchema()
	if err != nil {
		return ValidationErrors{{Path: "", Found: err.Error(), Want: "a schema that compiles"}}
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return ValidationErrors{{Path: "", Found: err.Error(), Want: "one JSON value"}}
	}
	var invalid *jsonschema.ValidationError
	if err := schema.Validate(value); errors.As(err, &invalid) {
		return schemaErrors(invalid)
	}
	return nil
}

// schemaErrors returns the innermost causes of e, sorted by path.
func schemaErrors(e *jsonschema.ValidationError) ValidationErrors {
	if len(e.Causes) == 0 {
		found := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		want := strings.Join(e.ErrorKind.KeywordPath(), "/")
		return ValidationErrors{{Path: jsonPointer(e.InstanceLocation), Found: found, Want: "a value that satisfies the " + want + " rule of the schema"}}
	}
	var out ValidationErrors
	for _, c := range e.Causes {
		out = append(out, schemaErrors(c)...)
	}
	slices.SortStableFunc(out, func(a, b ValidationError) int { return strings.Compare(a.Path, b.Path) })
	return out
}

// jsonPointer returns parts as an escaped JSON pointer.
func jsonPointer(parts []string) string {
	var b strings.Builder
	for _, p := range parts {
		b.WriteByte('/')
		b.WriteString(strings.NewReplacer("~", "~0", "/", "~1").Replace(p))
	}
	return b.String()
}

// Format returns the document as indented JSON in its canonical form.
func Format(doc magnolialedge.Document) ([]byte, error) {
	data, err := json.MarshalIndent(doc, "", "  ")
	return append(data, '\n'), err
}
