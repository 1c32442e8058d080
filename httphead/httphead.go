// Package httphead checks the heads of answers, the status line and the header lines, as they arrive. The parser of fasthttp repairs or
// passes over parts that RFC 9110 and RFC 9112 call invalid, so that a broken answer would be taken for a valid one.
// Callers' requests are checked in package ingress, by the same rules for names and values.
package httphead

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// ErrInvalid reports that the bytes received are not a valid head of an answer.
var ErrInvalid = errors.New("invalid head of an answer")

// minStatus and maxStatus bound the valid status codes.
const minStatus, maxStatus = 100, 599

// ReadAnswer reads the head of the next answer, which may be an informational one, into h. Its error wraps ErrInvalid if the head is
// invalid and bufio.ErrBufferFull if the buffer of r does not hold it, is io.ErrUnexpectedEOF if the head is broken off, and
// otherwise that of r or of the parser. No further answer can be read after an error.
func ReadAnswer(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	var check answerCheck
	for checked := 0; !check.ended; {
		// The bytes stay in the buffer for the parser.
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return err
		}
		n, err := check.lines(buffered[checked:])
		if err != nil {
			return err
		}
		checked += n
		if !check.ended {
			if err := more(r); err != nil {
				return err
			}
		}
	}
	return h.Read(r)
}

// more waits until further bytes are buffered.
func more(r *bufio.Reader) error {
	buffered := r.Buffered()
	_, err := r.Peek(buffered + 1)
	switch {
	case err == bufio.ErrBufferFull:
		return errors.WithMessage(err, "head of an answer")
	case err == io.EOF && buffered > 0:
		return io.ErrUnexpectedEOF
	}
	return err
}

// answerCheck checks the head of one answer.
type answerCheck struct {
	// status is the status code, or zero before the status line.
	status int
	// mayBeChunked is set if the version of the answer has chunks.
	mayBeChunked bool
	// field is set after a header line, which the next line may continue.
	field bool
	// ended is set after the empty line that ends the head.
	ended bool
}

// lines checks the complete lines at the beginning of b, up to the end of the head, and returns their length in bytes. If a line is
// invalid, that is the length of the lines before it, and the error wraps ErrInvalid.
func (c *answerCheck) lines(b []byte) (checked int, err error) {
	for !c.ended {
		end := bytes.IndexByte(b[checked:], '\n')
		if end < 0 {
			break
		}
		if err := c.line(bytes.TrimSuffix(b[checked:checked+end], []byte("\r"))); err != nil {
			return checked, err
		}
		checked += end + 1
	}
	return checked, nil
}

// line checks a line, which is given without its end.
func (c *answerCheck) line(line []byte) error {
	switch {
	case c.status == 0 && len(line) == 0:
		// The parser passes over empty lines before the status line.
		return nil
	case c.status == 0:
		return c.statusLine(line)
	case len(line) == 0:
		c.ended = true
		return nil
	case line[0] == ' ' || line[0] == '\t':
		return c.continuation(line)
	}
	return c.fieldLine(line)
}

func (c *answerCheck) fieldLine(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if len(name) == len(line) || !ValidName(name) || !ValidValue(value) {
		return invalid("header line", line)
	}
	// The parser would pass over the header, and take the chunks with their sizes for the body (RFC 9112, section 6.1).
	if !c.mayBeChunked && bytes.EqualFold(name, []byte(fasthttp.HeaderTransferEncoding)) {
		return invalid("header line in an answer that is not of HTTP/1.1:", line)
	}
	c.field = true
	return nil
}

// continuation checks a line that continues the value of the line before it. The parser joins the two with a space, as RFC 9112, section 5.2,
// allows.
func (c *answerCheck) continuation(line []byte) error {
	if !c.field || !ValidValue(line) {
		return invalid("header line", line)
	}
	return nil
}

// statusLine checks the status line. RFC 9110, section 15, makes codes outside of 100 to 599 invalid. No request asks for another
// protocol, so that 101 cannot answer one (section 7.8). How an answer of another major version is written is not known.
func (c *answerCheck) statusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	minor, isMajor1 := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !isMajor1 || len(minor) != 1 || minor[0] < '0' || minor[0] > '9' {
		return invalid("version", version)
	}
	c.mayBeChunked = minor[0] == '1'
	code, reason, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if !ValidValue(reason) {
		return invalid("reason phrase", reason)
	}
	status := 0
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return invalid("status code", code)
		}
		status = 10*status + int(digit-'0')
	}
	if len(code) != 3 || status < minStatus || status > maxStatus || status == fasthttp.StatusSwitchingProtocols {
		return invalid("status code", code)
	}
	c.status = status
	return nil
}

// informational reports whether another answer follows the one that was checked.
func (c *answerCheck) informational() bool { return c.status < fasthttp.StatusOK }

func invalid(what string, text []byte) error {
	return errors.WithMessagef(ErrInvalid, "%s %.40q", what, text)
}
