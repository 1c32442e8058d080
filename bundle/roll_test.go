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

func rollForwardAs(operator string, s *fakeStore, b *Signed) (err error) {
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(crashPanic); !ok {
				panic(r)
			}
			err = errors.New("the operator's process crashed")
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

// checkHistory fails the test if a version was accepted after a higher or equal one,
// or if an accepted version cannot be read and verified.
func checkHistory(t *testing.T, s *fakeStore) {
	t.Helper()
	s.clearFaults()
	for i, c := range s.accepted {
		if i > 0 && c.Version <= s.accepted[i-1].Version {
			t.Errorf("version %d was accepted after version %d", c.Version, s.accepted[i-1].Version)
		}
		stored, _, err := ReadVersion(t.Context(), s, c.Version)
		if err != nil || stored.Digest != c.Digest {
			t.Errorf("accepted version %d cannot be read from the store: %v", c.Version, err)
			continue
		}
		if _, err := Verify(stored, testPolicy()); err != nil {
			t.Errorf("accepted version %d is not valid: %v", c.Version, err)
		}
	}
}

// rollForwardCalls is a number of store calls that covers the three calls of a
// roll-forward and those of its retries.
const rollForwardCalls = 8

// TestRollForwardReportsStoreStateUnderFaults injects each pair of faults into each
// pair of store calls at most two apart, and compares the result that the operator
// gets with the state of the store.
func TestRollForwardReportsStoreStateUnderFaults(t *testing.T) {
	faults := []fault{outage, lostBefore, lostAfter, crashBefore, crashAfter, permanentOutage}
	first := signed(t, 1, "first", Digest{})
	second := signed(t, 2, "second", first.Digest)
	for _, a := range faults {
		for _, b := range faults {
			for step := range rollForwardCalls {
				for gap := 1; gap <= 2; gap++ {
					name := fmt.Sprintf("faults %d,%d at %d,%d", a, b, step, step+gap)
					synctest.Test(t, func(t *testing.T) {
						s := newFakeStore()
						if err := rollForwardAs("anna", s, first); err != nil {
							t.Fatal(name, err)
						}
						s.calls, s.faults[step], s.faults[step+gap] = 0, a, b
						err := rollForwardAs("anna", s, second)
						checkReportedResult(t, name, s, second, err)
						s.clearFaults()
						if err := rollForwardAs("anna", s, second); err != nil {
							t.Errorf("%s: the repeated call failed: %v", name, err)
						}
						checkHistory(t, s)
						if n := len(s.accepted); n != 2 {
							t.Errorf("%s: %d versions were accepted, want 2", name, n)
						}
					})
				}
			}
		}
	}
}

func checkReportedResult(t *testing.T, name string, s *fakeStore, b *Signed, err error) {
	t.Helper()
	isCurrent := s.accepted[len(s.accepted)-1].Version == b.Version
	switch code := codeOf(err); {
	case err == nil && !isCurrent:
		t.Errorf("%s: reported as accepted, but the bundle is not accepted", name)
	case code != result.OK && result.Describe(code).Outcome == result.NotRun && isCurrent:
		t.Errorf("%s: reported as not run, but the bundle is accepted: %v", name, err)
	}
}

// TestRollForwardByRacingOperators runs the whole roll-forward of another operator's
// bundle before each store call of the first operator's roll-forward.
func TestRollForwardByRacingOperators(t *testing.T) {
	first := signed(t, 1, "first", Digest{})
	for _, rivalVersion := range []uint64{2, 3} {
		for step := range rollForwardCalls {
			t.Run(fmt.Sprintf("version %d before call %d", rivalVersion, step), func(t *testing.T) {
				is := is.New(t)
				s := newFakeStore()
				is.NoErr(rollForwardAs("setup", s, first))
				ours := signed(t, 2, "ours", first.Digest)
				rival := signed(t, rivalVersion, "rival", first.Digest)
				s.calls = 0
				var rivalErr error
				raced := false
				s.beforeCall = func(call int) {
					if call == step && !raced {
						raced = true
						rivalErr = rollForwardAs("ben", s, rival)
					}
				}
				err := rollForwardAs("anna", s, ours)
				if !raced {
					return
				}
				is.True((err == nil) != (rivalErr == nil)) // exactly one operator succeeds
				loser, winner := err, "ben"
				if err == nil {
					loser, winner = rivalErr, "anna"
				}
				is.Equal(codeOf(loser), result.VersionConflict)
				is.True(strings.Contains(loser.Error(), fmt.Sprintf("operator %q at 2", winner))) // the error names the winner and the time
				checkHistory(t, s)
			})
		}
	}
}

func TestRollForwardAfterCrashBetweenWrites(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	first := signed(t, 1, "first", Digest{})
	s.faults[1] = crashAfter
	is.True(rollForwardAs("anna", s, first) != nil)
	s.clearFaults()
	is.Equal(len(s.accepted), 0)

	err := rollForwardAs("ben", s, signed(t, 1, "other", Digest{}))
	is.Equal(codeOf(err), result.VersionConflict)
	is.True(strings.Contains(err.Error(), `operator "anna"`)) // the error names whose version is stored
	is.NoErr(rollForwardAs("ben", s, first))                  // another operator may complete the roll-forward
	is.NoErr(rollForwardAs("anna", s, first))                 // a repetition changes nothing
	is.Equal(len(s.accepted), 1)
}

// TestRollForwardSucceedsWhenAlreadySuperseded loses the answer to the second write,
// and another operator rolls a successor forward before the write is repeated.
func TestRollForwardSucceedsWhenAlreadySuperseded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		first := signed(t, 1, "first", Digest{})
		s.faults[2] = lostAfter
		s.beforeCall = func(call int) {
			if call == 3 {
				is.NoErr(rollForwardAs("ben", s, signed(t, 2, "second", first.Digest)))
			}
		}
		is.NoErr(rollForwardAs("anna", s, first))
		checkHistory(t, s)
	})
}

// TestRollForwardRefusesOutdatedPredecessor guards against an operator who signed a
// bundle to replace an older version and so removes the changes accepted since.
func TestRollForwardRefusesOutdatedPredecessor(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	first := signed(t, 1, "first", Digest{})
	is.NoErr(rollForwardAs("anna", s, first))
	is.NoErr(rollForwardAs("anna", s, signed(t, 2, "second", first.Digest)))
	objects := len(s.objects)
	err := rollForwardAs("ben", s, signed(t, 3, "third", first.Digest))
	is.Equal(codeOf(err), result.VersionConflict)
	is.True(strings.Contains(err.Error(), `operator "anna"`))
	is.Equal(len(s.objects), objects) // nothing written
}

func TestRollForwardRefusesWhenProcessesAreAhead(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	r := Roller{Store: s, Policy: testPolicy(), Operator: "anna"}
	r.HighestInForce = func(context.Context) (uint64, error) { return 3, nil }
	is.Equal(codeOf(r.RollForward(t.Context(), signed(t, 1, "first", Digest{}))), result.VersionConflict)
	is.Equal(len(s.objects), 0) // nothing written
}

func TestHistoryMarksAcceptedVersions(t *testing.T) {
	is := is.New(t)
	s := newFakeStore()
	first := signed(t, 1, "first", Digest{})
	is.NoErr(rollForwardAs("anna", s, first))
	s.calls, s.faults[1] = 0, crashAfter // version 2 is written, but not accepted
	is.True(rollForwardAs("anna", s, signed(t, 2, "left behind", first.Digest)) != nil)
	s.clearFaults()
	is.NoErr(rollForwardAs("ben", s, signed(t, 3, "third", first.Digest)))
	entries, err := History(t.Context(), s)
	is.NoErr(err)
	var accepted []bool
	for _, e := range entries {
		accepted = append(accepted, e.Accepted)
	}
	is.Equal(accepted, []bool{true, false, true})
	is.Equal(entries[2].Write.Operator, "ben")
}
