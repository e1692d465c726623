package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"magnolialedge"
	"magnolialedge/core/vers"
	"magnolialedge/io/entry"
	"magnolialedge/io/stand"
)

// startThreeRegions starts n entries in three regions with a delay of 20 ms between regions.
func startThreeRegions(t *testing.T, n int) *stand.System {
	t.Helper()
	doc, err := stand.SampleDocument("gandaki")
	require.NoError(t, err)
	s, err := stand.StartSystem(stand.SystemConfig{Document: doc, Entries: n, KeepTargets: true, CrossRegionDelay: 20 * time.Millisecond, Seed: 1})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func postChange(t *testing.T, s *stand.System, i int, req entry.ChangeRequest) (int, entry.ChangeResponse) {
	t.Helper()
	body, err := json.Marshal(req)
	require.NoError(t, err)
	resp, got := send(t, "POST", "http://"+s.Entries[i].OperatorAddress()+"/v1/config", string(body), "Authorization", "Bearer "+stand.Token)
	var response entry.ChangeResponse
	require.NoError(t, json.Unmarshal([]byte(got), &response), got)
	return resp.StatusCode, response
}

func documentWithComment(t *testing.T, s *stand.System, comment string) json.RawMessage {
	t.Helper()
	doc := s.Document
	doc.Comment = comment
	data, err := vers.Format(doc)
	require.NoError(t, err)
	return data
}

func revisions(t *testing.T, s *stand.System) []int64 {
	t.Helper()
	var out []int64
	for _, e := range s.Entries {
		d, err := stand.FetchDump(e.OperatorAddress(), stand.Token)
		require.NoError(t, err)
		out = append(out, d.Revision)
	}
	return out
}

func repeatRevision(revision int64, n int) []int64 {
	out := make([]int64, n)
	for i := range out {
		out[i] = revision
	}
	return out
}

func TestChangeIsAppliedByAllEntriesWithinASecond(t *testing.T) {
	s := startThreeRegions(t, 9)
	for i := range 3 {
		status, response := postChange(t, s, i, entry.ChangeRequest{BaseRevision: int64(i + 1), ChangeID: newUUID(), Document: documentWithComment(t, s, fmt.Sprint(i))})
		require.Equal(t, http.StatusOK, status, "%+v", response)
		require.EqualValues(t, i+2, response.Revision)
		require.Eventually(t, func() bool {
			return fmt.Sprint(revisions(t, s)) == fmt.Sprint(repeatRevision(response.Revision, 9))
		}, time.Second, 10*time.Millisecond)
	}
}

func TestConcurrentChangesConflictAndReturnTheStoredVersion(t *testing.T) {
	s := startThreeRegions(t, 3)
	type result struct {
		status   int
		response entry.ChangeResponse
	}
	results := make(chan result, 2)
	for i := range 2 {
		go func() {
			status, response := postChange(t, s, i, entry.ChangeRequest{BaseRevision: 1, ChangeID: newUUID(), Author: fmt.Sprint("operator-", i), Document: documentWithComment(t, s, fmt.Sprint(i))})
			results <- result{status, response}
		}()
	}
	accepted, refused := <-results, <-results
	if accepted.status != http.StatusOK {
		accepted, refused = refused, accepted
	}
	require.Equal(t, http.StatusOK, accepted.status)
	require.Equal(t, http.StatusConflict, refused.status)
	require.Equal(t, magnolialedge.KindConflict, refused.response.Kind)
	require.EqualValues(t, 2, refused.response.Stored.Revision)
	require.NotEmpty(t, refused.response.Stored.Author)
}

func TestChangeIsAcceptedWhenStoreRepliesAreLost(t *testing.T) {
	s := startThreeRegions(t, 3)
	s.Platform.SetBehaviour(stand.PlatformBehaviour{DropWriteResponses: 2})
	status, response := postChange(t, s, 1, entry.ChangeRequest{BaseRevision: 1, ChangeID: newUUID(), Document: documentWithComment(t, s, "x")})
	require.Equal(t, http.StatusOK, status, "%+v", response)
	require.EqualValues(t, 2, response.Revision)
}

func TestChangeIsPendingWhileAllRepliesAreLostAndAcceptedOnResubmit(t *testing.T) {
	s := startThreeRegions(t, 3)
	s.Platform.SetBehaviour(stand.PlatformBehaviour{DropWriteResponses: 1 << 20})
	req := entry.ChangeRequest{BaseRevision: 1, ChangeID: newUUID(), Document: documentWithComment(t, s, "x")}
	status, response := postChange(t, s, 1, req)
	require.Equal(t, http.StatusAccepted, status, "%+v", response)
	require.Equal(t, magnolialedge.KindPending, response.Kind)
	s.Platform.SetBehaviour(stand.PlatformBehaviour{})
	status, response = postChange(t, s, 2, req)
	require.Equal(t, http.StatusOK, status, "%+v", response)
	require.EqualValues(t, 2, response.Revision)
}

func TestStoreOutageRejectsChangesAndNewEntryLoadsVersionFromPeers(t *testing.T) {
	s := startThreeRegions(t, 3)
	_, response := postChange(t, s, 0, entry.ChangeRequest{BaseRevision: 1, ChangeID: newUUID(), Document: documentWithComment(t, s, "x")})
	require.EqualValues(t, 2, response.Revision)
	s.Platform.SetBehaviour(stand.PlatformBehaviour{Down: true})
	status, response := postChange(t, s, 0, entry.ChangeRequest{BaseRevision: 2, ChangeID: newUUID(), Document: documentWithComment(t, s, "y")})
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, magnolialedge.OutcomeNotRun, response.Outcome)
	_, err := s.StartEntry("koshi", 7)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return fmt.Sprint(revisions(t, s)) == fmt.Sprint(repeatRevision(2, 4)) }, 5*time.Second, 20*time.Millisecond)
	resp, _ := send(t, "GET", "http://"+s.Entries[3].OperatorAddress()+"/readyz", "")
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// TestLowerRevisionIsNotApplied guards against entries that return to an old configuration
// after the platform was restored to an earlier state.
func TestLowerRevisionIsNotApplied(t *testing.T) {
	s := startThreeRegions(t, 3)
	for i := range 2 {
		_, response := postChange(t, s, 0, entry.ChangeRequest{BaseRevision: int64(i + 1), ChangeID: newUUID(), Document: documentWithComment(t, s, fmt.Sprint(i))})
		require.EqualValues(t, i+2, response.Revision)
	}
	require.Eventually(t, func() bool { return fmt.Sprint(revisions(t, s)) == fmt.Sprint(repeatRevision(3, 3)) }, time.Second, 10*time.Millisecond)
	require.NoError(t, s.OverwriteDocument(context.Background(), s.Document))
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, repeatRevision(3, 3), revisions(t, s))
}

func TestInvalidDocumentIsRejectedWithAllErrors(t *testing.T) {
	s := startThreeRegions(t, 1)
	doc := s.Document
	doc.Zones = append(doc.Zones, doc.Zones[0])
	doc.Services = append([]magnolialedge.Service(nil), doc.Services...)
	doc.Services[1].Targets = []magnolialedge.Target{}
	data, err := json.Marshal(doc)
	require.NoError(t, err)
	status, response := postChange(t, s, 0, entry.ChangeRequest{BaseRevision: 1, ChangeID: newUUID(), Document: data})
	require.Equal(t, http.StatusUnprocessableEntity, status)
	require.Len(t, response.ValidationErrors, 2)
	require.Equal(t, "/zones/6/name", response.ValidationErrors[0].Path)
	require.Equal(t, "/services/1/targets", response.ValidationErrors[1].Path)
}

var (
	hiddenField  = regexp.MustCompile(`name="(csrf|base|changeId)" value="([^"]*)"`)
	documentText = regexp.MustCompile(`(?s)<textarea name="document"[^>]*>(.*?)</textarea>`)
)

// parseForm returns the form fields of a draft page.
func parseForm(page string) url.Values {
	out := url.Values{}
	for _, m := range hiddenField.FindAllStringSubmatch(page, -1) {
		out.Set(m[1], m[2])
	}
	if m := documentText.FindStringSubmatch(page); m != nil {
		text := strings.NewReplacer("&#34;", `"`, "&#43;", "+", "&amp;", "&").Replace(m[1])
		out.Set("document", strings.ReplaceAll(text, "\n", "\r\n"))
	}
	return out
}

func TestConsoleDrainsTargetAndRequiresCSRFToken(t *testing.T) {
	s := startThreeRegions(t, 3)
	base := "http://" + s.Entries[0].OperatorAddress() + "/console"
	jar, err := cookiejar.New(nil)
	require.NoError(t, err)
	client := &http.Client{Jar: jar, Timeout: 5 * time.Second}
	page := func(resp *http.Response, err error) (int, string) {
		require.NoError(t, err)
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(text)
	}
	_, text := page(client.Get(base))
	require.Contains(t, text, "Sign in")
	status, _ := page(client.PostForm(base+"/login", url.Values{"author": {"a"}, "token": {"wrong"}}))
	require.Equal(t, http.StatusForbidden, status)
	status, text = page(client.PostForm(base+"/login", url.Values{"author": {"operator"}, "token": {stand.Token}}))
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, text, "Revision 1")
	_, text = page(client.Get(base + "/draft"))
	form := parseForm(text)
	form.Set("edit", "drainTarget/0/2")
	status, text = page(client.PostForm(base+"/draft", form))
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, text, "&#43;          &#34;state&#34;: &#34;draining&#34;")
	form = parseForm(text)
	forged := url.Values{"csrf": {"x"}, "base": form["base"], "changeId": form["changeId"], "document": form["document"]}
	status, _ = page(client.PostForm(base+"/submit", forged))
	require.Equal(t, http.StatusForbidden, status)
	status, text = page(client.PostForm(base+"/submit", form))
	require.Equal(t, http.StatusOK, status, text)
	require.Contains(t, text, "Accepted as revision 2")
	status, text = page(client.PostForm(base+"/submit", form))
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, text, "Accepted as revision 2", "resubmitting the same change id must not create another revision")
	form.Set("changeId", newUUID())
	status, text = page(client.PostForm(base+"/submit", form))
	require.Equal(t, http.StatusConflict, status)
	require.Contains(t, text, "accepted first")
}
