package upstream

import "sync/atomic"

// memory counts the bytes that the bodies take which are being received. It is safe for
// concurrent use.
type memory struct {
	max  int64
	used atomic.Int64
}

// reserve adds n bytes. It returns false, and adds nothing, if that would exceed the bound.
func (m *memory) reserve(n int) bool {
	if m.used.Add(int64(n)) > m.max {
		m.used.Add(int64(-n))
		return false
	}
	return true
}

func (m *memory) release(n int) { m.used.Add(int64(-n)) }
