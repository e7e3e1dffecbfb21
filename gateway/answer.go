package gateway

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

type (
	// forwardResult says how passing an answer on ended.
	forwardResult int

	// errorTrackingReader remembers that reading failed, to tell a lost upstream
	// from a caller that has gone.
	errorTrackingReader struct {
		io.Reader
		failed bool
	}
)

const (
	forwardDone      forwardResult = iota // all of it, or its caller has gone
	forwardNothing                        // cut before anything was passed on
	forwardTruncated                      // cut after a part was passed on
)

// maxBufferedResponse is read whole before any of it is passed on, so that a slow
// caller does not hold a slot, and a cut small answer can still be refused.
const maxBufferedResponse = 64 << 10

// forwardResponse copies a response to the caller. It calls free when the upstream has
// nothing more to say.
func forwardResponse(w http.ResponseWriter, resp *http.Response, free func()) forwardResult {
	defer resp.Body.Close()
	body := &errorTrackingReader{Reader: resp.Body}
	head, err := io.ReadAll(io.LimitReader(body, maxBufferedResponse))
	if err != nil {
		return forwardNothing
	}
	whole := len(head) < maxBufferedResponse
	if whole {
		free()
	}
	copyHeader(w.Header(), resp)
	w.WriteHeader(resp.StatusCode)
	if _, err := w.Write(head); err != nil || whole {
		return forwardDone
	}
	if _, err := io.Copy(w, body); err != nil && body.failed {
		return forwardTruncated
	}
	return forwardDone
}

// Read reads and remembers a failure.
func (r *errorTrackingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		r.failed = true
	}
	return n, err
}

func copyHeader(out http.Header, resp *http.Response) {
	for name, values := range forwardableHeader(resp.Header) {
		out[name] = values
	}
	if out.Get(HeaderOutcome) == "" {
		out.Set(HeaderOutcome, string(Answered))
	}
}
