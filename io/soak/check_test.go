package soak

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	platform "magnolialedge/platform/stand"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return noon.Add(time.Duration(seconds * float64(time.Second)))
}

func emptyWorld() *world {
	return &world{calm: newCalm(), busy: map[any]bool{}}
}

// good is a call with a right answer.
func good() outcome {
	return outcome{
		call:  platform.Request{ID: "7", Method: http.MethodPost, Path: "/writes/7", Body: []byte("7")},
		entry: "e", from: at(10), to: at(10.1),
		reply: platform.Response{Status: http.StatusOK, ID: "7", IsSigned: true, Body: "u POST /writes/7 1"},
	}
}

func ran(times int) deliveries {
	d := deliveries{}
	for range times {
		d["7"] = append(d["7"], delivery{platform.Arrival{ID: "7", At: at(10), Ran: true}, &upstream{id: "u"}})
	}
	return d
}

func TestBrokenPromisesOfAnswersAreSeen(t *testing.T) {
	refused := platform.Response{Status: http.StatusServiceUnavailable, ID: "7", RetryAfter: "1"}
	for name, c := range map[string]struct {
		change func(*outcome)
		runs   int
		breach bool
	}{
		"a right answer":                 {func(*outcome) {}, 1, false},
		"run twice":                      {func(*outcome) {}, 2, true},
		"repeatable and run twice":       {func(o *outcome) { o.repeatable = true }, 2, false},
		"never run":                      {func(*outcome) {}, 0, true},
		"unsigned":                       {func(o *outcome) { o.reply.IsSigned = false }, 1, true},
		"another's id":                   {func(o *outcome) { o.reply.ID = "8" }, 1, true},
		"another's body":                 {func(o *outcome) { o.reply.Body = "u POST /writes/8 1" }, 1, true},
		"refused":                        {func(o *outcome) { o.reply = refused }, 0, false},
		"refused and run":                {func(o *outcome) { o.reply = refused }, 1, true},
		"refused without a time":         {func(o *outcome) { o.reply = refused; o.reply.RetryAfter = "" }, 0, true},
		"cut":                            {func(o *outcome) { o.err = errors.New("reset") }, 1, true},
		"cut for a caller that left":     {func(o *outcome) { o.err = errors.New("reset"); o.left = true }, 1, false},
		"no answer within the timeout":   {func(o *outcome) { o.err = errors.New("timeout"); o.to = o.from.Add(2 * time.Second) }, 1, true},
		"the run's answer was a failure": {func(o *outcome) { o.reply.Status = http.StatusInternalServerError }, 1, false},
	} {
		w := emptyWorld()
		o := good()
		c.change(&o)
		w.checkOutcomes([]outcome{o}, ran(c.runs))
		require.Equal(t, c.breach, len(w.breaches) > 0, "%s: %v", name, w.breaches)
	}
}

func TestCallThatIsCutAtADisturbedEntryIsAllowed(t *testing.T) {
	w := emptyWorld()
	w.calm.spans["e"] = []*span{{from: at(7), to: at(8)}}
	o := good()
	o.err = errors.New("reset")
	w.checkOutcomes([]outcome{o}, ran(1))
	require.Empty(t, w.breaches)
	w.calm.spans["e"][0].to = at(5)
	w.checkOutcomes([]outcome{o}, ran(1))
	require.Len(t, w.breaches, 1)
}

func TestWorkGivenToALeavingUpstreamIsSeen(t *testing.T) {
	for begun, breaches := range map[float64]int{9: 0, 8: 0, 6.5: 1} {
		w := emptyWorld()
		d := deliveries{"7": {{platform.Arrival{ID: "7", At: at(10)}, &upstream{id: "u", drains: []span{{from: at(begun), to: at(12)}}}}}}
		w.checkDrains([]outcome{good()}, d)
		require.Len(t, w.breaches, breaches, "drain from %v", begun)
	}
}

func TestRetriesBeyondTheBudgetAreSeen(t *testing.T) {
	for retries, breaches := range map[int]int{retryExtra: 0, retryExtra + 1: 1} {
		w := emptyWorld()
		w.checkRetries(nil, ran(retries+1))
		require.Len(t, w.breaches, breaches)
	}
}

func TestVersionsThatAreLateOrGoBackAreSeen(t *testing.T) {
	e := &entry{}
	e.settings.Name = "e"
	w := emptyWorld()
	w.changes = []change{{version: 1, at: at(0)}, {version: 2, at: at(10)}}
	var seen seenVersion
	w.checkVersion(e, 1, at(11), &seen, 1)
	require.Empty(t, w.breaches)
	w.checkVersion(e, 1, at(13.1), &seen, 1)
	require.Len(t, w.breaches, 1)
	w.checkVersion(e, 2, at(13.2), &seen, 1)
	w.checkVersion(e, 1, at(13.3), &seen, 1)
	require.Len(t, w.breaches, 2)
	w.checkVersion(e, 1, at(13.4), &seen, 2)
	require.Len(t, w.breaches, 2)
}
