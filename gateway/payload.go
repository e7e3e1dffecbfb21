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
	// payload is a request's body: in memory if small, else read once.
	payload struct {
		buffered []byte    // all of it, or its beginning
		rest     io.Reader // what follows held; nil if held is all
		length   int64     // -1 if not told
		consumed bool      // rest was given away
	}

	// singleUseBody hides what net/http could use to repeat a request: it is not
	// nil, and there is no GetBody beside it.
	singleUseBody struct{ io.Reader }
)

// Close is there for io.ReadCloser; the server owns the caller's connection.
func (singleUseBody) Close() error { return nil }

// readPayload takes in a body before any slot is held for it, so that a slow
// caller holds up nobody.
func (g *Gateway) readPayload(w http.ResponseWriter, r *http.Request) (payload, *Refusal) {
	limit := int64(g.cfg.MaxBody)
	if r.ContentLength > limit {
		return payload{}, notRunRefusal(ReasonBodyTooLarge, "the body is over the limit")
	}
	if r.Body == nil || r.ContentLength == 0 {
		return payload{}, nil
	}
	r.Body = http.MaxBytesReader(w, r.Body, limit)
	held, err := io.ReadAll(io.LimitReader(r.Body, int64(g.cfg.MaxBufferedBody)+1))
	if err != nil {
		return payload{}, bodyRefusal(err)
	}
	if int64(len(held)) <= int64(g.cfg.MaxBufferedBody) {
		return payload{buffered: held, length: int64(len(held))}, nil
	}
	return payload{buffered: held, rest: r.Body, length: r.ContentLength}, nil
}

func bodyRefusal(err error) *Refusal {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRunRefusal(ReasonBodyTooLarge, "the body is over the limit")
	}
	return notRunRefusal(ReasonBadBody, "the body could not be read")
}

// replayable tells whether the body can be sent once more.
func (p *payload) replayable() bool { return p.rest == nil || !p.consumed }

// open gives the body for one attempt.
func (p *payload) open() io.ReadCloser {
	if p.rest == nil {
		return singleUseBody{bytes.NewReader(p.buffered)}
	}
	p.consumed = true
	return singleUseBody{io.MultiReader(bytes.NewReader(p.buffered), p.rest)}
}

// digest tells two requests under one idempotency key apart.
func (ex *exchange) digest() string {
	sum := sha256.New()
	for _, part := range []string{ex.in.Method, hostOf(ex.in), ex.in.URL.RequestURI()} {
		_, _ = io.WriteString(sum, part+"\n") // a hash never fails
	}
	_, _ = sum.Write(ex.body.buffered)
	return hex.EncodeToString(sum.Sum(nil))
}

// scope is whose key it is. Two teams may use the same one.
func (ex *exchange) scope(job tw.JobID) string {
	return string(ex.team) + "\n" + string(job) + "\n" + ex.key
}
