package ingress

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/httphead"
)

// checkHeader returns an error for a header that two parsers may interpret differently,
// because a request could then be smuggled inside another one.
func checkHeader(h *fasthttp.RequestHeader) error {
	if !validRequestURI(h.RequestURI()) {
		return errors.New("the request URI does not begin with / or has spaces or control characters")
	}
	lengths, encodings := 0, 0
	for line := range bytes.Lines(h.RawHeaders()) {
		body, ended := bytes.CutSuffix(line, []byte("\r\n"))
		if !ended {
			if len(bytes.TrimRight(line, "\r\n")) == 0 {
				continue
			}
			return errors.New("a header line does not end with CR LF")
		}
		if len(body) == 0 {
			continue
		}
		name, value, ok := bytes.Cut(body, []byte(":"))
		if !ok || !httphead.ValidName(name) || !httphead.ValidValue(value) {
			return errors.Errorf("malformed header line: %.40q", body)
		}
		switch {
		case bytes.EqualFold(name, []byte("content-length")):
			lengths++
		case bytes.EqualFold(name, []byte("transfer-encoding")):
			encodings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return errors.Errorf("unsupported transfer encoding: %.40q", value)
			}
		}
	}
	if lengths+encodings > 1 {
		return errors.New("the length of the body is stated more than once")
	}
	return nil
}

// validRequestURI reports whether the URI begins with / and has no spaces or control
// characters.
func validRequestURI(uri []byte) bool {
	for _, b := range uri {
		if b <= ' ' || b == 0x7f {
			return false
		}
	}
	return len(uri) > 0 && uri[0] == '/'
}
