package assign

import (
	"testing"
	"fmt"
	"os"
	"strconv"
)

func TestDbg(t *testing.T) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	n := 0
	wrong := history(seed, func(f string, a ...any) {
		n++
		if os.Getenv("TRACE") != "" { s := fmt.Sprintf(f, a...); if len(s) > 600 { s = s[:600] }; fmt.Println(s) }
	})
	t.Log(n, wrong)
}
