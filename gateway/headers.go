package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers between callers, daemons and upstreams. This file is all that knows
// their names.
const (
	HeaderTeam    = "Tamarind-Team"    // caller: its team
	HeaderClass   = "Tamarind-Class"   // caller: quick, normal or long
	HeaderTimeout = "Tamarind-Timeout" // caller: "800ms"; shorter than the route's
	HeaderKey     = "Idempotency-Key"  // caller: one run for one key
	HeaderRequest = "X-Request-Id"     // caller or daemon
	HeaderHop     = "Tamarind-Hop"     // daemon to daemon: do not relay again
	HeaderJob     = "Tamarind-Job"     // daemon to upstream: the job to run
	HeaderOutcome = "Tamarind-Outcome" // answers: see Outcome
	HeaderReason  = "Tamarind-Reason"  // refusals: see Reason
)

// maxKey bounds an idempotency key in bytes.
const maxKey = 255

// hopByHop is what RFC 9110, section 7.6.1 and its registry keep to one hop.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwardableHeader copies the headers that go on to the next hop.
func forwardableHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, line := range in["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// lowercaseKeyHeader spells the idempotency key's header in lower case. net/http repeats
// a request on its own if it finds "Idempotency-Key" in that very spelling
// (Request.isReplayable); on the wire, case means nothing.
func lowercaseKeyHeader(h http.Header) {
	for _, name := range []string{HeaderKey, "X-" + HeaderKey} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}
