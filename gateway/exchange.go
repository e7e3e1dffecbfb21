package gateway

import (
	"crypto/rand"
	"net"
	"net/http"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

// exchange is one caller's request and its state in the gateway.
type exchange struct {
	id         string
	in         *http.Request
	job        tw.JobID
	class      tw.Class
	team       tw.TeamID
	repeatable bool
	timeout    time.Duration
	key        string // idempotency key, or ""
	relayed    bool   // received from another daemon
	body       payload
	tried      map[tw.InstanceID]bool
}

// newExchange routes a request and validates its headers. The exchange is not
// nil, also for a refused request.
func (g *Gateway) newExchange(r *http.Request) (*exchange, *Refusal) {
	ex := &exchange{id: requestID(r), in: r, tried: map[tw.InstanceID]bool{}}
	if refusal := checkProtocol(r); refusal != nil {
		return ex, refusal
	}
	if headerSize(r) > g.cfg.MaxHeader {
		return ex, notRunRefusal(ReasonHeaderTooLarge, "the header is over the limit")
	}
	config := g.config()
	if config == nil {
		return ex, notRunRetryAfter(ReasonNoConfiguration, retryAfterPromotion, "this daemon has no configuration yet")
	}
	route := findRoute(config, hostOf(r), r.URL.Path)
	if route == nil {
		return ex, notRunRefusal(ReasonUnknownRoute, "no service has a route for this host and path")
	}
	ex.job, ex.class, ex.timeout = route.Job, route.Class, route.Timeout.Std()
	ex.repeatable = route.MayRepeat(r.Method)
	ex.relayed = r.Header.Get(HeaderHop) != ""
	return ex, ex.readHeaders(config)
}

func (ex *exchange) readHeaders(config *tw.FleetConfig) *Refusal {
	h := ex.in.Header
	if class := tw.Class(h.Get(HeaderClass)); class != "" {
		if !class.Valid() {
			return notRunRefusal(ReasonBadClass, HeaderClass+" must be quick, normal or long")
		}
		ex.class = lessUrgent(ex.class, class)
	}
	if text := h.Get(HeaderTimeout); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil || timeout <= 0 {
			return notRunRefusal(ReasonBadTimeout, HeaderTimeout+` must be a positive duration such as "800ms"`)
		}
		ex.timeout = min(ex.timeout, timeout)
	}
	ex.team = tw.TeamID(h.Get(HeaderTeam))
	if ex.team != "" && findTeam(config, ex.team) == nil {
		return notRunRefusal(ReasonBadTeam, "there is no such team")
	}
	keys := h.Values(HeaderKey)
	if len(keys) > 1 || len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxKeyLength) {
		return notRunRefusal(ReasonBadKey, HeaderKey+" must be there once, with 1 to 255 bytes")
	}
	if len(keys) == 1 {
		ex.key = keys[0]
	}
	return nil
}

func checkProtocol(r *http.Request) *Refusal {
	switch {
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace || r.Header.Get("Upgrade") != "":
		return notRunRefusal(ReasonBadMethod, "CONNECT, TRACE and upgrades are not served")
	case !r.ProtoAtLeast(1, 1):
		// An HTTP/1.0 caller could not tell a truncated response from a
		// complete one.
		return notRunRefusal(ReasonBadVersion, "HTTP/1.1 is needed")
	}
	return nil
}

// headerSize is the approximate size of the header on the wire. The server has
// a larger limit of its own, above which it answers 431 without a reason.
func headerSize(r *http.Request) tw.Bytes {
	const separators = 4 // ": " and CRLF
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return tw.Bytes(size)
}

// findRoute returns the matching route with the longest path, or nil. Routes
// with a host take precedence over routes for any host.
func findRoute(config *tw.FleetConfig, host, path string) *tw.Route {
	var best *tw.Route
	for i := range config.Services {
		for j := range config.Services[i].Routes {
			r := &config.Services[i].Routes[j]
			if r.Matches(host, path) && (best == nil || moreSpecific(r, best)) {
				best = r
			}
		}
	}
	return best
}

func moreSpecific(a, b *tw.Route) bool {
	if (a.Host != "") != (b.Host != "") {
		return a.Host != ""
	}
	return len(a.Path) > len(b.Path)
}

func findTeam(config *tw.FleetConfig, id tw.TeamID) *tw.Team {
	for i := range config.Teams {
		if config.Teams[i].ID == id {
			return &config.Teams[i]
		}
	}
	return nil
}

// lessUrgent returns the less urgent class, so that a caller cannot get a more
// urgent one than its route's.
func lessUrgent(a, b tw.Class) tw.Class {
	if rank(a) > rank(b) {
		return a
	}
	return b
}

func rank(c tw.Class) int {
	switch c {
	case tw.ClassQuick:
		return 0
	case tw.ClassNormal:
		return 1
	}
	return 2
}

func hostOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.Host)
	if err != nil {
		return r.Host
	}
	return host
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequest); id != "" && len(id) <= maxKeyLength {
		return id
	}
	return rand.Text()
}
