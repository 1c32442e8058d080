package upstream

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against loads that are ignored because their header has a fourth figure.
func TestLoadIsParsedWithAndWithoutTheTimeOfWork(t *testing.T) {
	for text, want := range map[string]*Load{
		"3,1,6":      {Running: 3, Waiting: 1, Slots: 6},
		"3,1,6,100":  {Running: 3, Waiting: 1, Slots: 6, WorkPercent: 100},
		"3,1,6, 290": {Running: 3, Waiting: 1, Slots: 6, WorkPercent: 290},
	} {
		t.Run(text, func(t *testing.T) { is.New(t).Equal(parseLoad(text), want) })
	}
	for _, text := range []string{"", "3,1", "3,1,6,", "3,1,6,0", "3,1,6,-1", "3,1,6,x", "3,1,6,100,1", "3,-1,6,100"} {
		t.Run("malformed "+text, func(t *testing.T) { is.New(t).Equal(parseLoad(text), nil) })
	}
}
