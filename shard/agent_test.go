package shard

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/boottime"
)

// A VM that has heard the assigner's last confirmation need not wait a whole lease from
// when it first reads the role; one that has heard an older one must.
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
