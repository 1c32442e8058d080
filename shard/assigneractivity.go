package shard

import (
	"time"

	"golang.org/x/sys/unix"

	"github.com/basiltally/basiltally/boottime"
)

// activityInterval is the interval at which the assigner logs its activity.
const activityInterval = time.Second

// assignerActivity sums up what the assigner has done since its last log line. It is used by assigner.run only.
type assignerActivity struct {
	since, processorAtStart time.Duration
	steps, reports, tables  int
	tableBytes              int
	// longestStep, longestPlan and longestTable are the longest times that a step of run, a plan and the
	// publication of a table took.
	longestStep, longestPlan, longestTable time.Duration
	grants, releases, failed, notSent      int
	// longestWait is the longest time from when an order was due until its call began, longestCall the longest
	// call, and longestResultWait the longest time from the end of a call until its result was recorded.
	longestWait, longestCall, longestResultWait time.Duration
	// longestFeedAge is the greatest age of what this VM has read of the store, as confirmed to followers.
	longestFeedAge time.Duration
}

func newAssignerActivity(now time.Duration) assignerActivity {
	return assignerActivity{since: now, processorAtStart: processorTime()}
}

// addResult adds the result of an order that is recorded at the instant now.
func (s *assignerActivity) addResult(r Result, now time.Duration) {
	if r.Sent == 0 {
		s.notSent++
		return
	}
	if r.Order.Release {
		s.releases++
	} else {
		s.grants++
	}
	if r.Err != nil {
		s.failed++
	}
	s.longestWait = max(s.longestWait, r.Sent-r.Order.DueAt)
	s.longestCall = max(s.longestCall, r.Ended-r.Sent)
	s.longestResultWait = max(s.longestResultWait, now-r.Ended)
}

// logActivity logs the activity of the last activityInterval, if it has passed.
func (a *assigner) logActivity(now time.Duration) {
	s := &a.activity
	if now-s.since < activityInterval {
		return
	}
	ranges := 0
	for _, service := range a.services {
		ranges += len(service.leases.ranges)
	}
	a.agent.opts.Logger.Info("assigner activity", "term", a.term.Load(), "ms", (now - s.since).Milliseconds(),
		"processor_ms", (processorTime() - s.processorAtStart).Milliseconds(), "vms", a.vmCount(), "ranges", ranges,
		"steps", s.steps, "reports", s.reports, "tables", s.tables, "table_bytes", s.tableBytes, "longest_step_ms", s.longestStep.Milliseconds(),
		"longest_plan_ms", s.longestPlan.Milliseconds(), "longest_table_ms", s.longestTable.Milliseconds(),
		"grants", s.grants, "releases", s.releases, "failed", s.failed, "not_sent", s.notSent,
		"longest_wait_ms", s.longestWait.Milliseconds(), "longest_call_ms", s.longestCall.Milliseconds(),
		"longest_result_wait_ms", s.longestResultWait.Milliseconds(), "confirmed_ms_ago", a.confirmedAgo().Milliseconds(), "longest_feed_age_ms", s.longestFeedAge.Milliseconds())
	*s = newAssignerActivity(now)
}

// timed calls f and raises longest to the time that it took.
func timed(longest *time.Duration, f func()) {
	start := boottime.Now()
	f()
	*longest = max(*longest, boottime.Now()-start)
}

// processorTime returns the processor time that this process has used, or zero if the system does not tell.
func processorTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
