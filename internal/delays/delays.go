// Package delays tells from the daemons' logs where the time of submissions went:
// it follows each one back from its last end to its acceptance.
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
	// Cause is what a part of a submission's time was spent on.
	Cause string

	// Part is a stretch of a submission's time.
	Part struct {
		Cause Cause
		Took  time.Duration
		// Subtask is the one that everything waited for.
		Subtask string
		Worker  tw.WorkerID
	}

	// Account is where the time of one submission went, the last part first.
	Account struct {
		ID       tw.SubmissionID
		Pool     tw.PoolID
		Route    tw.RouteName
		Accepted time.Time
		Took     time.Duration
		Parts    []Part
	}

	// line is what is read of a log line.
	line struct {
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

	// attempt is one run of a subtask.
	attempt struct {
		subtask string
		worker  tw.WorkerID
		ordered time.Time
		ended   time.Time // zero if no end of it is known
		kind    tw.EndKind
	}

	// history is all that the logs tell of a submission.
	history struct {
		Account
		recorded time.Time
		runs     map[tw.RunNumber]*attempt
	}
)

// Causes, in the order in which a submission goes through them.
const (
	// Room: a subtask could start and waited for a worker or for an owner.
	Room Cause = "waits"
	// Work: a subtask ran.
	Work Cause = "runs"
	// Slow: it ran for longer than slowFactor times its siblings' median.
	Slow Cause = "slow"
	// Lost: a run of it did not end as done, and it had to start again.
	Lost Cause = "lost"
	// Record: everything had ended, and the end was not recorded yet.
	Record Cause = "record"
)

// Causes lists them.
var Causes = []Cause{Room, Work, Slow, Lost, Record}

const (
	slowFactor = 1.6
	// maxLine bounds a log line.
	maxLine = 1 << 20
)

// Read works out the accounts of all submissions that ended, by the time of
// their acceptance. Lines may have something before their JSON. It fails only if
// the logs can't be read.
func Read(logs io.Reader) ([]Account, error) {
	all := map[tw.SubmissionID]*history{}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l line
		if json.Unmarshal(scanner.Bytes()[start:], &l) != nil {
			continue // not a line of a daemon
		}
		take(all, &l)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "delays: logs")
	}
	var out []Account
	for _, h := range all {
		if !h.Accepted.IsZero() && !h.recorded.IsZero() {
			h.follow()
			out = append(out, h.Account)
		}
	}
	slices.SortFunc(out, func(a, b Account) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	return out, nil
}

func take(all map[tw.SubmissionID]*history, l *line) {
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
		h = &history{Account: Account{ID: id}, runs: map[tw.RunNumber]*attempt{}}
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
		h.runs[l.Run] = &attempt{subtask: l.Subtask, worker: l.Worker, ordered: at}
	case "run: ended":
		if run := h.runs[l.Run]; run != nil && run.ended.IsZero() {
			run.ended, run.kind = at, l.Kind
		}
	}
}

// follow goes back from the end: what ended last held everything up, before it
// what ended last in the step before it, and so on.
func (h *history) follow() {
	h.Took = h.recorded.Sub(h.Accepted)
	at := h.recorded
	last := h.lastDone(at, -1)
	if last == nil {
		h.add(Room, at.Sub(h.Accepted), nil)
		return
	}
	h.add(Record, at.Sub(last.ended), nil)
	for last != nil {
		h.addWork(last)
		started := last.ordered
		for before := h.attemptBefore(last); before != nil; before = h.attemptBefore(before) {
			h.add(Lost, started.Sub(before.ordered), before)
			started = before.ordered
		}
		previous := h.lastDone(started, stepOf(last.subtask))
		ready := h.Accepted
		if previous != nil {
			ready = previous.ended
		}
		h.add(Room, started.Sub(ready), last)
		last = previous
	}
}

func (h *history) add(cause Cause, took time.Duration, run *attempt) {
	if took <= 0 {
		return
	}
	part := Part{Cause: cause, Took: took}
	if run != nil {
		part.Subtask, part.Worker = run.subtask, run.worker
	}
	h.Parts = append(h.Parts, part)
}

// addWork adds a run's time, and apart what of it is more than its siblings took.
func (h *history) addWork(run *attempt) {
	took := run.ended.Sub(run.ordered)
	usual := time.Duration(slowFactor * float64(h.median(run.subtask)))
	h.add(Slow, took-usual, run)
	h.add(Work, min(took, usual), run)
}

// median is the median run time of the done subtasks of a step.
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

// lastDone is the run that ended as done last, but not after a time and in a step
// before one; any step if that is negative.
func (h *history) lastDone(by time.Time, before int) *attempt {
	var out *attempt
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

// attemptBefore is the run of the same subtask that was ordered before one.
func (h *history) attemptBefore(run *attempt) *attempt {
	var out *attempt
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

// stepOf is the step in a subtask's name, ID.REPETITION.STEP.INDEX.
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

// By sums the parts of an account by cause.
func (a *Account) By() map[Cause]time.Duration {
	out := map[Cause]time.Duration{}
	for _, part := range a.Parts {
		out[part.Cause] += part.Took
	}
	return out
}
