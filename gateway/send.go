package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"
)

type (
	// target is the next hop of an attempt: an instance or another daemon.
	target struct {
		address string
		grant   *grant // nil for another daemon
	}

	// attempt is the result of sending a request once.
	attempt struct {
		resp *http.Response // nil if err is set
		err  error
		// mayHaveSent means that a byte of the request may have been sent.
		mayHaveSent bool
	}

	// connTracker records which connection an attempt used.
	connTracker struct {
		conn         *trackedConn
		writesBefore uint64 // writes on conn before the attempt
	}
)

// newTransport returns the transport for requests to upstreams and daemons. It
// uses no proxy and does not change encodings. lowercaseKeyHeader and
// singleUseBody keep it from repeating requests.
func newTransport(cfg Config) *http.Transport {
	return &http.Transport{
		DialContext:         trackedDial(cfg.DialTimeout),
		MaxIdleConnsPerHost: cfg.IdlePerInstance,
		MaxConnsPerHost:     cfg.ConnsPerInstance,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}
}

// send makes one attempt.
func (g *Gateway) send(ctx context.Context, ex *exchange, to target) attempt {
	var track connTracker
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: track.gotConn})
	resp, err := g.transport.RoundTrip(ex.nextHopRequest(ctx, to))
	if err != nil {
		return attempt{err: err, mayHaveSent: track.mayHaveSent()}
	}
	return attempt{resp: resp, mayHaveSent: true}
}

// gotConn records the connection. The transport may call it again with another
// one, but only if it wrote nothing to the first.
func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	if conn, ok := info.Conn.(*trackedConn); ok {
		t.conn, t.writesBefore = conn, conn.writeCount()
	}
}

// mayHaveSent reports whether a byte may have been sent, and seals the
// connection so that none can be sent later.
func (t *connTracker) mayHaveSent() bool {
	return t.conn != nil && t.conn.seal() != t.writesBefore
}

// nextHopRequest builds the request for the next hop.
func (ex *exchange) nextHopRequest(ctx context.Context, to target) *http.Request {
	in := ex.in
	header := forwardableHeader(in.Header)
	header.Set(HeaderRequest, ex.id)
	header.Set("X-Forwarded-For", forwardedFor(in))
	if to.grant == nil {
		ex.setRelayHeaders(ctx, header)
	} else {
		header.Del(HeaderHop)
		header.Set(HeaderJob, string(ex.job))
	}
	lowercaseKeyHeader(header)
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = nil // else net/http sets its own
	}
	out := &http.Request{
		Method:        in.Method,
		URL:           &url.URL{Scheme: "http", Host: to.address, Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery},
		Host:          in.Host,
		Header:        header,
		ContentLength: ex.body.length,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if ex.body.length != 0 || usuallyWithoutBody(in.Method) {
		out.Body = ex.body.open()
	}
	return out.WithContext(ctx)
}

// setRelayHeaders sets the headers for another daemon, with the remaining time.
func (ex *exchange) setRelayHeaders(ctx context.Context, header http.Header) {
	header.Set(HeaderHop, "1")
	header.Set(HeaderClass, string(ex.class))
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(HeaderTimeout, max(time.Until(deadline), time.Millisecond).String())
	}
}

// usuallyWithoutBody reports whether net/http probes an empty body of the
// method instead of sending it as chunked. For these methods, an empty
// singleUseBody keeps the transport from repeating a request. Others (POST,
// PUT, PATCH) get no body: the transport repeats them only if they have an
// idempotency key; see lowercaseKeyHeader.
func usuallyWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodDelete, http.MethodOptions:
		return true
	}
	return false
}

func forwardedFor(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	if prior := r.Header.Get("X-Forwarded-For"); prior != "" {
		return prior + ", " + host
	}
	return host
}
