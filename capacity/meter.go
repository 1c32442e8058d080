package capacity

import (
	"runtime"
	"slices"
	"syscall"
	"time"
)

// medianRounds is the number of measurements of which the median is taken.
const medianRounds = 3

// cpuTime returns the processor time of this process, user and system.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // The arguments are constant and valid.
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuPerCall returns the processor nanoseconds of one call of f: the median of
// several rounds that each take at least half the budget.
func cpuPerCall(budget time.Duration, f func()) float64 {
	f()
	calls := callsFor(budget, f)
	costs := make([]float64, medianRounds)
	for i := range costs {
		start := cpuTime()
		for range calls {
			f()
		}
		costs[i] = float64(cpuTime()-start) / float64(calls)
	}
	slices.Sort(costs)
	return costs[medianRounds/2]
}

// callsFor returns a number of calls that takes at least half the budget.
func callsFor(budget time.Duration, f func()) int {
	calls := 1
	for {
		start := cpuTime()
		for range calls {
			f()
		}
		if cpuTime()-start >= budget/2 {
			return calls
		}
		calls *= 2
	}
}

// heapCopies is the number of copies over which a heap size is averaged.
const heapCopies = 16

// heapOf returns the heap bytes held by the result of build, as the mean over
// heapCopies results.
func heapOf(build func() any) float64 {
	kept := make([]any, heapCopies)
	before := liveHeap()
	for i := range kept {
		kept[i] = build()
	}
	after := liveHeap()
	runtime.KeepAlive(kept)
	return (float64(after) - float64(before)) / heapCopies
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// liveMemory returns the bytes of the live heap and of the stacks in use.
func liveMemory() uint64 {
	heap := liveHeap()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return heap + stats.StackInuse
}
