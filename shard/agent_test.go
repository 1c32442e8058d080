package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/boottime"
)

// A VM that knows the assigner's last confirmation waits for the end of the role lease
// from that confirmation. A VM that knows only an older one must wait a whole role lease
// from when it first read the role.
func TestSilentAssignerActsForOneLeaseAfterItsLastConfirmation(t *testing.T) {
	is := is.New(t)
	a := NewAgent(AgentOptions{RoleLease: 3 * time.Second})
	now := boottime.Now()
	a.lastConfirmation = roleConfirmation{term: 4, beat: 9, confirmedAt: now - 2*time.Second}
	s := assignerSearch{agent: a, seenAt: now}
	is.Equal(s.actsUntil(role{Term: 4, Beat: 9}), now+time.Second)
	is.Equal(s.actsUntil(role{Term: 4, Beat: 10}), now+3*time.Second)
	is.Equal(s.actsUntil(role{Term: 5, Beat: 9}), now+3*time.Second)
}
