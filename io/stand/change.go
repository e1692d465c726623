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

// SubmitComment submits the document with another comment through the entry via,
// based on the revision that the entry has applied. The revision of the response
// is 0 if the change was rejected.
func (c *Cluster) SubmitComment(via *EntryProcess, comment string) (entry.ChangeResponse, error) {
	var result entry.ChangeResponse
	dump, err := FetchDump(via.OperatorAddress, Token)
	if err != nil {
		return result, err
	}
	doc := c.Document
	doc.Comment = comment + " " + uuid.NewString()
	data, err := vers.Format(doc)
	if err != nil {
		return result, err
	}
	body, err := json.Marshal(entry.ChangeRequest{BaseRevision: dump.Revision, ChangeID: uuid.NewString(), Author: via.Name, Document: data})
	if err != nil {
		return result, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+via.OperatorAddress+"/v1/config", bytes.NewReader(body))
	if err != nil {
		return result, err
	}
	req.Header.Set("Authorization", "Bearer "+Token)
	resp, err := controlClient.Do(req)
	if err != nil {
		return result, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&result)
	if resp.StatusCode != http.StatusOK {
		result.Revision = 0
	}
	return result, err
}

// measurePropagation submits a change and returns the milliseconds until every
// entry had applied it, and the sizes in KB of the formatted document and of the
// encoded version.
func (c *Cluster) measurePropagation(ctx context.Context, via *EntryProcess, comment string) (float64, [2]float64, error) {
	start := time.Now()
	result, err := c.SubmitComment(via, comment)
	if err != nil || result.Revision == 0 {
		return 0, [2]float64{}, errors.Newf("change was rejected: %v %s", err, result.Detail)
	}
	for ctx.Err() == nil && time.Since(start) < readyTimeout {
		last, all := c.lastAppliedAt(result.Revision)
		if all {
			sizes, err := c.versionSizesKB()
			return float64(last.Sub(start).Milliseconds()), sizes, err
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return 0, [2]float64{}, errors.Newf("revision %d was not applied by every entry before the timeout", result.Revision)
}

// lastAppliedAt returns when the last entry applied a revision, and whether every
// entry has applied it.
func (c *Cluster) lastAppliedAt(revision int64) (time.Time, bool) {
	var last time.Time
	dumps := c.Dumps()
	for _, d := range dumps {
		if d.Revision < revision {
			return last, false
		}
		if d.AppliedAt.After(last) {
			last = d.AppliedAt
		}
	}
	return last, len(dumps) == len(c.Entries)
}

func (c *Cluster) versionSizesKB() ([2]float64, error) {
	text, err := vers.Format(c.Document)
	if err != nil {
		return [2]float64{}, err
	}
	version := vers.NextVersion(magnolialedge.DocumentVersion{}, vers.Change{ID: uuid.NewString(), Document: c.Document}, time.Now())
	encoded, err := iovers.Encode(version)
	return [2]float64{float64(len(text)) / 1024, float64(len(encoded)) / 1024}, err
}
