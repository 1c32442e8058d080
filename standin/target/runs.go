package target

import "sync"

// maxRecordedRuns bounds the distinct identifiers that are counted.
const maxRecordedRuns = 200_000

// Runs tells how often requests were executed, by request ID and by idempotency key.
type Runs struct {
	Total            int            `json:"total"`
	ByRequestID      map[string]int `json:"by_request_id"`
	ByIdempotencyKey map[string]int `json:"by_idempotency_key"`
	NotRecorded      int            `json:"not_recorded"`
	// Cancelled counts runs that stopped because the caller left.
	Cancelled           int `json:"cancelled"`
	MaxByRequestID      int `json:"max_by_request_id"`
	MaxByIdempotencyKey int `json:"max_by_idempotency_key"`
}

// runCounter counts executions.
type runCounter struct {
	mu   sync.Mutex
	runs Runs
}

func newRunCounter() *runCounter {
	return &runCounter{runs: Runs{
		ByRequestID:      make(map[string]int),
		ByIdempotencyKey: make(map[string]int),
	}}
}

// add counts one execution and returns how often the idempotency key, or else
// the request ID, has run.
func (c *runCounter) add(requestID, idempotencyKey string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.Total++
	count := c.count(c.runs.ByRequestID, requestID, &c.runs.MaxByRequestID)
	if idempotencyKey == "" {
		return count
	}
	return c.count(c.runs.ByIdempotencyKey, idempotencyKey, &c.runs.MaxByIdempotencyKey)
}

func (c *runCounter) cancelled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs.Cancelled++
}

func (c *runCounter) count(counts map[string]int, id string, highest *int) int {
	if id == "" {
		return 1
	}
	if _, ok := counts[id]; !ok && len(counts) >= maxRecordedRuns {
		c.runs.NotRecorded++
		return 1
	}
	counts[id]++
	*highest = max(*highest, counts[id])
	return counts[id]
}

// snapshot returns the identifiers that ran at least least times.
func (c *runCounter) snapshot(least int) Runs {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := c.runs
	runs.ByRequestID = atLeast(c.runs.ByRequestID, least)
	runs.ByIdempotencyKey = atLeast(c.runs.ByIdempotencyKey, least)
	return runs
}

func atLeast(counts map[string]int, least int) map[string]int {
	selected := make(map[string]int)
	for id, n := range counts {
		if n >= least {
			selected[id] = n
		}
	}
	return selected
}
