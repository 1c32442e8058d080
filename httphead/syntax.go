package httphead

// tokenBytes has the bytes of which the name of a header consists (RFC 9110, section 5.6.2).
var tokenBytes = func() (table [256]bool) {
	for _, b := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		table[b] = true
	}
	return table
}()

// ValidName reports whether the name of a header is a token as HTTP defines it.
func ValidName(name []byte) bool {
	for _, b := range name {
		if !tokenBytes[b] {
			return false
		}
	}
	return len(name) > 0
}

// ValidValue reports whether the value of a header has no control characters other than tabs.
func ValidValue(value []byte) bool {
	for _, b := range value {
		if b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}
