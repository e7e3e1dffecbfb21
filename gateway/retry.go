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
	// maxTries bounds the instances that one request is sent to.
	maxTries = 4
	maxPause = 20 * time.Millisecond // before a retry, jittered
)

// errAnswerCut is an upstream lost in mid-answer.
var errAnswerCut = errors.New("gateway: upstream lost in mid-answer")

// pause waits a random moment before a retry, so that what failed together is
// not retried together. It returns false if the time has run out.
func pause(ctx context.Context, s *scheduler) bool {
	s.mu.Lock()
	d := time.Duration(s.rand.Int64N(int64(maxPause)))
	s.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-s.clock.After(d):
		return true
	}
}

// firstOf is what to tell the caller if a retry was refused a slot: what came
// of the tries before, if there were any.
func firstOf(before, now *Refusal) *Refusal {
	if before != nil {
		return before
	}
	return now
}

// with copies a set and adds an element; waiters may still read the old one.
func with(set map[tw.InstanceID]bool, id tw.InstanceID) map[tw.InstanceID]bool {
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
