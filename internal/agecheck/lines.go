package agecheck

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"time"
)

// Lines returns a writer for the log of a process, in lines of JSON. At its end the test fails if a
// line has a duration or a time that Logger would find.
func Lines(t TB) io.Writer {
	t.Helper()
	l := &lines{}
	t.Cleanup(func() {
		t.Helper()
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.wrong) > 0 {
			t.Errorf("faults in log lines:\n%s", strings.Join(l.wrong, "\n"))
		}
	})
	return l
}

// lines checks the lines of a log.
type lines struct {
	mu sync.Mutex
	// rest is the beginning of a line that has not ended yet.
	rest  []byte
	wrong []string
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rest = append(l.rest, p...)
	for {
		line, rest, ended := bytes.Cut(l.rest, []byte("\n"))
		if !ended {
			return len(p), nil
		}
		if lineFault(line) != "" && len(l.wrong) < maxReported {
			l.wrong = append(l.wrong, lineFault(line)+": "+string(line))
		}
		l.rest = rest
	}
}

// lineFault returns what is wrong with a line; empty if nothing is, or if it is no line of JSON.
func lineFault(line []byte) string {
	var fields map[string]any
	if json.Unmarshal(line, &fields) != nil {
		return ""
	}
	for key, field := range fields {
		text, _ := field.(string)
		if wrong := textFault(text); wrong != "" {
			return wrong + " in field " + key
		}
	}
	return ""
}

func textFault(text string) string {
	if d, err := time.ParseDuration(text); err == nil {
		return durationFault(d)
	}
	if at, err := time.Parse(time.RFC3339Nano, text); err == nil && at.IsZero() {
		return "zero time"
	}
	return ""
}
