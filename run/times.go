package run

import (
	"time"

	"go.uber.org/zap"
)

// earlier returns the earlier of two times. A zero time means never.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || !a.IsZero() && a.Before(b) {
		return a
	}
	return b
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// ageField returns how long ago a time was as a log field; an empty one if the time is zero.
func ageField(key string, now, at time.Time) zap.Field {
	if at.IsZero() {
		return zap.Skip()
	}
	return zap.Duration(key, now.Sub(at))
}
