package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

// orderBody holds the fields of all orders in the platform's published protocol.
type orderBody struct {
	Task       string          `json:"task"`
	Run        tw.RunNumber    `json:"run"`
	Spec       string          `json:"spec"`
	Deadline   tw.WorkerTime   `json:"deadlineMs"`
	Fence      tw.FencingToken `json:"fencingToken"`
	Checkpoint tw.Checkpoint   `json:"checkpoint"`
	Ticket     string          `json:"ticket"`
	LastSeen   int64           `json:"lastSeen"`
	WaitMs     int64           `json:"waitMs"`
	Percent    int             `json:"percent"`
}

// refusalNames are the names of refusals in the platform's protocol.
var refusalNames = map[tw.RefusalReason]string{
	tw.RefusedStaleFence: "fence", tw.RefusedStaleRun: "old", tw.RefusedDeadlinePassed: "late", tw.RefusedNoCapacity: "room", tw.RefusedTicket: "ticket",
}

// Handler serves one worker over the platform's published protocol.
func (f *Fleet) Handler(id tw.WorkerID) http.Handler {
	f.mu.Lock()
	ref := f.workers[id].Entry.Ref()
	f.mu.Unlock()
	mux := http.NewServeMux()
	serve := func(path string, do func(r *http.Request, body orderBody, task tw.SubtaskID) (any, tw.WorkerTime, error)) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			if expected := r.Header.Get("Tamarindworks-Expect-Instance"); expected != string(id) {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			var body orderBody
			if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			answer, clock, err := do(r, body, parseTask(body.Task))
			f.writeResponse(w, answer, clock, err)
		})
	}
	serve("/api/run-start", func(r *http.Request, b orderBody, task tw.SubtaskID) (any, tw.WorkerTime, error) {
		clock, err := f.Start(r.Context(), ref, tw.StartOrder{
			Subtask: task, Run: b.Run, Spec: b.Spec, Checkpoint: b.Checkpoint, Ticket: b.Ticket, Deadline: b.Deadline, Fence: b.Fence,
		})
		return nil, clock, err
	})
	serve("/api/run-stop", func(r *http.Request, b orderBody, task tw.SubtaskID) (any, tw.WorkerTime, error) {
		clock, err := f.Stop(r.Context(), ref, tw.StopOrder{Subtask: task, Run: b.Run, Fence: b.Fence})
		return nil, clock, err
	})
	serve("/api/pace", func(r *http.Request, b orderBody, task tw.SubtaskID) (any, tw.WorkerTime, error) {
		clock, err := f.Pace(r.Context(), ref, tw.PaceOrder{Subtask: task, Run: b.Run, Percent: b.Percent, Fence: b.Fence})
		return nil, clock, err
	})
	serve("/api/hold", func(r *http.Request, b orderBody, _ tw.SubtaskID) (any, tw.WorkerTime, error) {
		report, err := f.Hold(r.Context(), ref, tw.HoldOrder{
			Fence: b.Fence, AckedSequence: b.LastSeen, Deadline: b.Deadline, Wait: time.Duration(b.WaitMs) * time.Millisecond,
		})
		return reportBody(report), report.Clock, err
	})
	return mux
}

func (f *Fleet) writeResponse(w http.ResponseWriter, answer any, clock tw.WorkerTime, err error) {
	var refused *tw.OrderRefusedError
	switch {
	case err == nil && answer != nil:
		writeJSON(w, http.StatusOK, answer)
	case err == nil:
		writeJSON(w, http.StatusOK, map[string]any{"clockMs": clock})
	case errors.As(err, &refused):
		writeJSON(w, http.StatusConflict, map[string]any{"clockMs": refused.Clock, "reason": refusalNames[refused.Reason]})
	default:
		panic(http.ErrAbortHandler)
	}
}

func reportBody(report tw.HoldReport) any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range report.Running {
		running = append(running, []any{r.Subtask.String(), r.Run, r.Checkpoint, r.Percent, r.TailLatency.Milliseconds()})
	}
	for _, e := range report.Ended {
		ended = append(ended, []any{e.Sequence, e.Subtask.String(), e.Run, e.Kind, e.Checkpoint})
	}
	return map[string]any{"clockMs": report.Clock, "running": running, "ended": ended}
}

// parseTask parses a subtask's name. An invalid name gives the zero SubtaskID, which
// belongs to no submission.
func parseTask(name string) tw.SubtaskID {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return tw.SubtaskID{}
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil {
			return tw.SubtaskID{}
		}
		numbers[i] = n
	}
	return tw.SubtaskID{
		Submission: tw.SubmissionID(parts[0]), Repetition: numbers[0], Step: numbers[1], Index: numbers[2],
	}
}
