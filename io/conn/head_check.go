package conn

import (
	"bytes"
	"fmt"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformedHead means that the head of a response breaks the syntax of HTTP/1.1 (RFC 9112).
var ErrMalformedHead = errors.New("malformed response head")

// headCheck checks the heads of a response byte by byte, as they arrive: those of informational
// responses and that of the final one. net/http accepts names with blanks, and joins folded lines
// (RFC 9112, 5.1 and 5.2), so that it may see other fields than the sender of the response does.
type headCheck struct {
	part headPart
	// line is the number of the line, beginning with 1.
	line int
	// status holds the beginning of the status line, and length the number of bytes in it or in the
	// name of the field.
	status [statusBytes]byte
	length int
	// afterCR is set if the last byte was a carriage return.
	afterCR bool
}

// headPart is the part of a head to which the next byte belongs.
type headPart int

const (
	noHead headPart = iota
	statusLine
	lineStart
	fieldName
	fieldValue
)

// statusBytes is the length of a status line up to the reason phrase, as "HTTP/1.1 200 ".
const statusBytes = 13

// newHeadCheck returns a headCheck that expects a response.
func newHeadCheck() headCheck {
	return headCheck{part: statusLine, line: 1}
}

// isComplete reports whether the final head has ended.
func (h *headCheck) isComplete() bool {
	return h.part == noHead
}

// check checks the next bytes of a connection. It stops after the final head. If the head is
// malformed, it returns the number of bytes before the first wrong one, none of which ends the line.
func (h *headCheck) check(b []byte) (int, error) {
	for i := 0; i < len(b) && !h.isComplete(); i++ {
		if err := h.next(b[i]); err != nil {
			return i, err
		}
	}
	return len(b), nil
}

// isText reports whether a byte may stand in the value of a field or in a reason phrase.
func isText(c byte) bool {
	const del = 0x7f
	return c == '\t' || (c >= ' ' && c != del)
}

func (h *headCheck) next(c byte) error {
	switch {
	case c == '\n':
		return h.endLine()
	case h.afterCR:
		return h.malformed("a carriage return within the line")
	case c == '\r':
		h.afterCR = true
		return nil
	}
	switch h.part {
	case statusLine:
		return h.nextOfStatus(c)
	case lineStart, fieldName:
		return h.nextOfName(c)
	}
	return h.nextOfText(c)
}

func (h *headCheck) nextOfStatus(c byte) error {
	if h.length < statusBytes {
		h.status[h.length] = c
		h.length++
	}
	return h.nextOfText(c)
}

func (h *headCheck) nextOfName(c byte) error {
	switch {
	case h.part == lineStart && (c == ' ' || c == '\t'):
		return h.malformed("the line is folded")
	case c == ':' && h.length > 0:
		h.part = fieldValue
		return nil
	case !httpguts.IsTokenRune(rune(c)):
		return h.malformed("byte %#02x in the name of a field", c)
	}
	h.part = fieldName
	h.length++
	return nil
}

// nextOfText checks a byte of a field's value or of the status line.
func (h *headCheck) nextOfText(c byte) error {
	if !isText(c) {
		return h.malformed("control byte %#02x", c)
	}
	return nil
}

func (h *headCheck) endLine() error {
	switch h.part {
	case fieldName:
		return h.malformed("no colon")
	case lineStart:
		h.endHead()
		return nil
	}
	h.startLine(lineStart)
	return nil
}

// endHead ends a head. Another one follows that of an informational response, unless the connection
// has switched to another protocol.
func (h *headCheck) endHead() {
	code := h.status[len("HTTP/1.1 "):]
	if bytes.HasPrefix(code, []byte("1")) && !bytes.HasPrefix(code, []byte("101")) {
		h.startLine(statusLine)
		return
	}
	h.part = noHead
}

func (h *headCheck) startLine(part headPart) {
	h.part, h.length, h.afterCR = part, 0, false
	h.line++
}

func (h *headCheck) malformed(format string, args ...any) error {
	return errors.Wrapf(ErrMalformedHead, "line %d: %s", h.line, fmt.Sprintf(format, args...))
}
