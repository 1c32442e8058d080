package balance

import "sync"

// Budget limits retries and hedges to a share of the requests, so that a fault
// cannot multiply the load on the targets.
type Budget struct {
	// ratio is the number of tokens that each request adds, reserve the highest
	// number of tokens that can be saved.
	ratio, reserve float64

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a Budget that allows ratio retries per request on average, and
// starts with reserve tokens, which is also the highest number that can be saved.
func NewBudget(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, tokens: reserve}
}

// Earn adds the tokens for one request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.reserve)
}

// Spend removes one token and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
