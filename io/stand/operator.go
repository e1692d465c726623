package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"magnolialedge"
	"magnolialedge/core/vers"
	"magnolialedge/io/entry"
	iovers "magnolialedge/io/vers"
)

// SubmitComment submits the world's document with another comment through an
// entry, made from the revision that is in force there. An answer without a
// revision was not accepted.
func (w *Cluster) SubmitComment(by *EntryProcess, comment string) (entry.ChangeAnswer, error) {
	var answer entry.ChangeAnswer
	dump, err := FetchDump(by.OperatorsAddress, Token)
	if err != nil {
		return answer, err
	}
	doc := w.Document
	doc.Comment = comment + " " + uuid.NewString()
	data, err := vers.Format(doc)
	if err != nil {
		return answer, err
	}
	body, err := json.Marshal(entry.ChangeRequest{Base: dump.Revision, ChangeID: uuid.NewString(), Author: by.Name, Document: data})
	if err != nil {
		return answer, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+by.OperatorsAddress+"/v1/config", bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	req.Header.Set("Authorization", "Bearer "+Token)
	resp, err := controlClient.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&answer)
	if resp.StatusCode != http.StatusOK {
		answer.Revision = 0
	}
	return answer, err
}

// timeChange submits a change and returns the milliseconds until it was in force
// at the last entry, and the sizes in KB of the document and of the version as
// it is sent.
func (w *Cluster) timeChange(ctx context.Context, by *EntryProcess, comment string) (float64, [2]float64, error) {
	begun := time.Now()
	answer, err := w.SubmitComment(by, comment)
	if err != nil || answer.Revision == 0 {
		return 0, [2]float64{}, errors.Newf("the change wasn't accepted: %v %s", err, answer.Detail)
	}
	for ctx.Err() == nil && time.Since(begun) < readyTimeout {
		last, all := w.lastInForce(answer.Revision)
		if all {
			sizes, err := w.versionSizes()
			return float64(last.Sub(begun).Milliseconds()), sizes, err
		}
		wait(ctx, 50*time.Millisecond)
	}
	return 0, [2]float64{}, errors.Newf("revision %d isn't in force everywhere", answer.Revision)
}

// lastInForce returns when the last entry put a revision in force, and whether
// all have.
func (w *Cluster) lastInForce(revision int64) (time.Time, bool) {
	var last time.Time
	dumps := w.Dumps()
	for _, d := range dumps {
		if d.Revision < revision {
			return last, false
		}
		if d.Since.After(last) {
			last = d.Since
		}
	}
	return last, len(dumps) == len(w.Entries)
}

func (w *Cluster) versionSizes() ([2]float64, error) {
	text, err := vers.Format(w.Document)
	if err != nil {
		return [2]float64{}, err
	}
	version := vers.NextVersion(magnolialedge.DocumentVersion{}, vers.Change{ID: uuid.NewString(), Document: w.Document}, time.Now())
	sent, err := iovers.Encode(version)
	return [2]float64{float64(len(text)) / 1024, float64(len(sent)) / 1024}, err
}
