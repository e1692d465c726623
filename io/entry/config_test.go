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

// threeRegions starts n entries over three regions with 20 ms between them.
func threeRegions(t *testing.T, n int) *stand.System {
	t.Helper()
	doc, err := stand.SampleDocument("gandaki")
	require.NoError(t, err)
	s, err := stand.StartSystem(stand.SystemConfig{Document: doc, Entries: n, KeepTargets: true, CrossRegionDelay: 20 * time.Millisecond, Seed: 1})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func post(t *testing.T, s *stand.System, i int, req entry.ChangeRequest) (int, entry.ChangeAnswer) {
	t.Helper()
	body, err := json.Marshal(req)
	require.NoError(t, err)
	resp, got := send(t, "POST", "http://"+s.Entries[i].OperatorsAddress()+"/v1/config", string(body), "Authorization", "Bearer "+stand.Token)
	var answer entry.ChangeAnswer
	require.NoError(t, json.Unmarshal([]byte(got), &answer), got)
	return resp.StatusCode, answer
}

func changed(t *testing.T, s *stand.System, comment string) json.RawMessage {
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
		d, err := stand.FetchDump(e.OperatorsAddress(), stand.Token)
		require.NoError(t, err)
		out = append(out, d.Revision)
	}
	return out
}

func allAt(revision int64, n int) []int64 {
	out := make([]int64, n)
	for i := range out {
		out[i] = revision
	}
	return out
}

func TestChangeIsInForceEverywhereSoon(t *testing.T) {
	s := threeRegions(t, 9)
	for i := range 3 {
		status, answer := post(t, s, i, entry.ChangeRequest{Base: int64(i + 1), ChangeID: newKey(), Document: changed(t, s, fmt.Sprint(i))})
		require.Equal(t, http.StatusOK, status, "%+v", answer)
		require.EqualValues(t, i+2, answer.Revision)
		require.Eventually(t, func() bool {
			return fmt.Sprint(revisions(t, s)) == fmt.Sprint(allAt(answer.Revision, 9))
		}, time.Second, 10*time.Millisecond)
	}
}

func TestOfTwoOperatorsOneIsAcceptedAndTheOtherSeesWhatCameFirst(t *testing.T) {
	s := threeRegions(t, 3)
	type end struct {
		status int
		answer entry.ChangeAnswer
	}
	ends := make(chan end, 2)
	for i := range 2 {
		go func() {
			status, answer := post(t, s, i, entry.ChangeRequest{Base: 1, ChangeID: newKey(), Author: fmt.Sprint("operator-", i), Document: changed(t, s, fmt.Sprint(i))})
			ends <- end{status, answer}
		}()
	}
	one, two := <-ends, <-ends
	if one.status != http.StatusOK {
		one, two = two, one
	}
	require.Equal(t, http.StatusOK, one.status)
	require.Equal(t, http.StatusConflict, two.status)
	require.Equal(t, magnolialedge.KindConflict, two.answer.Kind)
	require.EqualValues(t, 2, two.answer.Stored.Revision)
	require.NotEmpty(t, two.answer.Stored.Author)
}

func TestLostReplyIsSettledAsAccepted(t *testing.T) {
	s := threeRegions(t, 3)
	s.Platform.SetBehaviour(stand.PlatformBehaviour{DropWriteResponses: 2})
	status, answer := post(t, s, 1, entry.ChangeRequest{Base: 1, ChangeID: newKey(), Document: changed(t, s, "x")})
	require.Equal(t, http.StatusOK, status, "%+v", answer)
	require.EqualValues(t, 2, answer.Revision)
}

func TestReplyLostBeforeAnOutageIsPendingAndSettledLater(t *testing.T) {
	s := threeRegions(t, 3)
	s.Platform.SetBehaviour(stand.PlatformBehaviour{DropWriteResponses: 1 << 20})
	req := entry.ChangeRequest{Base: 1, ChangeID: newKey(), Document: changed(t, s, "x")}
	status, answer := post(t, s, 1, req)
	require.Equal(t, http.StatusAccepted, status, "%+v", answer)
	require.Equal(t, magnolialedge.KindPending, answer.Kind)
	s.Platform.SetBehaviour(stand.PlatformBehaviour{})
	status, answer = post(t, s, 2, req)
	require.Equal(t, http.StatusOK, status, "%+v", answer)
	require.EqualValues(t, 2, answer.Revision)
}

func TestOutageAcceptsNothingAndANewEntryStartsFromItsPeers(t *testing.T) {
	s := threeRegions(t, 3)
	_, answer := post(t, s, 0, entry.ChangeRequest{Base: 1, ChangeID: newKey(), Document: changed(t, s, "x")})
	require.EqualValues(t, 2, answer.Revision)
	s.Platform.SetBehaviour(stand.PlatformBehaviour{Down: true})
	status, answer := post(t, s, 0, entry.ChangeRequest{Base: 2, ChangeID: newKey(), Document: changed(t, s, "y")})
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, magnolialedge.OutcomeNotRun, answer.Outcome)
	_, err := s.StartEntry("koshi", 7)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return fmt.Sprint(revisions(t, s)) == fmt.Sprint(allAt(2, 4)) }, 5*time.Second, 20*time.Millisecond)
	resp, _ := send(t, "GET", "http://"+s.Entries[3].OperatorsAddress()+"/readyz", "")
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

func TestOldVersionIsNotTaken(t *testing.T) {
	s := threeRegions(t, 3)
	for i := range 2 {
		_, answer := post(t, s, 0, entry.ChangeRequest{Base: int64(i + 1), ChangeID: newKey(), Document: changed(t, s, fmt.Sprint(i))})
		require.EqualValues(t, i+2, answer.Revision)
	}
	require.Eventually(t, func() bool { return fmt.Sprint(revisions(t, s)) == fmt.Sprint(allAt(3, 3)) }, time.Second, 10*time.Millisecond)
	require.NoError(t, s.OverwriteDocument(context.Background(), s.Document))
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, allAt(3, 3), revisions(t, s))
}

func TestInvalidDocumentIsRefusedWithEveryFault(t *testing.T) {
	s := threeRegions(t, 1)
	doc := s.Document
	doc.Zones = append(doc.Zones, doc.Zones[0])
	doc.Services = append([]magnolialedge.Service(nil), doc.Services...)
	doc.Services[1].Targets = []magnolialedge.Target{}
	data, err := json.Marshal(doc)
	require.NoError(t, err)
	status, answer := post(t, s, 0, entry.ChangeRequest{Base: 1, ChangeID: newKey(), Document: data})
	require.Equal(t, http.StatusUnprocessableEntity, status)
	require.Len(t, answer.Faults, 2)
	require.Equal(t, "/zones/6/name", answer.Faults[0].Path)
	require.Equal(t, "/services/1/targets", answer.Faults[1].Path)
}

var (
	hiddenField  = regexp.MustCompile(`name="(csrf|base|changeId)" value="([^"]*)"`)
	documentText = regexp.MustCompile(`(?s)<textarea name="document"[^>]*>(.*?)</textarea>`)
)

// formOf reads the fields that a draft page carries.
func formOf(page string) url.Values {
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

func TestConsoleDrainsATargetAndGuardsItsForms(t *testing.T) {
	s := threeRegions(t, 3)
	base := "http://" + s.Entries[0].OperatorsAddress() + "/console"
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
	form := formOf(text)
	form.Set("edit", "drainTarget/0/2")
	status, text = page(client.PostForm(base+"/draft", form))
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, text, "&#43;          &#34;state&#34;: &#34;draining&#34;")
	form = formOf(text)
	forged := url.Values{"csrf": {"x"}, "base": form["base"], "changeId": form["changeId"], "document": form["document"]}
	status, _ = page(client.PostForm(base+"/submit", forged))
	require.Equal(t, http.StatusForbidden, status)
	status, text = page(client.PostForm(base+"/submit", form))
	require.Equal(t, http.StatusOK, status, text)
	require.Contains(t, text, "Accepted as revision 2")
	status, text = page(client.PostForm(base+"/submit", form))
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, text, "Accepted as revision 2", "the same change again is the same change")
	form.Set("changeId", newKey())
	status, text = page(client.PostForm(base+"/submit", form))
	require.Equal(t, http.StatusConflict, status)
	require.Contains(t, text, "accepted first")
}
