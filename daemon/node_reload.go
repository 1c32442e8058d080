package daemon

import (
	"context"
	"os"
	"reflect"
	"time"
)

// reloadInterval is the interval at which the settings file is read again, since it may
// change without a signal.
const reloadInterval = 2 * time.Second

// reloadSettings applies the settings again at each signal and when it finds the file
// changed. If the file is not valid, it logs the error and the last settings stay in force.
func (n *nodeProcess) reloadSettings(ctx context.Context, signals <-chan os.Signal, load func() (*NodeSettings, error)) {
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	lastError := ""
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-tick.C:
		}
		next, err := load()
		switch {
		case err != nil:
			if signalled || err.Error() != lastError {
				n.logger.Error("cannot reload the settings; the last ones stay in force", "error", err.Error())
			}
			lastError = err.Error()
		case signalled || !reflect.DeepEqual(next, n.settings.Load()):
			lastError = ""
			n.applySettings(next)
		}
	}
}

// applySettings puts those settings into force that can change while the process runs.
func (n *nodeProcess) applySettings(next *NodeSettings) {
	old := n.settings.Swap(next)
	setMemory(next)
	n.budget.SetBound(next.Retry.Ratio, next.Retry.Extra)
	n.setBodyLimit()
	n.logger.Info("settings reloaded", "changed", !reflect.DeepEqual(old, next), "needs_restart", needsRestart(old, next))
}

// needsRestart reports whether a setting changed that takes effect only after a restart.
func needsRestart(old, next *NodeSettings) bool {
	a, b := *old, *next
	a.Retry.Ratio, a.Retry.Extra, a.Gateway.MemoryMB = b.Retry.Ratio, b.Retry.Extra, b.Gateway.MemoryMB
	a.Gateway.TargetBodyBytes = b.Gateway.TargetBodyBytes
	return !reflect.DeepEqual(a, b)
}
