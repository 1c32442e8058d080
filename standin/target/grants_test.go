package target

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/ownership"
	"github.com/basiltally/basiltally/target"
)

const (
	lease = time.Second
	group = ownership.GroupID("g")
)

func tok(term, seq uint64) ownership.Token { return ownership.Token{Term: term, Seq: seq} }

func grant(slot ownership.Slot, token ownership.Token) []target.SlotGrant {
	return []target.SlotGrant{{Slot: slot, Token: token}}
}

// full is a renewal that grants slot 0 and replaces everything else.
func full(token ownership.Token, echo target.ClockReading) target.RenewRequest {
	return target.RenewRequest{
		Group: group, AssignerToken: token, Echo: echo, Lease: lease,
		Version: token, Full: true, Grants: grant(0, token),
	}
}

func TestLeaseCountsFromEcho(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Options{Incarnation: 7})
		owns := func(token ownership.Token) bool { return s.current().grants.owns(group, 0, token) }
		echo := s.Renew(target.RenewRequest{Group: group, AssignerToken: tok(1, 1)}).Clock
		time.Sleep(900 * time.Millisecond) // the grant is delayed
		reply := s.Renew(full(tok(1, 1), echo))
		is.Equal(reply.LeaseNanos, int64(100*time.Millisecond))
		is.Equal(reply.HeldVersion, tok(1, 1))
		is.True(owns(tok(1, 1)))
		is.True(!owns(tok(1, 0)))
		is.True(!owns(tok(1, 2)))
		time.Sleep(100 * time.Millisecond)
		is.True(!owns(tok(1, 1))) // the lease lapsed
	})
}

func TestBadEchoGrantsNothing(t *testing.T) {
	is := is.New(t)
	s := New(Options{Incarnation: 7})
	now := s.Renew(target.RenewRequest{Group: group, AssignerToken: tok(1, 1)}).Clock
	echoes := map[string]target.ClockReading{
		"zero":              {},
		"other incarnation": {Incarnation: 6, Nanos: now.Nanos},
		"future":            {Incarnation: 7, Nanos: now.Nanos + int64(time.Hour)},
	}
	for name, echo := range echoes {
		reply := s.Renew(full(tok(1, 1), echo))
		if reply.LeaseNanos != 0 || !reply.HeldVersion.IsZero() {
			t.Errorf("%s: %+v", name, reply)
		}
	}
	is.True(!s.current().grants.owns(group, 0, tok(1, 1)))
}

func TestRenewalsOfOlderHoldersAndVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Options{Incarnation: 7})
		echo := s.Renew(target.RenewRequest{Group: group, AssignerToken: tok(2, 1)}).Clock
		reply := s.Renew(full(tok(1, 9), echo))
		is.True(reply.Refused)
		is.Equal(reply.HighestToken, tok(2, 1))

		s.Renew(full(tok(2, 1), echo))
		change := target.RenewRequest{
			Group: group, AssignerToken: tok(2, 2), Echo: echo, Lease: lease, BaseVersion: tok(2, 1),
			Version: tok(2, 2), Revokes: []ownership.Slot{0}, Grants: grant(1, tok(2, 2)),
		}
		is.Equal(s.Renew(change).HeldVersion, tok(2, 2))
		is.True(!s.current().grants.owns(group, 0, tok(2, 1)))
		is.True(s.current().grants.owns(group, 1, tok(2, 2)))
		is.True(s.Renew(change).NeedFull) // a repetition has the wrong base
		late := full(tok(2, 2), echo)
		late.Version = tok(2, 1)
		is.Equal(s.Renew(late).HeldVersion, tok(2, 2)) // a delayed full list changes nothing
	})
}

func TestNewHolderReplacesTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Options{Incarnation: 7})
		first := s.Renew(target.RenewRequest{Group: group, AssignerToken: tok(1, 1)}).Clock
		time.Sleep(500 * time.Millisecond)
		later := s.Renew(target.RenewRequest{Group: group, AssignerToken: tok(1, 1)}).Clock
		s.Renew(full(tok(1, 1), later))
		reply := s.Renew(full(tok(2, 1), first)) // counts from an earlier reading
		is.Equal(reply.LeaseNanos, int64(500*time.Millisecond))
	})
}

func TestClockStopsWithTheFreeze(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Options{Incarnation: 7})
		before := s.current().clock.nanos()
		is.NoErr(s.Act(FreezeClock))
		time.Sleep(time.Hour)
		is.NoErr(s.Act(Unfreeze))
		time.Sleep(time.Second)
		is.Equal(s.current().clock.nanos()-before, int64(time.Second))
	})
}
