package evacuation_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/evacuation"
)

// A VM that was suspended must notice it with its first request, before any of its timers has fired.
func TestStallIsNoticedAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Minute
	g := evacuation.NewStallGuard(time.Second, func() time.Duration { return now })
	now += time.Second
	is.True(g.Current())
	_, doubted := g.Beat()
	is.True(!doubted)
	now += time.Second + 1
	is.True(!g.Current())
	first, doubted := g.Beat()
	is.True(doubted)
	is.Equal(first, now)
	is.True(!g.Current()) // The beat alone confirms nothing.
	now += 2 * time.Second
	second, _ := g.Beat()
	g.Confirm(first) // It does not cover the second pause.
	is.True(!g.Current())
	g.Confirm(second)
	is.True(g.Current())
	var none *evacuation.StallGuard
	is.True(none.Current())
}
