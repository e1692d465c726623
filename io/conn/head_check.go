package conn

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// These limit the heads of a response, those of informational responses and the final one together.
// Many responses may be read at a time, and a head is held until it is complete. A short line takes up
// far more memory than its bytes, so that lines are limited too.
const (
	maxResponseHeadBytes = 64 << 10
	maxResponseHeadLines = 1000
)

// ErrMalformedHead means that the head of a response breaks the syntax of HTTP/1.1 (RFC 9112).
var ErrMalformedHead = errors.New("malformed response head")

// ErrHeadTooLarge means that the heads of a response exceed the limit on their bytes or lines.
var ErrHeadTooLarge = errors.New("response head exceeds the size limit")

// IsBroken reports whether err means that a server sent a broken response. It can be reached then, and
// runs.
func IsBroken(err error) bool {
	return errors.IsAny(err, ErrMalformedHead, ErrHeadTooLarge, errMalformedTrailer)
}

// headCheck checks the heads of a response byte by byte, as they arrive: those of informational
// responses and that of the final one. net/http accepts names with blanks, and joins folded lines
// (RFC 9112, 5.1 and 5.2), so that it may see other fields than the sender of the response does.
type headCheck struct {
	part headPart
	// size is the number of bytes so far.
	size int
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

const (
	// versionBytes is the length of a version, as "HTTP/1.1".
	versionBytes = 8
	// statusBytes is the length of a status line up to the reason phrase, as "HTTP/1.1 200 ".
	statusBytes = 13
)

// newHeadCheck returns a headCheck that expects a response.
func newHeadCheck() headCheck {
	return headCheck{part: statusLine, line: 1}
}

// isComplete reports whether the final head has ended.
func (h *headCheck) isComplete() bool {
	return h.part == noHead
}

// check checks the next bytes of a connection. It stops after the final head. If the head is
// malformed or too large, it returns the number of bytes before the first wrong one, so that a reader
// does not see the end of the line.
func (h *headCheck) check(b []byte) (int, error) {
	for i := 0; i < len(b) && !h.isComplete(); i++ {
		if h.size == maxResponseHeadBytes || h.line > maxResponseHeadLines {
			return i, ErrHeadTooLarge
		}
		h.size++
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
	if err := h.nextOfText(c); err != nil {
		return err
	}
	if h.length == statusBytes {
		return nil
	}
	h.status[h.length] = c
	h.length++
	if h.length == statusBytes {
		return h.checkStatus()
	}
	return nil
}

// checkStatus checks the beginning of a status line (RFC 9112, 4), its version, and that the status is
// one that HTTP defines (RFC 9110, 15). A lower one would be taken for that of an informational
// response.
func (h *headCheck) checkStatus() error {
	version, code := h.status[:versionBytes], h.code()
	major, _, isVersion := http.ParseHTTPVersion(string(version))
	isNumber := isDigit(code[0]) && isDigit(code[1]) && isDigit(code[2])
	if !isVersion || !isNumber || h.status[versionBytes] != ' ' || h.status[statusBytes-1] != ' ' {
		return h.malformed("status line %q", h.status[:])
	}
	if major != 1 {
		return h.malformed("version %s", version)
	}
	if code[0] < '1' || code[0] > '5' {
		return h.malformed("status %s", code)
	}
	return nil
}

// code returns the digits of the status.
func (h *headCheck) code() []byte {
	return h.status[versionBytes+1 : statusBytes-1]
}

func isDigit(c byte) bool {
	return '0' <= c && c <= '9'
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
	case statusLine:
		// The blank behind the status may be missing if there is no reason phrase.
		for h.length < statusBytes {
			if err := h.nextOfStatus(' '); err != nil {
				return err
			}
		}
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
	if code := h.code(); code[0] == '1' && string(code) != "101" {
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
