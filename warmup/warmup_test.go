package warmup_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/fleet"
	"github.com/basiltally/basiltally/warmup"
)

// single is one VM that is the only one, with a directory that it reads entries into.
type single struct {
	now       time.Time
	service   warmup.Service
	known     bool
	tracker   *warmup.Tracker
	directory *fleet.Directory
	log       bytes.Buffer
}

func newSingle() *single {
	s := &single{now: time.Unix(1000, 0), known: true, service: warmup.Service{WarmUp: warmUp, PerSecond: 2}}
	clock := func() time.Time { return s.now }
	s.directory = fleet.NewDirectory(fleet.DirectoryOptions{Now: clock, OnEntry: func(t *fleet.Target, first bool) { s.tracker.ObserveEntry(t, first) }})
	s.tracker = warmup.New(warmup.Options{
		VM: "vm", Bounds: bounds, Directory: s.directory, Now: clock, Logger: slog.New(slog.NewTextHandler(&s.log, nil)),
		Service: func(string) (warmup.Service, bool) { return s.service, s.known },
	})
	s.tracker.SetVMs([]string{"vm"})
	s.wait(settling)
	return s
}

func (s *single) wait(d time.Duration) {
	s.now = s.now.Add(d)
	s.tracker.Refresh()
}

func (s *single) entry(born int64, left time.Duration) *fleet.Target {
	t := &fleet.Target{ID: "t", Service: "s", DataCentre: "dc", Born: born, WarmUpLeft: left}
	s.directory.Put(t)
	return t
}

// coldFor returns for how long the target counts as cold from now.
func (s *single) coldFor() time.Duration {
	until, _, cold := s.tracker.Cold("t")
	if !cold {
		return 0
	}
	return until.Sub(s.now)
}

// A target of the start of the whole system must not be held for cold: its entry may be read after the first list.
func TestTargetsOfTheFirstStartAreNotCold(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	s.entry(s.now.UnixMilli(), 0)
	is.Equal(s.coldFor(), time.Duration(0))
	is.Equal(s.tracker.Take("t"), time.Duration(0))
	s.wait(time.Second)
	s.entry(s.now.UnixMilli()-500, 0) // Born after the first request, and read late.
	is.Equal(s.coldFor(), warmUp)
}

// The end of a warm-up counts from when the entry was read, and an entry that states a shorter rest does not end it earlier.
func TestWarmUpOfEntryIsNotMissed(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	s.entry(1, 5*time.Second)
	is.Equal(s.coldFor(), 5*time.Second)
	s.wait(time.Second)
	s.entry(1, 2*time.Second)
	is.Equal(s.coldFor(), 4*time.Second)
	s.wait(10 * time.Second)
	is.Equal(s.coldFor(), time.Duration(0))
	is.True(!s.tracker.Any())
	// The same incarnation states another warm-up, twice with the same entry.
	s.entry(1, 3*time.Second)
	s.wait(time.Second)
	s.entry(1, 3*time.Second)
	is.Equal(s.coldFor(), 3*time.Second)
}

// An entry that returns after an outage of the store is not that of a new start.
func TestReturnedEntryIsNotANewStart(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	is.Equal(s.tracker.Take("other"), time.Duration(0))
	s.wait(time.Second)
	born := s.now.UnixMilli()
	s.entry(born, 0)
	s.wait(time.Minute)
	s.directory.Remove("t")
	s.wait(time.Second)
	s.entry(born, 0)
	is.Equal(s.coldFor(), time.Duration(0))
}

// The targets of a data centre that returns are cold, also one whose entry is read later. Others are not.
func TestReturnedDataCentreIsCold(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	s.tracker.MarkCold("dc", s.now)
	s.tracker.MarkCold("elsewhere", s.now)
	is.True(!s.tracker.Any())
	s.wait(time.Second)
	s.entry(1, 0)
	is.Equal(s.coldFor(), warmUp-time.Second)
	s.wait(warmUp)
	s.entry(1, 0)
	is.Equal(s.coldFor(), time.Duration(0))
}

// The process behind an address may restart under the same ID before its entry changes.
func TestRestartUnderTheSameIDIsCold(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	e := s.entry(1, 0)
	is.Equal(s.tracker.Take("t"), time.Duration(0))
	is.Equal(s.coldFor(), time.Duration(0))
	s.tracker.ObserveRestart(e, warmup.CauseRefused)
	is.Equal(s.coldFor(), warmUp)
	sent := 0
	for i := range 110 {
		if s.tracker.Take("t") == 0 {
			sent++
		}
		if i == 50 {
			s.entry(s.now.UnixMilli()+1, warmUp)
		}
		s.wait(10 * time.Millisecond)
	}
	is.Equal(sent, 2) // At 2 a second.
	s.wait(10 * warmUp)
	is.Equal(s.tracker.Wait("t"), time.Duration(0))
	is.True(!s.tracker.Any())
}

// A configuration may be read after the entries, and may state another rate or none later.
func TestTargetsSeenBeforeTheConfigurationAreCold(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	s.known = false
	s.entry(1, 5*time.Second)
	is.Equal(s.coldFor(), time.Duration(0))
	s.known = true
	s.tracker.Refresh()
	is.Equal(s.coldFor(), 5*time.Second)
	s.service.PerSecond = 0
	s.tracker.Refresh()
	is.Equal(s.coldFor(), time.Duration(0))
	is.Equal(s.tracker.Take("t"), time.Duration(0))
}

// Without bounds there is no Tracker, and a missing Tracker allows all.
func TestNothingIsBoundedWithoutSettings(t *testing.T) {
	is := is.New(t)
	tracker := warmup.New(warmup.Options{})
	is.True(tracker == nil)
	is.True(!tracker.Any())
	tracker.MarkCold("dc", time.Now())
	tracker.ObserveEntry(&fleet.Target{ID: "t", WarmUpLeft: time.Minute}, true)
	tracker.ObserveRestart(&fleet.Target{ID: "t"}, warmup.CauseRefused)
	tracker.SetVMs([]string{"vm"})
	tracker.Refresh()
	is.Equal(tracker.Take("t"), time.Duration(0))
	is.Equal(tracker.Wait("t"), time.Duration(0))
}

// A target that refuses connections again and again gives two lines: that it is cold, and that it is warm.
func TestOneLogLineForEachChange(t *testing.T) {
	is := is.New(t)
	s := newSingle()
	e := s.entry(1, 0)
	for range 100 {
		s.tracker.ObserveRestart(e, warmup.CauseRefused)
		s.wait(10 * time.Millisecond)
	}
	s.wait(warmUp)
	is.Equal(strings.Count(s.log.String(), "target is cold"), 1)
	is.Equal(strings.Count(s.log.String(), "target is warm"), 1)
}
