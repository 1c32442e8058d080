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

func countRetries(b *Budget) int {
	n := 0
	for b.AllowRetry("s") {
		n++
	}
	return n
}

func TestBoundIsShareOfRequestsPlusShareOfExtra(t *testing.T) {
	is := is.New(t)
	b, now := testBudget()
	is.Equal(countRetries(b), 9) // A quarter of the extra retries, less the reserve.
	for range 100 {
		b.CountRequest("s")
	}
	is.Equal(countRetries(b), 20)
	*now = now.Add(11 * time.Second)
	is.Equal(countRetries(b), 9)
}

func TestEachServiceHasOwnBudget(t *testing.T) {
	is := is.New(t)
	b, _ := testBudget()
	countRetries(b)
	is.True(b.AllowRetry("other"))
}

func TestRetriesCountForWholeWindow(t *testing.T) {
	is := is.New(t)
	b, now := testBudget()
	countRetries(b)
	*now = now.Add(9 * time.Second)
	is.Equal(countRetries(b), 0)
}
