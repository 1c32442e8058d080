package eligibility_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/eligibility"
	"github.com/basiltally/basiltally/fleet"
)

// life is one incarnation of a target, as it is.
type life struct {
	born int64
	// leftAt is when it has said in the store that it leaves; zero if it has not.
	leftAt time.Time
	// knownAt is when the VM learned it from the store. statedAt is when the VM passed on an answer that
	// states it.
	knownAt, statedAt time.Time
}

// Entries come late, twice and in any order, lists are older than changes, the store is away, targets state that they leave, ask for
// pauses and start again. No request may be sent after the drain time from what the VM knows, or in a pause.
func TestRandomHistoriesKeepTheDrainTime(t *testing.T) {
	const drain = 2 * time.Second
	histories := 2000
	if testing.Short() {
		histories = 300
	}
	sent := 0
	for seed := range uint64(histories) {
		random := rand.New(rand.NewPCG(seed, 7))
		now, changedAfter := time.Unix(1000, 0), time.Unix(1000, 0)
		clock := func() time.Time { return now }
		d := fleet.NewDirectory(fleet.DirectoryOptions{Now: clock, ChangedAfter: func() time.Time { return changedAfter }})
		tracker := eligibility.New(eligibility.Options{Directory: d, VM: "vm", DrainTime: drain, Now: clock})
		lives := []*life{{born: 1}}
		var entries []*fleet.Target // All that was ever in the store.
		var pausedUntil time.Time
		write := func(state fleet.State) {
			entries = append(entries, &fleet.Target{ID: "t", Service: "s", Born: lives[len(lives)-1].born, State: state})
		}
		write(fleet.Ready)
		complete := now // Up to then the VM knows all changes.
		for range 200 {
			now = now.Add(time.Duration(random.IntN(150)) * time.Millisecond)
			l := lives[len(lives)-1]
			switch random.IntN(12) {
			case 0:
				if l.leftAt.IsZero() && random.IntN(3) == 0 {
					l.leftAt = now
					write(fleet.Draining)
				}
			case 1:
				if random.IntN(4) == 0 {
					lives = append(lives, &life{born: l.born + 1})
					pausedUntil = time.Time{}
					write(fleet.Ready)
				}
			case 2, 3: // The VM reads the newest entry.
				changedAfter = complete
				newest := entries[len(entries)-1]
				if random.IntN(2) == 0 {
					d.Put(newest)
				} else {
					d.Replace([]*fleet.Target{newest})
				}
				complete = now
				for _, known := range lives {
					if !known.leftAt.IsZero() && known.knownAt.IsZero() && known.born == newest.Born {
						known.knownAt = now
					}
				}
			case 4: // An older change comes once more.
				changedAfter = complete
				d.Put(entries[random.IntN(len(entries))])
			case 5:
				d.StoreLost()
			case 6:
				d.StoreRestored()
			case 7:
				d.Expire()
			case 8: // An answer of the present life.
				if !l.leftAt.IsZero() && l.statedAt.IsZero() {
					l.statedAt = now
					d.RecordLeaving(fleet.Incarnation{ID: "t", Born: l.born})
				}
			case 9:
				if random.IntN(3) == 0 {
					pause := time.Duration(100+random.IntN(2000)) * time.Millisecond
					tracker.Observe(eligibility.Statement{Incarnation: fleet.Incarnation{ID: "t", Born: l.born}, Pause: pause}, "r")
					if until := now.Add(pause); until.After(pausedUntil) {
						pausedUntil = until
					}
				}
			}
			for _, l := range lives {
				if !tracker.Take(fleet.Incarnation{ID: "t", Born: l.born}).OK() {
					continue
				}
				sent++
				if !l.knownAt.IsZero() && now.Sub(l.leftAt) > drain {
					t.Fatalf("seed %d: sent %v after the target left, known for %v", seed, now.Sub(l.leftAt), now.Sub(l.knownAt))
				}
				if !l.statedAt.IsZero() && now.Sub(l.statedAt) > drain {
					t.Fatalf("seed %d: sent %v after the target stated that it leaves", seed, now.Sub(l.statedAt))
				}
				if l == lives[len(lives)-1] && now.Before(pausedUntil) {
					t.Fatalf("seed %d: sent in a pause", seed)
				}
			}
		}
	}
	is.New(t).True(sent > histories) // The histories are not empty.
}
