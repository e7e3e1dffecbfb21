package gateway

import "sync"

const (
	retryRatio     = 0.1 // retries per request
	maxRetryTokens = 10  // maximum burst of retries
)

// retryBudget is a token bucket that limits retries to a share of the requests,
// so that retries cannot amplify an overload.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

// deposit adds the fraction of a retry that a request allows. It is called once
// per request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, maxRetryTokens)
}

// withdraw takes a token for a retry, and reports whether there was one.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
