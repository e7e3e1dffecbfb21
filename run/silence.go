package run

import (
	"sync"
	"time"
)

// silence records which calls to a worker got no answer, and tells lost answers from a worker that
// does not answer at all.
type silence struct {
	mu sync.Mutex
	// answeredSentAt is when the last answered call was sent. A call that was sent before it and
	// has no answer was lost.
	answeredSentAt time.Time
	// unanswered is the number of later calls without an answer.
	unanswered int
	// silent: these are too many to be lost answers.
	silent bool
}

// noteAnswer records an answer to a call. It returns the number of calls without an answer that
// must have been lost; those of a worker that was silent are not counted.
func (s *silence) noteAnswer(sentAt time.Time) (lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredSentAt = later(s.answeredSentAt, sentAt)
	if !s.silent {
		lost = s.unanswered
	}
	s.unanswered, s.silent = 0, false
	return lost
}

// answeredSince reports whether the worker has answered a call that was sent after sentAt, so that
// an unanswered one of that time must have been lost.
func (s *silence) answeredSince(sentAt time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.silent && sentAt.Before(s.answeredSentAt)
}

// noteUnanswered records calls without an answer. limit is the number of such calls in a row from
// which on the worker is silent.
func (s *silence) noteUnanswered(calls, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered += calls
	s.silent = s.silent || s.unanswered >= limit
}

// markSilent records that the worker can't be reached.
func (s *silence) markSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

// isSilent reports whether the worker does not answer.
func (s *silence) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

// explains reports whether further unanswered calls could still be lost answers.
func (s *silence) explains(calls, limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.silent && s.unanswered+calls < limit
}
