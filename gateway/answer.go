package gateway

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

type (
	// forwardResult says how forwarding a response ended.
	forwardResult int

	// errorTrackingReader records read errors, to tell a lost upstream from a
	// caller that has gone.
	errorTrackingReader struct {
		io.Reader
		failed bool
	}
)

const (
	forwardDone      forwardResult = iota // complete, or the caller has gone
	forwardNothing                        // upstream lost before anything was forwarded
	forwardTruncated                      // upstream lost after a part was forwarded
)

// maxBufferedResponse is the size in bytes below which a response is read
// completely before it is forwarded: a slow caller then holds no slot, and a
// truncated response can still be replaced by a refusal.
const maxBufferedResponse = 64 << 10

// forwardResponse copies a response to the caller. It calls free once the
// response is completely buffered, if it is small enough.
func forwardResponse(w http.ResponseWriter, resp *http.Response, free func()) forwardResult {
	defer resp.Body.Close()
	body := &errorTrackingReader{Reader: resp.Body}
	head, err := io.ReadAll(io.LimitReader(body, maxBufferedResponse))
	if err != nil {
		return forwardNothing
	}
	complete := len(head) < maxBufferedResponse
	if complete {
		free()
	}
	copyHeader(w.Header(), resp)
	w.WriteHeader(resp.StatusCode)
	if _, err := w.Write(head); err != nil || complete {
		return forwardDone
	}
	if _, err := io.Copy(w, body); err != nil && body.failed {
		return forwardTruncated
	}
	return forwardDone
}

// Read implements io.Reader.
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
