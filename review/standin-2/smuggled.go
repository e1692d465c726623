package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

const (
	frontPort = 8381
	// rounds is how often each form is sent to each entry.
	rounds = 5
	// answerTime is how long the client waits for a further answer.
	answerTime = time.Second
)

// form is a way in which a request states the length of its body.
type form struct {
	name string
	// fields returns the fields that state the length of a body, and the body that holds the given
	// text.
	fields func(text string) (fields, body string)
}

func length(n int) string {
	return strconv.Itoa(n)
}

// malformed are the forms that HTTP/1.1 forbids. RFC 9112, 5.1: no blank before the colon, a server
// must refuse such a request with 400. 6.1 and 11.2: a length beside chunks must be taken for an
// attempt to smuggle a request, and the connection must be closed after the answer.
var malformed = []form{
	{"a blank before the colon of Content-Length", func(text string) (string, string) {
		return "Content-Length : " + length(len(text)) + "\r\n", text
	}},
	{"Content-Length and Transfer-Encoding", func(text string) (string, string) {
		body := "0\r\n\r\n" + text
		return "Content-Length: " + length(len(body)) + "\r\nTransfer-Encoding: chunked\r\n", body
	}},
}

// sound are the same bodies, sent as HTTP/1.1 says.
var sound = []form{
	{"Content-Length", func(text string) (string, string) {
		return "Content-Length: " + length(len(text)) + "\r\n", text
	}},
	{"Transfer-Encoding", func(text string) (string, string) {
		return "Transfer-Encoding: chunked\r\n", strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n0\r\n\r\n"
	}},
}

// playSmuggled sends requests whose bodies hold the text of another request, and checks that no
// target runs that one.
func playSmuggled(cfg config, f *fleet, entries []*entry) (int, error) {
	out, err := os.Create(cfg.recordPath)
	if err != nil {
		return exitNotRun, err
	}
	defer out.Close()
	forms := sound
	if cfg.hasTrouble {
		forms = malformed
	}
	hidden := map[string]string{}
	for i := range rounds * len(entries) {
		for k, x := range forms {
			id := fmt.Sprintf("%08x%08x", 0x51a70000+k, i)
			inner := fmt.Sprintf("%08x%08x", 0x0bad0000+k, i)
			hidden[inner] = x.name
			if err := sendHidden(out, entries[i%len(entries)], x, id, inner); err != nil {
				return exitNotRun, err
			}
		}
	}
	return judgeSmuggled(out, f, hidden)
}

// head returns the head of a request without its end.
func head(method, path, id string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\n" + headers.RequestID + ": " + id + "\r\n" + headers.Deadline + ": 1000\r\n"
}

// sendHidden sends one upload whose body is the text of another request, and records the answers.
func sendHidden(out io.Writer, e *entry, x form, id, inner string) error {
	c, err := net.Dial("tcp", net.JoinHostPort(e.ip, strconv.Itoa(frontPort)))
	if err != nil {
		return err
	}
	defer c.Close()
	fields, body := x.fields(head(http.MethodGet, "/history/17", inner) + "\r\n")
	message := head(http.MethodPost, "/scan/17", id) + fields + "\r\n" + body
	fmt.Fprintf(out, "sent to %s (%s):\n%q\n", e.ip, x.name, message)
	if _, err := io.WriteString(c, message); err != nil {
		return err
	}
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(answerTime))
		resp, err := http.ReadResponse(r, &http.Request{Method: http.MethodPost})
		if err != nil {
			return nil
		}
		text, _ := io.ReadAll(resp.Body)
		fmt.Fprintf(out, "answer %d to %s: %q\n", resp.StatusCode, resp.Header.Get(headers.RequestID), text)
	}
}

// judgeSmuggled checks the rule as it is written: a target runs a request that was smuggled inside
// another one.
func judgeSmuggled(out io.Writer, f *fleet, hidden map[string]string) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintln(out, "\nrun by targets:")
	ran := map[string]int{}
	for _, a := range f.arrivals {
		name, isHidden := hidden[a.id]
		if isHidden {
			ran[name]++
		}
		fmt.Fprintf(out, "request %s %s %s with a body of %d bytes at %s, smuggled %t\n", a.id, a.method, a.path, a.bodyBytes, a.target, isHidden)
	}
	verdict, code := "held", exitHeld
	if len(ran) > 0 {
		verdict, code = "broken", exitBroken
	}
	fmt.Fprintf(out, "\nsmuggled requests that were run, by form: %v\nrule UNASKED: %s\n", ran, verdict)
	return code, nil
}
