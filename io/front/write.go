package front

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
)

// writeAnswer writes an answer in one piece.
func writeAnswer(w net.Conn, req *Request, a *Answer, last bool) error {
	var b bytes.Buffer
	text := http.StatusText(a.Status)
	if text == "" {
		text = "Status"
	}
	b.WriteString("HTTP/1.1 " + strconv.Itoa(a.Status) + " " + text + "\r\n")
	for name, values := range a.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	head := req != nil && req.Method == http.MethodHead
	bodyless := a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	switch {
	case head && a.Length >= 0:
		b.WriteString("Content-Length: " + strconv.FormatInt(a.Length, 10) + "\r\n")
	case !bodyless && !head:
		b.WriteString("Content-Length: " + strconv.Itoa(len(a.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if !head && !bodyless {
		b.Write(a.Body)
	}
	_, err := w.Write(b.Bytes())
	return err
}
