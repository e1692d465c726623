package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// explainCommand prints the log lines that concern one request.
type explainCommand struct {
	ID    string   `help:"ID of the request." required:""`
	Files []string `arg:"" help:"Log files of the entries; - reads standard input." type:"path"`
}

// maxLogLineBytes limits the length of a log line.
const maxLogLineBytes = 1 << 20

// Run prints the log lines of the request, and those about the upstreams that it
// was sent to. It returns an error if no line has the request ID.
func (c *explainCommand) Run() error {
	if strings.TrimSpace(c.ID) == "" {
		return errors.New("--id: the request ID is empty")
	}
	var lines []logLine
	for _, path := range c.Files {
		read, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	report := requestReport(c.ID, lines)
	if report == "" {
		return errors.Newf("no log line has the request ID %s; lines may have been dropped (event linesDropped)", c.ID)
	}
	fmt.Print(report)
	return nil
}

// logLine is one log line with its fields.
type logLine struct {
	text   string
	fields map[string]string
}

// readLog reads the log file at path, or standard input if path is "-".
func readLog(path string) ([]logLine, error) {
	var r io.Reader = os.Stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "open log")
		}
		defer f.Close()
		r = f
	}
	return parseLog(r)
}

func parseLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		out = append(out, logLine{text: lines.Text(), fields: fieldsOf(lines.Text())})
	}
	return out, errors.Wrap(lines.Err(), "read log")
}

// fieldsOf returns the logfmt fields of a line.
func fieldsOf(line string) map[string]string {
	fields := map[string]string{}
	d := logfmt.NewDecoder(strings.NewReader(line))
	if d.ScanRecord() {
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
	}
	return fields
}

// requestReport returns the log lines of a request, each followed by a description
// of its attempts, and then the lines about the upstreams of those attempts. It
// returns "" if no line has the request ID.
func requestReport(id string, lines []logLine) string {
	var b strings.Builder
	upstreams := map[string]bool{}
	for _, l := range lines {
		if l.fields["requestId"] != id {
			continue
		}
		b.WriteString(l.text + "\n")
		if fault := formatKeyFault(l.fields); fault != "" {
			b.WriteString("  " + fault + "\n")
		}
		if shortage := formatShortage(l.fields); shortage != "" {
			b.WriteString("  " + shortage + "\n")
		}
		if quota := formatQuota(l.fields); quota != "" {
			b.WriteString("  " + quota + "\n")
		}
		for attempt := range strings.FieldsSeq(l.fields["attempts"]) {
			b.WriteString("  " + formatAttempt(attempt) + "\n")
			name, _, _ := strings.Cut(attempt, ":")
			upstreams[name] = true
		}
	}
	if len(upstreams) == 0 {
		return b.String()
	}
	b.WriteString("log lines about these upstreams:\n")
	for _, l := range lines {
		if upstreams[l.fields["upstream"]] && l.fields["requestId"] == "" {
			b.WriteString("  " + l.text + "\n")
		}
	}
	return b.String()
}

// keyFaults describes the reasons for which a request had no client account.
var keyFaults = map[string]string{
	"missing":        "it had no key header",
	"repeated":       "it had more than one key header",
	"malformed":      "the key is empty or too long, or has blanks or control characters",
	"unknown":        "no account lists the key in this version",
	"conflicting":    "two accounts list the key, so that it belongs to neither (event accountKeyConflict)",
	"moved":          "the key was given to another account while the request waited",
	"accountRemoved": "the account that the other entry found does not exist in this version",
}

// formatKeyFault describes why a request got 401, or returns "" if the line has no reason.
func formatKeyFault(fields map[string]string) string {
	fault := fields["keyFault"]
	if fault == "" {
		return ""
	}
	return "refused with 401 by version " + fields["routing"] + " of the routes: " + cmp.Or(keyFaults[fault], fault)
}

// formatShortage describes the capacity that a rejection was decided by, or returns
// "" if the line has none.
func formatShortage(fields map[string]string) string {
	if fields["usable"] == "" {
		return ""
	}
	text := fmt.Sprintf("rejected with %s usable upstreams, %s free slots, %s upstreams whose limit left nothing and %s queued requests; expected a wait of %s ms and %s ms of service; the readings were %s ms old on average",
		fields["usable"], fields["freeSlots"], cmp.Or(fields["limited"], "0"), fields["queued"], fields["expectedWaitMs"], fields["serviceMs"], fields["readingAgeMs"])
	if causes := formatExclusions(fields); causes != "" {
		text += "; " + causes
	}
	if fields["notAdmitted"] == "true" {
		text += "; not admitted to the queue, because more urgent requests took all capacity"
	}
	if fields["unreachable"] == "" {
		return text
	}
	return text + "; " + formatContact(fields)
}

// formatExclusions describes the upstreams that evacuations and allowed regions excluded, or
// returns "".
func formatExclusions(fields map[string]string) string {
	var causes []string
	if n := fields["evacuated"]; n != "" {
		causes = append(causes, n+" upstreams are in evacuated zones")
	}
	if n := fields["disallowed"]; n != "" {
		causes = append(causes, n+" upstreams are outside the allowed regions ("+fields["regions"]+")")
	}
	return strings.Join(causes, "; ")
}

// formatQuota describes the limit of the account by which a request was refused, or returns
// "" if the line has none.
func formatQuota(fields map[string]string) string {
	if fields["accountLimit"] == "" {
		return ""
	}
	grant := "this entry had no credits yet"
	if age := fields["grantAgeMs"]; age != "-1" {
		grant = "the last credits were granted " + age + " ms before by " + cmp.Or(fields["accountOwner"], "an unknown entry")
	}
	return fmt.Sprintf("refused for account %s, whose limit is %s a second; this entry received %s requests a second of the account, and its share of the limit was %s a second; %s",
		fields["account"], fields["accountLimit"], fields["accountUse"], fields["accountShare"], grant)
}

// formatContact describes how the entry reached the upstreams of the service.
func formatContact(fields map[string]string) string {
	last := "no upstream of the service had ever responded"
	if age := fields["contactAgeMs"]; age != "-1" && age != "" {
		last = "one of them had last responded " + age + " ms before"
	}
	return fields["unreachable"] + " upstreams did not respond to this entry, and " + last
}

// formatAttempt describes an attempt that the log reports as
// upstream:end:tookMs:readingAgeMs:slowness:load. It returns text of another form
// unchanged.
func formatAttempt(attempt string) string {
	p := strings.Split(attempt, ":")
	if len(p) != 6 {
		return attempt
	}
	return fmt.Sprintf("attempt at %s: %s after %s ms; its reading was %s ms old, slowness %s, load %s", p[0], p[1], p[2], p[3], p[4], p[5])
}
