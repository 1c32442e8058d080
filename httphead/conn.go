package httphead

import "net"

// Conn is a connection to a server whose answers a client of fasthttp reads, which does not let ReadAnswer take the place of its own
// reader. It checks each head while its bytes are read. The client must read the final answer to a request before it writes the next one.
type Conn struct {
	net.Conn
	check answerCheck
	// awaiting is set from the first byte of a request to the end of the head of its final answer.
	awaiting bool
	// incomplete holds the beginning of the line that is being received.
	incomplete []byte
	// failed is the error of an invalid head.
	failed error
}

// NewConn returns a Conn that checks the answers received on nc.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.awaiting {
		c.awaiting, c.check, c.incomplete = true, answerCheck{}, nil
	}
	return c.Conn.Write(p)
}

// Read implements net.Conn. Its error wraps ErrInvalid if a head is invalid. The caller then gets no complete head.
func (c *Conn) Read(p []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	n, err := c.Conn.Read(p)
	if n == 0 || !c.awaiting {
		return n, err
	}
	received := append(c.incomplete, p[:n]...)
	for c.awaiting {
		checked, invalid := c.check.lines(received)
		received = received[checked:]
		if invalid != nil {
			c.failed = invalid
			// Only what was received before the invalid line is passed on. The line may have begun in an earlier call.
			valid := max(n-len(received), 0)
			if c.check.status == 0 && len(received) <= n {
				// One byte more, as fasthttp takes an error before the first byte of an answer for the end of the connection and
				// drops the cause.
				valid++
			}
			return valid, invalid
		}
		if !c.check.ended {
			break
		}
		c.awaiting = c.check.informational()
		c.check = answerCheck{}
	}
	if !c.awaiting {
		received = nil
	}
	c.incomplete = received
	return n, err
}
