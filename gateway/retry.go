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
	// maxAttempts bounds the instances that one request is sent to.
	maxAttempts = 4
	maxBackoff  = 20 * time.Millisecond // before a retry, jittered
)

// errResponseTruncated is an upstream lost in mid-answer.
var errResponseTruncated = errors.New("gateway: upstream lost in mid-answer")

// backoff waits a random moment before a retry, so that what failed together is
// not retried together. It returns false if the time has run out.
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

// earlierRefusal is what to tell the caller if a retry was refused a slot: what came
// of the tries before, if there were any.
func earlierRefusal(before, now *Refusal) *Refusal {
	if before != nil {
		return before
	}
	return now
}

// withInstance copies a set and adds an element; waiters may still read the old one.
func withInstance(set map[tw.InstanceID]bool, id tw.InstanceID) map[tw.InstanceID]bool {
	next := maps.Clone(set)
	next[id] = true
	return next
}

// setWriteDeadline bounds how long a slow caller can keep an answer.
func setWriteDeadline(ctx context.Context, w http.ResponseWriter) {
	if deadline, ok := ctx.Deadline(); ok {
		// Test recorders have no deadline; that is no matter.
		_ = http.NewResponseController(w).SetWriteDeadline(deadline.Add(writeGrace))
	}
}

// writeGrace is what a caller has after the deadline to take the answer.
const writeGrace = 10 * time.Second
