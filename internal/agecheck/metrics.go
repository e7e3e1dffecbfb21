package agecheck

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics returns a set of metrics. At its end the test fails if one of those that are named after
// seconds is negative or has counted more than maxAge. A histogram leaves out what is negative.
func Metrics(t TB) *metrics.Set {
	t.Helper()
	set := metrics.NewSet()
	t.Cleanup(func() {
		t.Helper()
		var text bytes.Buffer
		set.WritePrometheus(&text)
		for line := range strings.Lines(text.String()) {
			if wrong := sampleFault(strings.TrimSpace(line)); wrong != "" {
				t.Errorf("%s in a metric: %s", wrong, line)
			}
		}
	})
	return set
}

// sampleFault returns what is wrong with a line of metrics; empty if nothing is.
func sampleFault(line string) string {
	name, labels, _ := strings.Cut(line[:max(0, strings.LastIndexByte(line, ' '))], "{")
	value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
	if err != nil {
		return ""
	}
	switch {
	case strings.HasSuffix(name, "_seconds_bucket"):
		_, bound, _ := strings.Cut(labels, "...")
		bound, _, _ = strings.Cut(bound, `"`)
		if value, err = strconv.ParseFloat(bound, 64); err != nil {
			return "unknown bucket"
		}
	case !strings.HasSuffix(name, "_seconds"):
		return ""
	}
	switch {
	case value < 0:
		return "negative duration"
	case value > maxAge.Seconds():
		return "impossible duration"
	}
	return ""
}
