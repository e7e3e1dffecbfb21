package queue

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/member"
	"github.com/tamarindworks/tamarindworks/run"
)

type (
	// Codec reads what callers send and writes what they are told. The
	// platform's adapter implements it.
	Codec interface {
		ParseID(text string) (tw.SubmissionID, bool)
		DecodeSubmission(body []byte) (tw.Submission, error)
		Timeout(r *http.Request) time.Duration
		// Key is the key that a request brings; false if it brings none, or several.
		Key(r *http.Request) (string, bool)
		// Challenge names what a request without a key that counts lacks.
		Challenge() string
		EncodeState(state tw.SubmissionState) []byte
		EncodeWaitingCount(count int) []byte
	}

	// HandlerConfig configures a Handler.
	HandlerConfig struct {
		Router *Router
		Codec  Codec
		// Config is the configuration in force; nil if there is none yet.
		Config func() *tw.QueueConfig
		// RequireKeys: the deployment has organisations, whose callers show a key.
		RequireKeys bool
		Clock       tw.Clock
		Log         *zap.Logger
		Metrics     *metrics.Set
	}

	// Handler serves callers.
	Handler struct{ HandlerConfig }

	// target is what a request is for, and from whom.
	target struct {
		config *tw.QueueConfig
		route  *tw.QueueRoute
		// caller is who calls; nil for nobody.
		caller *tw.Organisation
	}
)

const (
	// answerMargin is left of a caller's time when a request is given up, for
	// the way of the answer.
	answerMargin = 200 * time.Millisecond
	// minRequestTime is what a request is given however little its caller says.
	minRequestTime = 100 * time.Millisecond
	// retryAfter tells callers when to come back, in seconds: outages of the
	// store and changes of owners last about so long.
	retryAfter = "1"
	// capRetryAfter is the same for what only another configuration allows.
	capRetryAfter = "30"
	// defaultBodyLimit holds until the configuration names one.
	defaultBodyLimit = 1 << 20
)

// New makes the handler.
func (c HandlerConfig) New() *Handler { return &Handler{HandlerConfig: c} }

// submissionRequest is the question for a submission of the caller's.
func (t target) submissionRequest(id tw.SubmissionID) member.SubmissionRequest {
	return member.SubmissionRequest{Pool: t.route.Policy.Pool, ID: id, Organisation: t.organisation()}
}

// organisation is who calls; empty for nobody.
func (t target) organisation() tw.OrganisationID {
	if t.caller == nil {
		return ""
	}
	return t.caller.ID
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	config := h.Config()
	if config == nil {
		h.refuse(w, r, http.StatusServiceUnavailable, "no configuration yet")
		return
	}
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	route := config.Route(host, r.URL.Path)
	if route == nil {
		h.refuse(w, r, http.StatusNotFound, "no such route")
		return
	}
	caller, known := h.caller(r, config, route)
	if !known {
		// It says the same of a key that is missing, taken away or never was one.
		w.Header().Set("WWW-Authenticate", h.Codec.Challenge())
		h.refuse(w, r, http.StatusUnauthorized, "no valid key")
		return
	}
	if limit := config.Limits.Header; limit > 0 && headerBytes(r) > limit {
		h.refuse(w, r, http.StatusRequestHeaderFieldsTooLarge, "header over the limit")
		return
	}
	allowed := h.Codec.Timeout(r)
	if route.Timeout > 0 {
		allowed = min(allowed, route.Timeout)
	}
	ctx, cancel := context.WithTimeout(r.Context(), max(minRequestTime, allowed-answerMargin))
	defer cancel()
	h.serve(ctx, w, r, target{config: config, route: route, caller: caller})
}

// caller is the organisation that a request comes from: nobody where no key is asked
// for. It is false for a request whose key opens nothing.
func (h *Handler) caller(r *http.Request, config *tw.QueueConfig, route *tw.QueueRoute) (*tw.Organisation, bool) {
	if !h.RequireKeys || route.Public {
		return nil, true
	}
	key, single := h.Codec.Key(r)
	if !single {
		return nil, false
	}
	organisation := config.OrganisationOf(key)
	return organisation, organisation != nil
}

func (h *Handler) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, t target) {
	rest := strings.TrimPrefix(r.URL.Path, t.route.Prefix)
	if rest == "" && r.Method == http.MethodGet {
		h.count(ctx, w, r, t.route)
		return
	}
	id, valid := h.Codec.ParseID(rest)
	if !valid {
		h.refuse(w, r, http.StatusBadRequest, "the path does not end with an id of 16 hex digits")
		return
	}
	switch r.Method {
	case http.MethodPost:
		h.submit(ctx, w, r, t, id)
	case http.MethodGet:
		h.state(ctx, w, r, t, id)
	case http.MethodDelete:
		h.cancel(ctx, w, r, t, id)
	default:
		w.Header().Set("Allow", "POST, GET, DELETE")
		h.refuse(w, r, http.StatusMethodNotAllowed, "method not allowed")
	}
}

func (h *Handler) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, t target, id tw.SubmissionID) {
	body, err := readBody(w, r, t.config.Limits.Body)
	if err != nil {
		h.refuseBody(w, r, err)
		return
	}
	s, err := h.Codec.DecodeSubmission(body)
	if err != nil {
		h.refuse(w, r, http.StatusBadRequest, err.Error())
		return
	}
	s.ID = id
	s.Organisation = t.organisation()
	s.Policy = t.route.Policy
	s.Accepted = h.Clock.Now()
	if t.caller != nil && !t.caller.Fits(&s) && !h.Router.Stored(ctx, &s) {
		w.Header().Set("Retry-After", capRetryAfter)
		h.refuse(w, r, http.StatusServiceUnavailable, "not taken: a gang of it asks for more than the organisation's usage cap")
		return
	}
	began := h.Clock.Now()
	err = h.Router.Submit(ctx, s)
	h.Metrics.GetOrCreateHistogram("tamarind_submit_seconds").Update(h.Clock.Now().Sub(began).Seconds())
	switch {
	case err == nil:
		h.answer(w, r, h.Codec.EncodeState(tw.SubmissionWaiting))
	case notApplied(err):
		if busy := (*run.BusyError)(nil); errors.As(err, &busy) {
			w.Header().Set("Retry-After", wholeSeconds(busy.RetryAfter))
		}
		h.refuse(w, r, http.StatusServiceUnavailable, "not taken: "+err.Error())
	default:
		h.refuse(w, r, http.StatusGatewayTimeout, "it is unclear whether it was taken: "+err.Error())
	}
}

func (h *Handler) state(ctx context.Context, w http.ResponseWriter, r *http.Request, t target, id tw.SubmissionID) {
	state, err := h.Router.State(ctx, t.submissionRequest(id))
	switch {
	case err == nil:
		h.answer(w, r, h.Codec.EncodeState(state))
	case errors.Is(err, run.ErrUnknownSubmission):
		h.refuse(w, r, http.StatusGone, "no such submission")
	default:
		h.refuse(w, r, http.StatusServiceUnavailable, "state not known at present: "+err.Error())
	}
}

func (h *Handler) cancel(ctx context.Context, w http.ResponseWriter, r *http.Request, t target, id tw.SubmissionID) {
	err := h.Router.Cancel(ctx, t.submissionRequest(id))
	switch {
	case err == nil:
		h.answer(w, r, h.Codec.EncodeState(tw.SubmissionCancelled))
	case errors.Is(err, run.ErrUnknownSubmission):
		h.refuse(w, r, http.StatusGone, "no such submission")
	default:
		h.refuse(w, r, http.StatusGatewayTimeout, "it is unclear whether it is cancelled: "+err.Error())
	}
}

func (h *Handler) count(ctx context.Context, w http.ResponseWriter, r *http.Request, route *tw.QueueRoute) {
	count, err := h.Router.Waiting(ctx, route.Policy.Pool, route.Policy.Route)
	if err != nil {
		h.refuse(w, r, http.StatusServiceUnavailable, "count not known at present: "+err.Error())
		return
	}
	h.answer(w, r, h.Codec.EncodeWaitingCount(count))
}

func (h *Handler) answer(w http.ResponseWriter, r *http.Request, body []byte) {
	h.Metrics.GetOrCreateCounter(`tamarind_requests_total{method="` + r.Method + `",status="200"}`).Inc()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // a caller that is gone needs no answer
}

// refuse answers that a request was not served, and says why.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, status int, why string) {
	h.Metrics.GetOrCreateCounter(`tamarind_requests_total{method="` + r.Method + `",status="` + strconv.Itoa(status) + `"}`).Inc()
	h.Log.Info("request: refused", zap.String("method", r.Method), zap.String("host", r.Host),
		zap.String("path", r.URL.Path), zap.Int("status", status), zap.String("why", why))
	if status == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	if h.Router.Members.Isolated() {
		// The balancer sends the caller's next connection to another hall.
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, `{"title":`+strconv.Quote(http.StatusText(status))+`,"detail":`+strconv.QuoteToASCII(why)+`}`)
}

// wholeSeconds rounds a time to come back after up, to at least one second.
func wholeSeconds(d time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(d.Seconds()))))
}

func (h *Handler) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		h.refuse(w, r, http.StatusRequestEntityTooLarge, "body over the limit")
		return
	}
	h.refuse(w, r, http.StatusBadRequest, "body not readable")
}

func readBody(w http.ResponseWriter, r *http.Request, limit tw.Bytes) ([]byte, error) {
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
}

// headerBytes is about what the header took on the wire.
func headerBytes(r *http.Request) tw.Bytes {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return tw.Bytes(n)
}
