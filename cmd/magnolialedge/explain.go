package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// explainCommand prints what the logs tell of one request.
type explainCommand struct {
	ID    string   `help:"Id of the request." required:""`
	Files []string `arg:"" help:"Log files of the entries; - reads the standard input." type:"path"`
}

// mostLogLine bounds one log line, in bytes.
const mostLogLine = 1 << 20

// Run prints the decisions on the request, and what was believed of the upstreams
// that it was sent to.
func (c *explainCommand) Run() error {
	var lines []logLine
	for _, path := range c.Files {
		read, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	story := tellStory(c.ID, lines)
	if story == "" {
		return errors.Newf("no line tells of request %s; lines may have been left out (event linesDropped)", c.ID)
	}
	fmt.Print(story)
	return nil
}

// logLine is one log line with its fields.
type logLine struct {
	text   string
	fields map[string]string
}

func readLog(path string) ([]logLine, error) {
	var r io.Reader = os.Stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "log")
		}
		defer f.Close()
		r = f
	}
	return parseLog(r)
}

func parseLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, mostLogLine)
	for lines.Scan() {
		out = append(out, logLine{text: lines.Text(), fields: fieldsOf(lines.Text())})
	}
	return out, errors.Wrap(lines.Err(), "log")
}

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

// tellStory returns the lines of a request, with its attempts spelt out, and the
// lines on the upstreams of those attempts. It is empty when no line names the
// request.
func tellStory(id string, lines []logLine) string {
	var b strings.Builder
	upstreams := map[string]bool{}
	for _, l := range lines {
		if l.fields["requestId"] != id {
			continue
		}
		b.WriteString(l.text + "\n")
		for attempt := range strings.FieldsSeq(l.fields["attempts"]) {
			b.WriteString("  " + spellOut(attempt) + "\n")
			name, _, _ := strings.Cut(attempt, ":")
			upstreams[name] = true
		}
	}
	if len(upstreams) == 0 {
		return b.String()
	}
	b.WriteString("what was believed of these upstreams:\n")
	for _, l := range lines {
		if upstreams[l.fields["upstream"]] && l.fields["requestId"] == "" {
			b.WriteString("  " + l.text + "\n")
		}
	}
	return b.String()
}

// spellOut writes an attempt's upstream:end:tookMs:readingAgeMs:slowness:load.
func spellOut(attempt string) string {
	p := strings.Split(attempt, ":")
	if len(p) != 6 {
		return attempt
	}
	return fmt.Sprintf("attempt at %s: %s after %s ms; its reading was %s ms old, slowness %s, load %s", p[0], p[1], p[2], p[3], p[4], p[5])
}
