package gateway

import "sync"

const (
	retryRatio     = 0.1 // retries per first try
	maxRetryTokens = 10  // retries that a quiet daemon may make at once
)

// retryBudget keeps retries to a share of the traffic, so that they cannot
// multiply an overload.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

// deposit is called once for each request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, maxRetryTokens)
}

// withdraw takes one retry, if there is one.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
