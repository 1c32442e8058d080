package telemetry

import (
	"fmt"
	"log/slog"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
)

// panics counts the panics that Recover has ended.
var panics = prometheus.NewCounter(prometheus.CounterOpts{
	Name: "basiltally_panics_total", Help: "Panics that ended a single request, stream or message.",
})

// maxStackBytes bounds the stack that is logged.
const maxStackBytes = 2 << 10

// Recover ends a panic of the calling goroutine, counts it and logs it with its stack. It must be
// deferred directly. What the panic ended is named by where and attrs. The functions in then run only
// after a panic.
func Recover(logger *slog.Logger, where string, attrs []any, then ...func()) {
	p := recover()
	if p == nil {
		return
	}
	panics.Inc()
	stack := debug.Stack()
	logger.Error("panic", append([]any{"where", where, "panic", fmt.Sprint(p), "stack", string(stack[:min(len(stack), maxStackBytes)])}, attrs...)...)
	for _, f := range then {
		f()
	}
}
