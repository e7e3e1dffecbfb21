package gateway

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

type (
	// answerState says how passing an answer on ended.
	answerState int

	// watchedReader remembers that reading failed, to tell a lost upstream
	// from a caller that has gone.
	watchedReader struct {
		io.Reader
		failed bool
	}
)

const (
	answerPassed  answerState = iota // all of it, or its caller has gone
	answerNothing                    // cut before anything was passed on
	answerCut                        // cut after a part was passed on
)

// smallAnswer is read whole before any of it is passed on, so that a slow
// caller does not hold a slot, and a cut small answer can still be refused.
const smallAnswer = 64 << 10

// passOn copies a response to the caller. It calls free when the upstream has
// nothing more to say.
func passOn(w http.ResponseWriter, resp *http.Response, free func()) answerState {
	defer resp.Body.Close()
	body := &watchedReader{Reader: resp.Body}
	head, err := io.ReadAll(io.LimitReader(body, smallAnswer))
	if err != nil {
		return answerNothing
	}
	whole := len(head) < smallAnswer
	if whole {
		free()
	}
	copyHeader(w.Header(), resp)
	w.WriteHeader(resp.StatusCode)
	if _, err := w.Write(head); err != nil || whole {
		return answerPassed
	}
	if _, err := io.Copy(w, body); err != nil && body.failed {
		return answerCut
	}
	return answerPassed
}

// Read reads and remembers a failure.
func (r *watchedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		r.failed = true
	}
	return n, err
}

func copyHeader(out http.Header, resp *http.Response) {
	for name, values := range forwarded(resp.Header) {
		out[name] = values
	}
	if out.Get(HeaderOutcome) == "" {
		out.Set(HeaderOutcome, string(Answered))
	}
}
