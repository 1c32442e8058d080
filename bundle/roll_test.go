package bundle

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/result"
)

func rollAs(operator string, s *fakeStore, b *Signed) (err error) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(crash); !ok {
				panic(r)
			}
			err = errors.New("operator's process died")
		}
	}()
	return (&Roller{Store: s, Policy: testPolicy(), Operator: operator}).RollForward(context.Background(), b)
}

func codeOf(err error) result.Code {
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return result.OK
}

// checkHistory fails if the accepted versions ever fell or an accepted version cannot be read.
func checkHistory(t *testing.T, s *fakeStore) {
	t.Helper()
	s.heal()
	for i, c := range s.accepted {
		if i > 0 && c.Version <= s.accepted[i-1].Version {
			t.Errorf("version %d accepted after %d", c.Version, s.accepted[i-1].Version)
		}
		stored, _, err := ReadVersion(t.Context(), s, c.Version)
		if err != nil || stored.Digest != c.Digest {
			t.Errorf("accepted version %d is lost: %v", c.Version, err)
			continue
		}
		if _, err := Verify(stored, testPolicy()); err != nil {
			t.Errorf("accepted version %d: %v", c.Version, err)
		}
	}
}

// rollCalls covers the three store calls of a roll-forward and those of its retries.
const rollCalls = 8

// TestRollUnderEachFaultAtEachStep strikes at each pair of store calls with each
// pair of faults and holds what the operator is told against the store.
func TestRollUnderEachFaultAtEachStep(t *testing.T) {
	faults := []fault{outage, lostBefore, lostAfter, crashBefore, crashAfter, outageForGood}
	first := signed(t, 1, "first", Digest{})
	second := signed(t, 2, "second", first.Digest)
	for _, a := range faults {
		for _, b := range faults {
			for step := range rollCalls {
				for gap := 1; gap <= 2; gap++ {
					name := fmt.Sprintf("faults %d,%d at %d,%d", a, b, step, step+gap)
					synctest.Test(t, func(t *testing.T) {
						s := newFakeStore()
						if err := rollAs("anna", s, first); err != nil {
							t.Fatal(name, err)
						}
						s.calls, s.strike[step], s.strike[step+gap] = 0, a, b
						err := rollAs("anna", s, second)
						checkToldAgainstStore(t, name, s, second, err)
						s.heal()
						if err := rollAs("anna", s, second); err != nil {
							t.Errorf("%s: repeated: %v", name, err)
						}
						checkHistory(t, s)
						if n := len(s.accepted); n != 2 {
							t.Errorf("%s: %d acceptances, want 2", name, n)
						}
					})
				}
			}
		}
	}
}

func checkToldAgainstStore(t *testing.T, name string, s *fakeStore, b *Signed, err error) {
	t.Helper()
	isCurrent := s.accepted[len(s.accepted)-1].Version == b.Version
	switch code := codeOf(err); {
	case err == nil && !isCurrent:
		t.Errorf("%s: told accepted, but it is not", name)
	case code != result.OK && result.Describe(code).Outcome == result.NotRun && isCurrent:
		t.Errorf("%s: told not run, but it is accepted: %v", name, err)
	}
}

// TestRollRacingOperators lets another operator roll a rival bundle whole before
// each step of the first.
func TestRollRacingOperators(t *testing.T) {
	first := signed(t, 1, "first", Digest{})
	for _, rivalVersion := range []uint64{2, 3} {
		for step := range rollCalls {
			t.Run(fmt.Sprintf("version %d before call %d", rivalVersion, step), func(t *testing.T) {
				is := is.New(t)
				s := newFakeStore()
				is.NoErr(rollAs("setup", s, first))
				ours := signed(t, 2, "ours", first.Digest)
				rival := signed(t, rivalVersion, "rival", first.Digest)
				s.calls = 0
				var rivalErr error
				raced := false
				s.before = func(call int) {
					if call == step && !raced {
						raced = true
						rivalErr = rollAs("ben", s, rival)
					}
				}
				err := rollAs("anna", s, ours)
				if !raced {
					return
				}
				is.True((err == nil) != (rivalErr == nil)) // one wins
				loser, winner := err, "ben"
				if err == nil {
					loser, winner = rivalErr, "anna"
				}
				is.Equal(codeOf(loser), result.VersionConflict)
				is.True(strings.Contains(loser.Error(), fmt.Sprintf("operator %q at 2", winner))) // by whom and when
				checkHistory(t, s)
			})
		}
	}
}

func TestRollAfterCrashBetweenTheWrites(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	first := signed(t, 1, "first", Digest{})
	s.strike[1] = crashAfter
	is.True(rollAs("anna", s, first) != nil)
	s.heal()
	is.Equal(len(s.accepted), 0)

	err := rollAs("ben", s, signed(t, 1, "other", Digest{}))
	is.Equal(codeOf(err), result.VersionConflict)
	is.True(strings.Contains(err.Error(), `operator "anna"`)) // told whose version is in the way
	is.NoErr(rollAs("ben", s, first))                         // anyone may finish it
	is.NoErr(rollAs("anna", s, first))                        // and it is idempotent
	is.Equal(len(s.accepted), 1)
}

// TestRollFindsItselfSuperseded loses the answer to the second write while
// another operator builds on the bundle.
func TestRollFindsItselfSuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		first := signed(t, 1, "first", Digest{})
		s.strike[2] = lostAfter
		s.before = func(call int) {
			if call == 3 {
				is.NoErr(rollAs("ben", s, signed(t, 2, "second", first.Digest)))
			}
		}
		is.NoErr(rollAs("anna", s, first))
		checkHistory(t, s)
	})
}

// TestRollRefusesOtherPredecessor keeps an operator who signed on top of an
// older version from dropping what was accepted since.
func TestRollRefusesOtherPredecessor(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	first := signed(t, 1, "first", Digest{})
	is.NoErr(rollAs("anna", s, first))
	is.NoErr(rollAs("anna", s, signed(t, 2, "second", first.Digest)))
	objects := len(s.objects)
	err := rollAs("ben", s, signed(t, 3, "third", first.Digest))
	is.Equal(codeOf(err), result.VersionConflict)
	is.True(strings.Contains(err.Error(), `operator "anna"`))
	is.Equal(len(s.objects), objects) // nothing written
}

func TestRollRefusesWhenProcessesAreAhead(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	r := Roller{Store: s, Policy: testPolicy(), Operator: "anna"}
	r.HighestInForce = func(context.Context) (uint64, error) { return 3, nil }
	is.Equal(codeOf(r.RollForward(t.Context(), signed(t, 1, "first", Digest{}))), result.VersionConflict)
	is.Equal(len(s.objects), 0) // nothing written
}

func TestHistory(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	first := signed(t, 1, "first", Digest{})
	is.NoErr(rollAs("anna", s, first))
	s.calls, s.strike[1] = 0, crashAfter // version 2 is written, but never accepted
	is.True(rollAs("anna", s, signed(t, 2, "left behind", first.Digest)) != nil)
	s.heal()
	is.NoErr(rollAs("ben", s, signed(t, 3, "third", first.Digest)))
	entries, err := History(t.Context(), s)
	is.NoErr(err)
	var accepted []bool
	for _, e := range entries {
		accepted = append(accepted, e.Accepted)
	}
	is.Equal(accepted, []bool{true, false, true})
	is.Equal(entries[2].Write.Operator, "ben")
}
