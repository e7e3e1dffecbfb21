package standin

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// Recorder records each run of a request before its work begins, so that
	// duplicate runs and lost requests are counted even if the upstream is killed.
	Recorder struct {
		mu   sync.Mutex
		out  io.Writer // nil to keep the records in memory only
		runs Runs
	}

	// Runs maps request IDs to their numbers of runs.
	Runs map[string]int
)

// NewRecorder returns a recorder that also writes a line per run to out, if not nil.
func NewRecorder(out io.Writer) *Recorder { return &Recorder{out: out, runs: Runs{}} }

// Record records a run.
func (r *Recorder) Record(request string, instance tw.InstanceID, job tw.JobID) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[request]++
	if r.out == nil {
		return nil
	}
	_, err := fmt.Fprintf(r.out, "%s %s %s %d\n", request, instance, job, time.Now().UnixMilli())
	return err
}

// Runs returns a copy of the recorded counts.
func (r *Recorder) Runs() Runs {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Runs{}
	for id, n := range r.runs {
		out[id] = n
	}
	return out
}

// ReadRuns sums the runs in record files. It skips a line that is cut off within its
// request ID.
func ReadRuns(paths []string) (Runs, error) {
	out := Runs{}
	for _, path := range paths {
		if err := out.read(path); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (r Runs) read(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "standin.ReadRuns")
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if id, _, ok := strings.Cut(lines.Text(), " "); ok {
			r[id]++
		}
	}
	return errors.Wrap(lines.Err(), "standin.ReadRuns")
}
