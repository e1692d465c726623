package form

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"
	"github.com/pmezard/go-difflib/difflib"

	"magnolialedge"
	"magnolialedge/core/vers"
)

// draftPage is a document that an operator works on. It is carried by the form,
// so that the entry keeps nothing.
type draftPage struct {
	CSRF         string
	Author       string
	BaseRevision int64
	ChangeID     string
	Text         string
	Document     magnolialedge.Document
	// IsParsed reports whether Document could be read from Text.
	IsParsed         bool
	ValidationErrors vers.ValidationErrors
	Diff             string
	// Message tells what became of a submission.
	Message    string
	IsAccepted bool
}

// diffContext is the number of unchanged lines shown around a change.
const diffContext = 3

func (f *Console) newDraft(c echo.Context, s session) error {
	v := f.cfg.Syncer.Version()
	text, err := vers.Format(v.Document)
	if err != nil {
		return err
	}
	return f.render(c, http.StatusOK, "draft.html", f.draft(s, v.Revision, uuid.NewString(), string(text)))
}

// draft reads and checks the text, and compares it with the version in force.
func (f *Console) draft(s session, base int64, changeID, text string) draftPage {
	text = strings.ReplaceAll(text, "\r\n", "\n")
	p := draftPage{CSRF: s.csrf, Author: s.author, BaseRevision: base, ChangeID: changeID, Text: text}
	doc, err := vers.Parse([]byte(text))
	p.Document = doc
	p.IsParsed = len(doc.Services) > 0
	_ = errors.As(err, &p.ValidationErrors)
	inForce, err := vers.Format(f.cfg.Syncer.Version().Document)
	if err != nil {
		return p
	}
	p.Diff, _ = difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(string(inForce)),
		B:        difflib.SplitLines(text),
		FromFile: "in force",
		ToFile:   "draft",
		Context:  diffContext,
	})
	return p
}

// editDraft applies one edit, or takes the text as it was typed or imported.
func (f *Console) editDraft(c echo.Context, s session) error {
	base, text := baseOf(c), c.FormValue("document")
	p := f.draft(s, base, c.FormValue("changeId"), text)
	if edit, ok := editOf(c, p.Document); ok {
		formatted, err := vers.Format(edit.Apply(p.Document))
		if err != nil {
			return err
		}
		text = string(formatted)
	}
	return f.render(c, http.StatusOK, "draft.html", f.draft(s, base, c.FormValue("changeId"), text))
}

func baseOf(c echo.Context) int64 {
	base, err := strconv.ParseInt(c.FormValue("base"), 10, 64)
	if err != nil {
		return -1
	}
	return base
}

// editOf reads the edit that a button stands for: its kind, the place of the
// service and the place of the target or rule. The fields of a service carry its
// place behind their names.
func editOf(c echo.Context, doc magnolialedge.Document) (vers.Edit, bool) {
	parts := strings.Split(c.FormValue("edit"), "/")
	if len(parts) != 3 {
		return vers.Edit{}, false
	}
	i, err := strconv.Atoi(parts[1])
	if err != nil || i < 0 || i >= len(doc.Services) {
		return vers.Edit{}, false
	}
	j, err := strconv.Atoi(parts[2])
	if err != nil || j < 0 {
		return vers.Edit{}, false
	}
	edit := fieldsOf(c, parts[1])
	edit.Kind = vers.EditKind(parts[0])
	edit.Service = doc.Services[i].Name
	switch edit.Kind {
	case vers.EditRemoveTarget, vers.EditDrainTarget, vers.EditActivateTarget:
		if j >= len(doc.Services[i].Targets) {
			return edit, false
		}
		edit.Target = doc.Services[i].Targets[j]
	case vers.EditRemoveRule:
		if j >= len(doc.Services[i].NonIdempotent) {
			return edit, false
		}
		edit.Rule = doc.Services[i].NonIdempotent[j]
	}
	return edit, true
}

// fieldsOf reads the fields of the service at a place. A number that can't be
// read becomes -1, which the check of the document refuses.
func fieldsOf(c echo.Context, place string) vers.Edit {
	text := func(name string) string { return strings.TrimSpace(c.FormValue(name + "." + place)) }
	number := func(name string) float64 {
		v, err := strconv.ParseFloat(text(name), 64)
		if err != nil {
			return -1
		}
		return v
	}
	return vers.Edit{
		Target: magnolialedge.Target{
			Address:        text("address"),
			Zone:           text("zone"),
			Slots:          int(number("slots")),
			MaxConnections: int(number("maxConnections")),
		},
		Rule:         magnolialedge.Rule{Method: text("method"), Path: text("path")},
		RetryPercent: number("retryPercent"),
		HedgePercent: number("hedgePercent"),
		DeadlineMs:   int64(number("deadlineMs")),
		Finder:       magnolialedge.KeyLookup(text("finder")),
	}
}

// submit submits the draft whole. The page that answers keeps the change id, so
// that a pending change is settled by submitting again.
func (f *Console) submit(c echo.Context, s session) error {
	p := f.draft(s, baseOf(c), c.FormValue("changeId"), c.FormValue("document"))
	if len(p.ValidationErrors) > 0 || p.BaseRevision < 0 || p.ChangeID == "" {
		return f.render(c, http.StatusUnprocessableEntity, "draft.html", p)
	}
	change := vers.Change{ID: p.ChangeID, BaseRevision: p.BaseRevision, Author: s.author, Document: p.Document}
	receipt, err := f.cfg.Syncer.Submit(c.Request().Context(), change)
	p = f.draft(s, p.BaseRevision, p.ChangeID, p.Text)
	if err == nil {
		p.IsAccepted = true
		p.Message = "Accepted as revision " + strconv.FormatInt(receipt.Revision, 10) + "."
		return f.render(c, http.StatusOK, "draft.html", p)
	}
	p.Message = err.Error()
	return f.render(c, magnolialedge.ErrorResponseFor(magnolialedge.KindOf(err)).Status, "draft.html", p)
}
