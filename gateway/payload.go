package gateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
)

type (
	// payload is a request's body: buffered if small, otherwise streamed once.
	payload struct {
		buffered []byte    // the complete body, or its beginning
		rest     io.Reader // what follows the buffered part; nil if that is complete
		length   int64     // -1 if unknown
		consumed bool      // rest was passed to an attempt
	}

	// singleUseBody keeps net/http from repeating a request: the body is not
	// nil, and there is no GetBody.
	singleUseBody struct{ io.Reader }
)

// Close does nothing: the server closes the caller's body.
func (singleUseBody) Close() error { return nil }

// readPayload reads a body before a slot is acquired, so that a slow caller
// does not hold one. Of a body larger than MaxBufferedBody, it reads only the
// beginning.
func (g *Gateway) readPayload(w http.ResponseWriter, r *http.Request) (payload, *Refusal) {
	limit := int64(g.cfg.MaxBody)
	if r.ContentLength > limit {
		return payload{}, notRunRefusal(ReasonBodyTooLarge, "the body is over the limit")
	}
	if r.Body == nil || r.ContentLength == 0 {
		return payload{}, nil
	}
	r.Body = http.MaxBytesReader(w, r.Body, limit)
	buffered, err := io.ReadAll(io.LimitReader(r.Body, int64(g.cfg.MaxBufferedBody)+1))
	if err != nil {
		return payload{}, bodyRefusal(err)
	}
	if int64(len(buffered)) <= int64(g.cfg.MaxBufferedBody) {
		return payload{buffered: buffered, length: int64(len(buffered))}, nil
	}
	return payload{buffered: buffered, rest: r.Body, length: r.ContentLength}, nil
}

func bodyRefusal(err error) *Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRunRefusal(ReasonBodyTooLarge, "the body is over the limit")
	}
	return notRunRefusal(ReasonBadBody, "the body could not be read")
}

// replayable reports whether the body can be sent (again).
func (p *payload) replayable() bool { return p.rest == nil || !p.consumed }

// open returns the body for one attempt.
func (p *payload) open() io.ReadCloser {
	if p.rest == nil {
		return singleUseBody{bytes.NewReader(p.buffered)}
	}
	p.consumed = true
	return singleUseBody{io.MultiReader(bytes.NewReader(p.buffered), p.rest)}
}

// digest identifies the request, to detect that an idempotency key is reused
// for a different request.
func (ex *exchange) digest() string {
	hash := sha256.New()
	for _, part := range []string{ex.in.Method, hostOf(ex.in), ex.in.URL.RequestURI()} {
		_, _ = io.WriteString(hash, part+"\n") // a hash never fails
	}
	_, _ = hash.Write(ex.body.buffered)
	return hex.EncodeToString(hash.Sum(nil))
}

// scope qualifies the idempotency key by team and job, as two teams may use the
// same key.
func (ex *exchange) scope(job tw.JobID) string {
	return string(ex.team) + "\n" + string(job) + "\n" + ex.key
}
