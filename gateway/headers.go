package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers between callers, daemons and upstreams. Their names are defined only
// here.
const (
	HeaderTeam    = "Tamarind-Team"    // caller: its team
	HeaderClass   = "Tamarind-Class"   // caller: quick, normal or long
	HeaderTimeout = "Tamarind-Timeout" // caller: for example "800ms"; can only shorten the route's
	HeaderKey     = "Idempotency-Key"  // caller: at most one run per key
	HeaderRequest = "X-Request-Id"     // caller, or daemon if absent: identifies the request
	HeaderHop     = "Tamarind-Hop"     // daemon to daemon: not to be relayed again
	HeaderJob     = "Tamarind-Job"     // daemon to upstream: the job to run
	HeaderOutcome = "Tamarind-Outcome" // responses: see Outcome
	HeaderReason  = "Tamarind-Reason"  // refusals: see Reason
)

// maxKeyLength is the maximum length of an idempotency key or a request ID, in
// bytes.
const maxKeyLength = 255

// hopByHop lists the headers that must not be forwarded (RFC 9110, section
// 7.6.1, and the IANA registry of field names).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardableHeader returns a copy of the headers without the hop-by-hop ones.
func forwardableHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, value := range in["Connection"] {
		for _, name := range strings.Split(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// lowercaseKeyHeader changes the name of the idempotency key's header to lower
// case. net/http repeats a request on its own if its header map has the
// canonical "Idempotency-Key" (Request.isReplayable). On the wire, names ignore
// case.
func lowercaseKeyHeader(h http.Header) {
	for _, name := range []string{HeaderKey, "X-" + HeaderKey} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}
