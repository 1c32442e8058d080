package shard

import (
	"testing"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/quarantine"
	"github.com/basiltally/basiltally/store/memstore"
	"github.com/basiltally/basiltally/store/relayfeed"
)

// After a step back the store had an older list, or none, until the list changed again.
func TestRequestsThatCrashTargetsAreKeptAgainAfterAStepBack(t *testing.T) {
	is, ctx := is.New(t), t.Context()
	s := memstore.New(memstore.Options{Era: 1})
	vm := &suspectsVM{tracker: quarantine.New(quarantine.Options{MinCrashes: 3})}
	feed := relayfeed.New(relayfeed.Options{Direct: s})
	keeper := suspectsKeeper{agent: &Agent{opts: AgentOptions{Store: s, Feed: feed}}, tracker: vm.tracker}
	step := func() {
		t.Helper()
		_, _, err := feed.List(ctx, "targets/")
		is.NoErr(err)
		is.NoErr(keeper.step(ctx))
	}
	stored := func() int {
		obj, err := s.Get(ctx, SuspectsKey)
		if err != nil {
			return 0
		}
		record, err := decodeSuspects(obj.Value)
		is.NoErr(err)
		return len(record.GetSuspects())
	}
	quarantined := func(id byte) {
		for _, target := range []string{"x", "y", "z"} {
			vm.crash(target, quarantine.Fingerprint{id})
		}
		step()
	}
	step()
	without := s.Snapshot()
	quarantined(1)
	withOne := s.Snapshot()
	quarantined(2)
	is.Equal(stored(), 2)
	for _, older := range []memstore.Snapshot{without, withOne} {
		s.StepBack(older)
		is.True(stored() < 2)
		step()
		is.Equal(stored(), 2)
		written := s.Revision()
		step()
		is.Equal(s.Revision(), written) // Written once.
	}
}
