package gateway

import (
	"context"
	"net/http"
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// relay forwards a request to another daemon, over at most one hop. Daemons of
// this hall that have slots for the job are tried first, then other halls.
func (g *Gateway) relay(ctx context.Context, w http.ResponseWriter, ex *exchange) *Refusal {
	noInstance := notRunRetryAfter(ReasonNoInstance, retryAfterPromotion, "no instance carries the job now")
	if ex.relayed {
		return noInstance
	}
	if g.relaysInFlight.Add(1) > maxRelays {
		g.relaysInFlight.Add(-1)
		return notRunRetryAfter(ReasonQueueFull, minRetryAfter, "too many requests wait on other daemons")
	}
	defer g.relaysInFlight.Add(-1)
	last := noInstance
	for _, m := range g.relayPeers(ex.job) {
		d := g.tryPeer(ctx, w, ex, m)
		if d.refusal == nil {
			return nil
		}
		last = d.refusal
		if d.retry == "" || !g.retries.withdraw() {
			return last
		}
		g.stats.retried(d.retry)
	}
	return last
}

// relayPeers lists the daemons to try, starting with a different one each time,
// so that none gets all requests.
func (g *Gateway) relayPeers(job tw.JobID) []tw.Member {
	view := g.view.Load()
	offset := int(g.relayRotation.Add(1))
	local := rotate(peersWithJob(view.Members, view.Self, job), offset)
	remote := rotate(peersWithJob(view.Remote, view.Self, job), offset)
	out := slices.Concat(local, remote, rotate(unconfirmedPeers(view, job), offset))
	return out[:min(len(out), maxAttempts)]
}

// unconfirmedPeers lists the daemons of other halls that have not reported
// slots for a job although it is configured for their hall. Trying one that has
// no slots costs a hop: it refuses the request as not run.
func unconfirmedPeers(view *tw.View, job tw.JobID) []tw.Member {
	jobConfig := view.Config.Job(job)
	var out []tw.Member
	for _, m := range view.Remote {
		if jobConfig != nil && jobConfig.In(m.Hall) && !slices.Contains(m.Jobs, job) {
			out = append(out, m)
		}
	}
	return out
}

// peersWithJob lists the daemons, other than self, that report slots for a job.
func peersWithJob(in []tw.Member, self tw.DaemonID, job tw.JobID) []tw.Member {
	var out []tw.Member
	for _, m := range in {
		if m.ID != self && slices.Contains(m.Jobs, job) {
			out = append(out, m)
		}
	}
	return out
}

func rotate(in []tw.Member, offset int) []tw.Member {
	if len(in) == 0 {
		return nil
	}
	start := offset % len(in)
	return slices.Concat(in[start:], in[:start])
}

func (g *Gateway) tryPeer(ctx context.Context, w http.ResponseWriter, ex *exchange, m tw.Member) decision {
	a := g.send(ctx, ex, target{address: m.Gateway})
	if a.err != nil {
		return ex.classifyError(ctx, a)
	}
	if d := ex.classify(ctx, a); reportsNotRun(a.resp) || closeDelimited(a.resp) {
		a.resp.Body.Close()
		return d
	}
	// The peer has made its own retries, so its response is final.
	d := g.finishResponse(w, ex, a.resp, func() {})
	d.abortIfTruncated()
	return d
}
