package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func testBudget() (*Budget, *time.Time) {
	now := time.Unix(1000, 0)
	b := New(Options{Ratio: 0.2, ExtraRetries: 40, Reserve: 0.001, Now: func() time.Time { return now }})
	b.SetVMs(4)
	return b, &now
}

func repeats(b *Budget) int {
	n := 0
	for b.Repeat("s") {
		n++
	}
	return n
}

func TestBoundIsShareOfRequestsAndOfExtra(t *testing.T) {
	is := is.New(t)
	b, now := testBudget()
	is.Equal(repeats(b), 9) // A fourth of the extra, less the reserve.
	for range 100 {
		b.Request("s")
	}
	is.Equal(repeats(b), 20)
	*now = now.Add(11 * time.Second)
	is.Equal(repeats(b), 9)
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	is := is.New(t)
	b, _ := testBudget()
	repeats(b)
	is.True(b.Repeat("other"))
}

func TestRepeatsCountForTheWholeWindow(t *testing.T) {
	is := is.New(t)
	b, now := testBudget()
	repeats(b)
	*now = now.Add(9 * time.Second)
	is.Equal(repeats(b), 0)
}
