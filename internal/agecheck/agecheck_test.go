package agecheck_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/tamarindworks/tamarindworks/internal/agecheck"
)

// test records the failures of a test.
type test struct {
	failures []string
	cleanups []func()
}

func (t *test) Helper()          {}
func (t *test) Cleanup(f func()) { t.cleanups = append(t.cleanups, f) }
func (t *test) Errorf(format string, args ...any) {
	t.failures = append(t.failures, fmt.Sprintf(format, args...))
}

func (t *test) end() {
	for _, f := range t.cleanups {
		f()
	}
}

func TestFields(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		field zap.Field
		wrong bool
	}{
		"age":                        {field: zap.Duration("age", time.Second)},
		"no time has passed":         {field: zap.Duration("age", 0)},
		"age of a zero time":         {field: zap.Duration("age", now.Sub(time.Time{})), wrong: true},
		"until a zero time":          {field: zap.Duration("age", time.Time{}.Sub(now)), wrong: true},
		"negative age":               {field: zap.Duration("age", -1), wrong: true},
		"time":                       {field: zap.Time("at", now)},
		"zero time":                  {field: zap.Time("at", time.Time{}), wrong: true},
		"another number is no time":  {field: zap.Int64("revision", -1)},
		"field that has no value":    {field: zap.Skip()},
		"duration of unknown type":   {field: zap.Any("age", time.Second)},
		"zero time of unknown type":  {field: zap.Any("at", time.Time{}), wrong: true},
		"age in a field of any type": {field: zap.Any("age", now.Sub(time.Time{})), wrong: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for _, write := range []func(log *zap.Logger){
				func(log *zap.Logger) { log.Info("line", zap.String("a", "b"), c.field) },
				func(log *zap.Logger) { log.With(c.field).Debug("line") },
			} {
				inner := &test{}
				core, lines := observer.New(zap.DebugLevel)
				write(agecheck.LoggerOf(inner, core))
				inner.end()
				g.Expect(lines.Len()).To(Equal(1))
				g.Expect(inner.failures).To(HaveLen(map[bool]int{true: 1}[c.wrong]))
			}
		})
	}
}

func TestMetrics(t *testing.T) {
	const zeroAge = time.Duration(1<<63 - 1)
	for name, c := range map[string]struct {
		set   func(s *metrics.Set)
		wrong bool
	}{
		"no metrics":         {set: func(*metrics.Set) {}},
		"counter":            {set: func(s *metrics.Set) { s.NewCounter(`n_total{a="b"}`).Set(1e9) }},
		"age":                {set: func(s *metrics.Set) { s.NewGauge(`age_seconds{a="b c"}`, nil).Set(3600) }},
		"negative age":       {set: func(s *metrics.Set) { s.NewGauge("age_seconds", nil).Set(-1) }, wrong: true},
		"age of a zero time": {set: func(s *metrics.Set) { s.NewGauge(`age_seconds{a="b"}`, nil).Set(zeroAge.Seconds()) }, wrong: true},
		"durations":          {set: func(s *metrics.Set) { s.NewHistogram(`took_seconds{a="b"}`).Update(3600) }},
		"durations of zero":  {set: func(s *metrics.Set) { s.NewHistogram("took_seconds").Update(0) }},
		"duration since a zero time": {set: func(s *metrics.Set) {
			s.NewHistogram(`took_seconds{a="b"}`).Update(zeroAge.Seconds())
		}, wrong: true},
		"duration since a zero time, no labels": {set: func(s *metrics.Set) { s.NewHistogram("took_seconds").Update(zeroAge.Seconds()) }, wrong: true},
	} {
		t.Run(name, func(t *testing.T) {
			inner := &test{}
			c.set(agecheck.Metrics(inner))
			inner.end()
			NewWithT(t).Expect(inner.failures).To(HaveLen(map[bool]int{true: 1}[c.wrong]))
		})
	}
}

func TestLines(t *testing.T) {
	for name, c := range map[string]struct {
		log   string
		wrong int
	}{
		"nothing":          {},
		"no JSON":          {log: "daemon: 2562047h47m16.854775807s\n"},
		"sound":            {log: `{"msg":"a","took":"1.5ms","age":"0s","n":-1,"fields":{"a":"b"}}` + "\n"},
		"age of zero time": {log: `{"msg":"a","silent":"2562047h47m16.854775807s"}` + "\n", wrong: 1},
		"negative age":     {log: `{"msg":"a","took":"-3µs"}` + "\n" + `{"msg":"b"}` + "\n", wrong: 1},
		"zero time":        {log: `{"msg":"a","at":"0001-01-01T00:00:00Z"}` + "\n", wrong: 1},
		"time":             {log: `{"msg":"a","at":"2001-01-01T00:00:00Z"}` + "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			inner := &test{}
			w := agecheck.Lines(inner)
			for i := range len(c.log) { // a line may come in parts
				_, err := w.Write([]byte(c.log[i : i+1]))
				g.Expect(err).NotTo(HaveOccurred())
			}
			inner.end()
			g.Expect(inner.failures).To(HaveLen(c.wrong))
		})
	}
}
