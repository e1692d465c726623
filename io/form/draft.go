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

// draftPage is the data of the page that edits a draft document. The form carries the
// draft, so the entry stores no drafts.
type draftPage struct {
	CSRF         string
	Author       string
	BaseRevision int64
	ChangeID     string
	Text         string
	Document     magnolialedge.Document
	// IsParsed reports whether Document was parsed from Text.
	IsParsed         bool
	ValidationErrors vers.ValidationErrors
	Diff             string
	// Message is the result of a submission, or empty.
	Message    string
	IsAccepted bool
}

// diffContextLines is the number of unchanged lines shown around a change.
const diffContextLines = 3

func (f *Console) newDraft(c echo.Context, s session) error {
	v := f.cfg.Syncer.Version()
	text, err := vers.Format(v.Document)
	if err != nil {
		return err
	}
	return f.render(c, http.StatusOK, "draft.html", f.buildDraftPage(s, v.Revision, uuid.NewString(), string(text)))
}

// buildDraftPage parses and validates text, and computes its diff against the version in
// force.
func (f *Console) buildDraftPage(s session, base int64, changeID, text string) draftPage {
	text = strings.ReplaceAll(text, "\r\n", "\n")
	p := draftPage{CSRF: s.csrf, Author: s.author, BaseRevision: base, ChangeID: changeID, Text: text}
	doc, err := vers.Parse([]byte(text))
	p.Document = doc
	p.IsParsed = len(doc.Services) > 0
	_ = errors.As(err, &p.ValidationErrors)
	current, err := vers.Format(f.cfg.Syncer.Version().Document)
	if err != nil {
		return p
	}
	p.Diff, _ = difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(string(current)),
		B:        difflib.SplitLines(text),
		FromFile: "in force",
		ToFile:   "draft",
		Context:  diffContextLines,
	})
	return p
}

// editDraft applies the edit of the pressed button, if any, to the submitted text.
func (f *Console) editDraft(c echo.Context, s session) error {
	base, text := parseBaseRevision(c), c.FormValue("document")
	p := f.buildDraftPage(s, base, c.FormValue("changeId"), text)
	if edit, ok := parseEdit(c, p.Document); ok {
		formatted, err := vers.Format(edit.Apply(p.Document))
		if err != nil {
			return err
		}
		text = string(formatted)
	}
	return f.render(c, http.StatusOK, "draft.html", f.buildDraftPage(s, base, c.FormValue("changeId"), text))
}

// parseBaseRevision returns the base revision of the form, or -1 if it is malformed.
func parseBaseRevision(c echo.Context) int64 {
	base, err := strconv.ParseInt(c.FormValue("base"), 10, 64)
	if err != nil {
		return -1
	}
	return base
}

// parseEdit returns the edit of the pressed button. The button's value is
// kind/serviceIndex/itemIndex, where the item is a target or a rule. parseEdit returns false if
// the value is missing, malformed or out of range.
func parseEdit(c echo.Context, doc magnolialedge.Document) (vers.Edit, bool) {
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
	edit := parseServiceFields(c, parts[1])
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

// parseServiceFields returns an edit with the form fields of one service, whose names end in
// a dot and the index of the service. A malformed number becomes -1, which the validation of
// the document rejects.
func parseServiceFields(c echo.Context, serviceIndex string) vers.Edit {
	text := func(name string) string { return strings.TrimSpace(c.FormValue(name + "." + serviceIndex)) }
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
		KeyLookup:    magnolialedge.KeyLookup(text("finder")),
	}
}

// submit submits the whole document. The response page keeps the change id, so that
// submitting again determines whether a pending change was accepted.
func (f *Console) submit(c echo.Context, s session) error {
	p := f.buildDraftPage(s, parseBaseRevision(c), c.FormValue("changeId"), c.FormValue("document"))
	if len(p.ValidationErrors) > 0 || p.BaseRevision < 0 || p.ChangeID == "" {
		return f.render(c, http.StatusUnprocessableEntity, "draft.html", p)
	}
	change := vers.Change{ID: p.ChangeID, BaseRevision: p.BaseRevision, Author: s.author, Document: p.Document}
	result, err := f.cfg.Syncer.Submit(c.Request().Context(), change)
	p = f.buildDraftPage(s, p.BaseRevision, p.ChangeID, p.Text)
	if err == nil {
		p.IsAccepted = true
		p.Message = "Accepted as revision " + strconv.FormatInt(result.Revision, 10) + "."
		return f.render(c, http.StatusOK, "draft.html", p)
	}
	p.Message = err.Error()
	return f.render(c, magnolialedge.ErrorResponseFor(magnolialedge.KindOf(err)).Status, "draft.html", p)
}
