package front

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"
)

// writeResponse writes the status line, header and Body of a response, but not its
// Stream.
func writeResponse(w net.Conn, req *Request, resp *Response, isLast bool) error {
	var b bytes.Buffer
	text := http.StatusText(resp.Status)
	if text == "" {
		text = "Status"
	}
	b.WriteString("HTTP/1.1 " + strconv.Itoa(resp.Status) + " " + text + "\r\n")
	for name, values := range resp.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if isLast {
		b.WriteString("Connection: close\r\n")
	}
	isHead := req != nil && req.Method == http.MethodHead
	hasNoBody := resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified
	switch {
	case resp.Stream != nil && resp.Length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		_, err := w.Write(b.Bytes())
		if err == nil {
			_, err = newBodyWriter(w, resp).Write(resp.Body)
		}
		return err
	case (isHead || resp.Stream != nil) && resp.Length >= 0:
		b.WriteString("Content-Length: " + strconv.FormatInt(resp.Length, 10) + "\r\n")
	case !hasNoBody && !isHead:
		b.WriteString("Content-Length: " + strconv.Itoa(len(resp.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if !isHead && !hasNoBody {
		b.Write(resp.Body)
	}
	_, err := w.Write(b.Bytes())
	return err
}

// bodyWriter writes the parts of a body, chunked if its length is unknown. Each
// part has its own write deadline.
type bodyWriter struct {
	w       net.Conn
	chunked bool
}

func newBodyWriter(w net.Conn, resp *Response) *bodyWriter {
	return &bodyWriter{w: w, chunked: resp.Length < 0}
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

// writeFinalChunk ends a chunked body; it writes nothing for a body of known
// length.
func writeFinalChunk(w net.Conn, resp *Response) error {
	if resp.Length >= 0 {
		return nil
	}
	_, err := w.Write([]byte("0\r\n\r\n"))
	return err
}
