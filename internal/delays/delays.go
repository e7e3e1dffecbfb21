// Package delays breaks down the time of submissions by cause. It reads the daemons' logs
// and traces each submission back from its last end to its acceptance.
package delays

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Cause is what a segment of a submission's time was spent on.
	Cause string

	// Segment is a part of a submission's time with one cause.
	Segment struct {
		Cause    Cause
		Duration time.Duration
		// Subtask is the one on the critical path.
		Subtask string
		Worker  tw.WorkerID
	}

	// Breakdown divides the time of one submission into segments, the last one first.
	Breakdown struct {
		ID       tw.SubmissionID
		Pool     tw.PoolID
		Route    tw.RouteName
		Accepted time.Time
		Duration time.Duration
		Segments []Segment
	}

	// logLine holds the fields of a log line that are used.
	logLine struct {
		Time       float64         `json:"ts"` // seconds since 1970
		Message    string          `json:"msg"`
		Pool       tw.PoolID       `json:"pool"`
		Route      tw.RouteName    `json:"route"`
		Submission tw.SubmissionID `json:"submission"`
		Subtask    string          `json:"subtask"`
		Run        tw.RunNumber    `json:"run"`
		Worker     tw.WorkerID     `json:"worker"`
		Kind       tw.EndKind      `json:"kind"`
	}

	// loggedRun is one run of a subtask.
	loggedRun struct {
		subtask string
		worker  tw.WorkerID
		ordered time.Time
		ended   time.Time // zero if no end of it is known
		kind    tw.EndKind
	}

	// history collects what the logs contain about a submission.
	history struct {
		Breakdown
		recorded time.Time
		runs     map[tw.RunNumber]*loggedRun
	}
)

// Causes, in the order in which a submission goes through them.
const (
	// Waiting means that a subtask was ready and waited for a worker or for an owner.
	Waiting Cause = "waits"
	// Running means that a subtask ran.
	Running Cause = "runs"
	// Slow is the part of a run above slowFactor times the median of its siblings.
	Slow Cause = "slow"
	// Lost means that a run did not end as done, and its subtask had to start again.
	Lost Cause = "lost"
	// Recording means that all runs had ended, and the end was not recorded yet.
	Recording Cause = "record"
)

// Causes lists all causes, in the order in which a submission goes through them.
var Causes = []Cause{Waiting, Running, Slow, Lost, Recording}

const (
	slowFactor = 1.6
	// maxLineSize is the limit for a log line, in bytes.
	maxLineSize = 1 << 20
)

// Read returns the breakdowns of all submissions that ended, ordered by the time of
// their acceptance. Lines may have a prefix before their JSON. It fails only if the
// logs can't be read.
func Read(logs io.Reader) ([]Breakdown, error) {
	all := map[tw.SubmissionID]*history{}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineSize)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal(scanner.Bytes()[start:], &l) != nil {
			continue // not a daemon's log line
		}
		addLine(all, &l)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "delays: logs")
	}
	var out []Breakdown
	for _, h := range all {
		if !h.Accepted.IsZero() && !h.recorded.IsZero() {
			h.computeSegments()
			out = append(out, h.Breakdown)
		}
	}
	slices.SortFunc(out, func(a, b Breakdown) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	return out, nil
}

func addLine(all map[tw.SubmissionID]*history, l *logLine) {
	id := l.Submission
	if l.Subtask != "" {
		name, _, _ := strings.Cut(l.Subtask, ".")
		id = tw.SubmissionID(name)
	}
	if id == "" {
		return
	}
	h := all[id]
	if h == nil {
		h = &history{Breakdown: Breakdown{ID: id}, runs: map[tw.RunNumber]*loggedRun{}}
		all[id] = h
	}
	at := time.Unix(0, int64(l.Time*float64(time.Second)))
	switch l.Message {
	case "submission: accepted", "submission: kept without the owner":
		if h.Accepted.IsZero() {
			h.Accepted, h.Pool, h.Route = at, l.Pool, l.Route
		}
	case "submission: recorded as ended":
		if h.recorded.IsZero() {
			h.recorded = at
		}
	case "run: ordered":
		h.runs[l.Run] = &loggedRun{subtask: l.Subtask, worker: l.Worker, ordered: at}
	case "run: ended":
		if run := h.runs[l.Run]; run != nil && run.ended.IsZero() {
			run.ended, run.kind = at, l.Kind
		}
	}
}

// computeSegments traces the critical path back from the end: the run that ended last,
// before it the run of an earlier step that ended last, and so on.
func (h *history) computeSegments() {
	h.Duration = h.recorded.Sub(h.Accepted)
	at := h.recorded
	last := h.lastDone(at, -1)
	if last == nil {
		h.addSegment(Waiting, at.Sub(h.Accepted), nil)
		return
	}
	h.addSegment(Recording, at.Sub(last.ended), nil)
	for last != nil {
		h.addRunTime(last)
		started := last.ordered
		for before := h.previousRun(last); before != nil; before = h.previousRun(before) {
			h.addSegment(Lost, started.Sub(before.ordered), before)
			started = before.ordered
		}
		previous := h.lastDone(started, stepOf(last.subtask))
		ready := h.Accepted
		if previous != nil {
			ready = previous.ended
		}
		h.addSegment(Waiting, started.Sub(ready), last)
		last = previous
	}
}

func (h *history) addSegment(cause Cause, took time.Duration, run *loggedRun) {
	if took <= 0 {
		return
	}
	segment := Segment{Cause: cause, Duration: took}
	if run != nil {
		segment.Subtask, segment.Worker = run.subtask, run.worker
	}
	h.Segments = append(h.Segments, segment)
}

// addRunTime adds a run's time. The part above slowFactor times the median of its
// siblings counts as Slow.
func (h *history) addRunTime(run *loggedRun) {
	took := run.ended.Sub(run.ordered)
	slowThreshold := time.Duration(slowFactor * float64(h.median(run.subtask)))
	h.addSegment(Slow, took-slowThreshold, run)
	h.addSegment(Running, min(took, slowThreshold), run)
}

// median returns the median time of the runs that ended as done in the step of subtask.
func (h *history) median(subtask string) time.Duration {
	var times []time.Duration
	for _, run := range h.runs {
		if run.kind == tw.EndDone && stepOf(run.subtask) == stepOf(subtask) {
			times = append(times, run.ended.Sub(run.ordered))
		}
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// lastDone returns the run that ended as done last, but not after the time by, in a step
// below before, or in any step if before is negative.
func (h *history) lastDone(by time.Time, before int) *loggedRun {
	var out *loggedRun
	for _, number := range slices.Sorted(maps.Keys(h.runs)) {
		run := h.runs[number]
		if run.kind != tw.EndDone || run.ended.After(by) || before >= 0 && stepOf(run.subtask) >= before {
			continue
		}
		if out == nil || run.ended.After(out.ended) {
			out = run
		}
	}
	return out
}

// previousRun returns the last run of the same subtask that was ordered before run.
func (h *history) previousRun(run *loggedRun) *loggedRun {
	var out *loggedRun
	for _, other := range h.runs {
		if other.subtask != run.subtask || !other.ordered.Before(run.ordered) {
			continue
		}
		if out == nil || other.ordered.After(out.ordered) {
			out = other
		}
	}
	return out
}

// stepOf returns the step in a subtask's name, ID.REPETITION.STEP.INDEX.
func stepOf(subtask string) int {
	parts := strings.Split(subtask, ".")
	if len(parts) < 3 {
		return 0
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil {
		return 0
	}
	return n
}

// ByCause sums the segments by cause.
func (b *Breakdown) ByCause() map[Cause]time.Duration {
	out := map[Cause]time.Duration{}
	for _, segment := range b.Segments {
		out[segment.Cause] += segment.Duration
	}
	return out
}
