package ingress

import (
	"bytes"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// checkHeader refuses headers that two parsers may read in two ways, by which a
// request could be hidden in another.
func checkHeader(h *fasthttp.RequestHeader) error {
	if !validRequestURI(h.RequestURI()) {
		return errors.New("the request target has spaces or control characters")
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
		if !ok || !validName(name) || !validValue(value) {
			return errors.Errorf("malformed header line %.40q", body)
		}
		switch {
		case bytes.EqualFold(name, []byte("content-length")):
			lengths++
		case bytes.EqualFold(name, []byte("transfer-encoding")):
			encodings++
			if !bytes.EqualFold(bytes.TrimSpace(value), []byte("chunked")) {
				return errors.Errorf("transfer encoding %.40q", value)
			}
		}
	}
	if lengths+encodings > 1 {
		return errors.New("the length of the body is stated more than once")
	}
	return nil
}

func validRequestURI(uri []byte) bool {
	for _, b := range uri {
		if b <= ' ' || b == 0x7f {
			return false
		}
	}
	return len(uri) > 0 && uri[0] == '/'
}

// validName reports whether the name of a header is a token.
func validName(name []byte) bool {
	for _, b := range name {
		if b <= ' ' || b >= 0x7f || bytes.IndexByte([]byte(`"(),/:;<=>?@[\]{}`), b) >= 0 {
			return false
		}
	}
	return len(name) > 0
}

func validValue(value []byte) bool {
	for _, b := range value {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}
