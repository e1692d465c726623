package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const sampleLog = `level=info ts=2026-01-01T00:00:00Z instance=e1 event=3105 name=upstreamRegistered upstream=i-1 service=s draining=false revision=4
level=warn ts=2026-01-01T00:00:01Z instance=e1 event=3001 name=upstreamLost service=s upstream=i-1 requestId=r7 err="read: connection reset"
level=info ts=2026-01-01T00:00:01Z instance=e1 event=3101 name=requestServed requestId=r7 route=reads status=200 result=answered tookMs=80 attempts="i-1:lost:20:3:1.0:0.0 i-2:answered:60:2:1.0:1.0"
level=info ts=2026-01-01T00:00:02Z instance=e1 event=3101 name=requestServed requestId=r8 route=reads status=200 attempts=i-2:answered:60:2:1.0:1.0
`

func TestReportContainsOnlyLinesOfRequestAndItsUpstreams(t *testing.T) {
	lines, err := parseLog(strings.NewReader(sampleLog))
	require.NoError(t, err)
	report := requestReport("r7", lines)
	require.Contains(t, report, "attempt at i-1: lost after 20 ms; its reading was 3 ms old")
	require.Contains(t, report, "attempt at i-2: answered after 60 ms")
	require.Contains(t, report, "upstreamRegistered upstream=i-1")
	require.NotContains(t, report, "r8")
	require.Empty(t, requestReport("r9", lines))
}

func TestReportOfRejectionContainsItsInputs(t *testing.T) {
	lines, err := parseLog(strings.NewReader("event=3101 requestId=r1 result=overloaded usable=12 freeSlots=0 limited=3 queued=4 expectedWaitMs=90 serviceMs=75 readingAgeMs=20\n"))
	require.NoError(t, err)
	require.Contains(t, requestReport("r1", lines), "rejected with 12 usable upstreams, 0 free slots, 3 upstreams whose limit left nothing and 4 queued requests; expected a wait of 90 ms")
}

func TestReportOfRejectionTellsItsCause(t *testing.T) {
	for line, want := range map[string]string{
		"unreachable=12 contactAgeMs=4003": "12 upstreams did not respond to this entry, and one of them had last responded 4003 ms before",
		"notAdmitted=true":                 "not admitted to the queue, because more urgent requests took all capacity",
		"unreachable=2 contactAgeMs=-1":    "2 upstreams did not respond to this entry, and no upstream of the service had ever responded",
	} {
		lines, err := parseLog(strings.NewReader("event=3101 requestId=r1 result=noUpstream usable=0 " + line + "\n"))
		require.NoError(t, err)
		require.Contains(t, requestReport("r1", lines), want)
	}
}

func TestReportOfRefusalNamesTheLimitOfTheAccount(t *testing.T) {
	lines, err := parseLog(strings.NewReader("event=3101 requestId=r1 result=overQuota account=shop accountLimit=20 accountOwner=e7 accountShare=1.5 accountUse=9.25 grantAgeMs=412\n"))
	require.NoError(t, err)
	require.Contains(t, requestReport("r1", lines), "refused for account shop, whose limit is 20 a second; this entry received 9.25 requests a second of the account, and its share of the limit was 1.5 a second; the last credits were granted 412 ms before by e7")
}

func TestEmptyRequestIDIsAnError(t *testing.T) {
	require.ErrorContains(t, (&explainCommand{ID: " "}).Run(), "the request ID is empty")
}

// Guards against a refusal whose report does not name the evacuations and regions behind it.
func TestReportNamesEvacuationsAndRegions(t *testing.T) {
	lines, err := parseLog(strings.NewReader("event=3101 requestId=r1 result=noUpstream usable=0 regions=east,west evacuated=2 disallowed=5\n"))
	require.NoError(t, err)
	report := requestReport("r1", lines)
	require.Contains(t, report, "2 upstreams are in evacuated zones; 5 upstreams are outside the allowed regions (east,west)")
}

// Guards against a 401 whose cause an operator has to guess.
func TestReportOfUnauthorizedRequestNamesTheCause(t *testing.T) {
	for fault, text := range keyFaults {
		lines, err := parseLog(strings.NewReader("event=3101 requestId=r1 routing=7 result=unauthorized keyFault=" + fault + "\n"))
		require.NoError(t, err)
		require.Contains(t, requestReport("r1", lines), "refused with 401 by version 7 of the routes: "+text)
	}
}
