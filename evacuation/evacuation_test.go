package evacuation_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/evacuation"
)

func at(seconds int) time.Time { return time.Unix(int64(seconds), 0) }

// Guards against an entry written again that restarts the time an evacuation may take.
func TestRepeatedEntryDoesNotRestartAnEvacuation(t *testing.T) {
	is := is.New(t)
	s := evacuation.New()
	is.True(s.Begin("a", at(10)))
	is.True(!s.Begin("a", at(20)))
	since, ok := s.Since("a")
	is.True(ok)
	is.Equal(since, at(10))
	since, ok = s.End("a", at(30))
	is.True(ok)
	is.Equal(since, at(10))
	_, ok = s.Since("a")
	is.True(!ok)
	is.Equal(s.EndedAt("a"), at(30))
	_, ok = s.End("a", at(31))
	is.True(!ok)
	is.Equal(s.EndedAt("a"), at(30)) // A deletion that is seen twice is no second end.
	is.True(s.Begin("a", at(40)))
	since, _ = s.Since("a")
	is.Equal(since, at(40))
}

// The end of one evacuation must not end another that overlaps it.
func TestEndOfOneEvacuationDoesNotEndAnother(t *testing.T) {
	is := is.New(t)
	s := evacuation.New()
	is.True(!s.Listed())
	begun, ended := s.Replace([]string{"b", "a"}, at(5), at(6))
	is.Equal(begun, []string{"a", "b"})
	is.Equal(len(ended), 0)
	is.True(s.Listed())
	begun, ended = s.Replace([]string{"c", "b"}, at(7), at(8))
	is.Equal(begun, []string{"c"})
	is.Equal(ended, []string{"a"})
	is.Equal(s.EndedAt("a"), at(8))
	since, ok := s.Since("b")
	is.True(ok)
	is.Equal(since, at(5)) // A list read again does not restart the evacuations that it has.
	is.Equal(s.Count(), 2)
	since, ok = s.Since("")
	is.True(ok)
	is.Equal(since, at(5))
	s.End("b", at(9))
	since, _ = s.Since("")
	is.Equal(since, at(7))
	s.Replace(nil, at(10), at(10))
	is.True(!s.Any())
	_, ok = s.Since("")
	is.True(!ok)
}

// An evacuation that may have begun at any time must count as the earliest.
func TestEvacuationThatBeganAtAnUnknownInstant(t *testing.T) {
	is := is.New(t)
	s := evacuation.New()
	s.Replace([]string{"a"}, time.Time{}, at(5))
	s.Begin("b", at(5))
	for _, dc := range []string{"a", ""} {
		since, ok := s.Since(dc)
		is.True(ok)
		is.True(since.IsZero())
	}
}

// A VM without the feature must decide as if nothing were being evacuated.
func TestNilSetEvacuatesNothing(t *testing.T) {
	is := is.New(t)
	var s *evacuation.Set
	is.True(s.Listed())
	is.True(!s.Any())
	_, ok := s.Since("a")
	is.True(!ok)
	is.True(s.EndedAt("a").IsZero())
	is.Equal(s.Version(), uint64(0))
}

// A VM that is sent all changes and one that only reads lists, as after outages, must end with the same data centres.
func TestListsAndChangesAgree(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(7, 7))
	names := []string{"a", "b", "c", "d"}
	entries := map[string]bool{}
	changes, lists := evacuation.New(), evacuation.New()
	for step := range 2000 {
		name := names[random.IntN(len(names))]
		if entries[name] = random.IntN(2) == 0; entries[name] {
			changes.Begin(name, at(step))
		} else {
			changes.End(name, at(step))
		}
		if random.IntN(5) > 0 {
			continue
		}
		var list []string
		for _, n := range names {
			if entries[n] {
				list = append(list, n)
			}
		}
		version := lists.Version()
		lists.Replace(list, at(step), at(step))
		is.True(lists.Version() > version)
		for _, n := range names {
			_, byChange := changes.Since(n)
			_, byList := lists.Since(n)
			is.Equal(byChange, entries[n])
			is.Equal(byList, entries[n])
		}
	}
}
