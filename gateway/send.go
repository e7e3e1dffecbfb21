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
	// target is where an attempt goes: an instance or another daemon.
	target struct {
		address string
		grant   *grant // nil for another daemon
	}

	// attempt is one try at a request and what came of it.
	attempt struct {
		resp *http.Response // nil if err is not
		err  error
		// mayHaveSent says that a byte of the request may have left.
		mayHaveSent bool
	}

	// tracker follows an attempt's connection.
	tracker struct {
		conn         *trackedConn
		writesBefore uint64
	}
)

// newTransport makes the one transport to upstreams and daemons. It neither
// follows a proxy nor changes encodings; see hideKey and onceBody for how it
// is kept from repeating requests.
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
	var track tracker
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: track.gotConn})
	resp, err := g.transport.RoundTrip(ex.nextHopRequest(ctx, to))
	if err != nil {
		return attempt{err: err, mayHaveSent: track.mayHaveSent()}
	}
	return attempt{resp: resp, mayHaveSent: true}
}

// gotConn notes the connection. The transport may call it again for another one,
// but only if it wrote nothing to the first.
func (t *tracker) gotConn(info httptrace.GotConnInfo) {
	if conn, ok := info.Conn.(*trackedConn); ok {
		t.conn, t.writesBefore = conn, conn.writeCount()
	}
}

// mayHaveSent tells whether a byte may have left, and makes sure that none still can.
func (t *tracker) mayHaveSent() bool {
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
		header["User-Agent"] = nil // or net/http adds its own
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

// setRelayHeaders tells the next daemon what is left of the time.
func (ex *exchange) setRelayHeaders(ctx context.Context, header http.Header) {
	header.Set(HeaderHop, "1")
	header.Set(HeaderClass, string(ex.class))
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(HeaderTimeout, max(time.Until(deadline), time.Millisecond).String())
	}
}

// usuallyWithoutBody tells for which methods net/http looks into an empty
// body instead of announcing it as chunked. For these an empty onceBody keeps
// the transport from repeating a request; for others (POST, PUT, PATCH) no
// body at all does, as it repeats those only by their key; see hideKey.
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
