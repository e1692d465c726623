package front

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

// writeAnswer writes an answer in one piece, without its Stream.
func writeAnswer(w net.Conn, req *Request, a *Response, last bool) error {
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
	case a.Stream != nil && a.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		_, err := w.Write(b.Bytes())
		if err == nil {
			_, err = newBodyWriter(w, a).Write(a.Body)
		}
		return err
	case (head || a.Stream != nil) && a.Length >= 0:
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

// bodyWriter writes the parts of a body, each in its own time.
type bodyWriter struct {
	w       net.Conn
	chunked bool
}

func newBodyWriter(w net.Conn, a *Response) *bodyWriter {
	return &bodyWriter{w: w, chunked: a.Length < 0}
}

// Write implements io.Writer.
func (b *bodyWriter) Write(p []byte) (int, error) {
	_ = b.w.SetWriteDeadline(time.Now().Add(writeTimeout))
	if !b.chunked || len(p) == 0 {
		return b.w.Write(p)
	}
	size := strconv.FormatInt(int64(len(p)), 16)
	parts := net.Buffers{[]byte(size + "\r\n"), p, []byte("\r\n")}
	if _, err := parts.WriteTo(b.w); err != nil {
		return 0, err
	}
	return len(p), nil
}

// writeEnd ends a body that has been written in parts.
func writeEnd(w net.Conn, a *Response) error {
	if a.Length >= 0 {
		return nil
	}
	_, err := w.Write([]byte("0\r\n\r\n"))
	return err
}
