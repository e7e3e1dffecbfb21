// Package agecheck provides loggers and metrics for tests that fail if they show an impossible age. The
// age of a zero time is 292 years, and a negative one means that two times were mixed up: both tell of
// a fault where the age is computed, and maybe of a decision that used the same value.
package agecheck

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxAge is longer than any duration that a test can measure or configure.
const maxAge = 24 * time.Hour

// maxReported bounds the lines that a failing test prints.
const maxReported = 20

// TB is the part of testing.TB that is needed.
type TB interface {
	Helper()
	Cleanup(f func())
	Errorf(format string, args ...any)
}

// Logger returns a logger that writes to standard output if TAMARIND_TEST_LOG is set. At its end the test
// fails if a line has a negative duration, one longer than maxAge, or a zero time.
func Logger(t TB) *zap.Logger {
	if os.Getenv("TAMARIND_TEST_LOG") == "" {
		return LoggerOf(t, zapcore.NewNopCore())
	}
	return LoggerOf(t, zap.Must(zap.NewDevelopment()).Core())
}

// LoggerOf is Logger with a core that is given all lines that are enabled there.
func LoggerOf(t TB, next zapcore.Core) *zap.Logger {
	t.Helper()
	found := &findings{}
	t.Cleanup(func() {
		t.Helper()
		found.report(t)
	})
	return zap.New(&core{next: next, found: found})
}

// core checks the fields of all lines and passes them on.
type core struct {
	next  zapcore.Core
	found *findings
	// fields are those of With that are at fault.
	fields []zapcore.Field
}

func (c *core) Enabled(zapcore.Level) bool { return true }

func (c *core) With(fields []zapcore.Field) zapcore.Core {
	out := &core{next: c.next.With(fields), found: c.found, fields: c.fields}
	for _, f := range fields {
		if fault(f) != "" {
			out.fields = append(out.fields[:len(out.fields):len(out.fields)], f)
		}
	}
	return out
}

func (c *core) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return checked.AddCore(entry, c)
}

func (c *core) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	for _, f := range c.fields {
		c.found.add(entry, f, fields)
	}
	for _, f := range fields {
		if fault(f) != "" {
			c.found.add(entry, f, fields)
		}
	}
	if !c.next.Enabled(entry.Level) {
		return nil
	}
	return c.next.Write(entry, fields)
}

func (c *core) Sync() error { return c.next.Sync() }

// fault returns what is wrong with a field; empty if nothing is.
func fault(f zapcore.Field) string {
	switch f.Type {
	case zapcore.DurationType:
		return durationFault(time.Duration(f.Integer))
	case zapcore.TimeFullType: // zero times are outside the range of TimeType
		if at, ok := f.Interface.(time.Time); ok && at.IsZero() {
			return "zero time"
		}
	}
	return ""
}

func durationFault(d time.Duration) string {
	switch {
	case d < 0:
		return "negative duration"
	case d > maxAge:
		return "impossible duration"
	}
	return ""
}

// findings are the lines at fault. Goroutines may still log when the test has ended.
type findings struct {
	mu    sync.Mutex
	count int
	lines []string
}

func (f *findings) add(entry zapcore.Entry, wrong zapcore.Field, fields []zapcore.Field) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	if len(f.lines) < maxReported {
		f.lines = append(f.lines, fmt.Sprintf("%s in field %q: %s", fault(wrong), wrong.Key, text(entry, fields)))
	}
}

func (f *findings) report(t TB) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.count > 0 {
		t.Errorf("%d faults in log lines, the first are:\n%s", f.count, strings.Join(f.lines, "\n"))
	}
}

// text returns a line as the logger of a process writes it.
func text(entry zapcore.Entry, fields []zapcore.Field) string {
	config := zap.NewProductionEncoderConfig()
	config.EncodeDuration = zapcore.StringDurationEncoder
	line, err := zapcore.NewJSONEncoder(config).EncodeEntry(entry, fields)
	if err != nil {
		return entry.Message
	}
	defer line.Free()
	return strings.TrimSpace(line.String())
}
