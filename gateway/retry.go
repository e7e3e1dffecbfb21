package gateway

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

const (
	// maxAttempts is the maximum number of instances, or of daemons when
	// relaying, tried for one request.
	maxAttempts = 4
	maxBackoff  = 20 * time.Millisecond // full jitter
)

// errResponseTruncated means that an upstream was lost while it sent a
// response.
var errResponseTruncated = errors.New("gateway: upstream lost during the response")

// backoff waits for a random time before a retry, so that requests that failed
// together are not retried together. It returns false if ctx is done.
func backoff(ctx context.Context, s *scheduler) bool {
	s.mu.Lock()
	d := time.Duration(s.rand.Int64N(int64(maxBackoff)))
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-s.clock.After(d):
		return true
	}
}

// earlierRefusal returns the refusal for the caller when no slot could be
// acquired: that of the attempt before, if there was one.
func earlierRefusal(previous, current *Refusal) *Refusal {
	if previous != nil {
		return previous
	}
	return current
}

// withInstance returns a copy of the set with id added; waiters may still read
// the old set.
func withInstance(set map[tw.InstanceID]bool, id tw.InstanceID) map[tw.InstanceID]bool {
	out := maps.Clone(set)
	out[id] = true
	return out
}

// setWriteDeadline limits how long a slow caller can take to read a response.
func setWriteDeadline(ctx context.Context, w http.ResponseWriter) {
	if deadline, ok := ctx.Deadline(); ok {
		// The response recorders of tests do not support it and do not need it.
		_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeGrace))
	}
}

// writeGrace is how long after the request's deadline a caller may still read
// the response.
const writeGrace = 10 * time.Second
