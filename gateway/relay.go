package gateway

import (
	"context"
	"net/http"
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// relay passes a request to another daemon, one hop at most: to one of the
// hall that has slots of the job, else to a hall that runs it.
func (g *Gateway) relay(ctx context.Context, w http.ResponseWriter, ex *exchange) *Refusal {
	none := notRunRetryAfter(ReasonNoInstance, retryAfterPromotion, "no instance carries the job now")
	if ex.relayed {
		return none
	}
	if g.relaysInFlight.Add(1) > maxRelays {
		g.relaysInFlight.Add(-1)
		return notRunRetryAfter(ReasonQueueFull, minRetryAfter, "too many requests wait on other daemons")
	}
	defer g.relaysInFlight.Add(-1)
	last := none
	for _, m := range g.relayPeers(ex.job) {
		v := g.tryPeer(ctx, w, ex, m)
		if v.refusal == nil {
			return nil
		}
		last = v.refusal
		if v.retry == "" || !g.retries.withdraw() {
			return last
		}
		g.stats.retried(v.retry)
	}
	return last
}

// relayPeers lists the daemons to try, in turn so that none gets all.
func (g *Gateway) relayPeers(job tw.JobID) []tw.Member {
	view := g.view.Load()
	turn := int(g.relayRotation.Add(1))
	hall := rotate(peersWithJob(view.Members, view.Self, job), turn)
	remote := rotate(peersWithJob(view.Remote, view.Self, job), turn)
	out := slices.Concat(hall, remote, rotate(unconfirmedPeers(view, job), turn))
	return out[:min(len(out), maxAttempts)]
}

// unconfirmedPeers are the daemons of halls that should run a job, but have not told
// that they do. Asking costs a hop: one that does not says so, not run.
func unconfirmedPeers(view *tw.View, job tw.JobID) []tw.Member {
	wanted := view.Config.Job(job)
	var out []tw.Member
	for _, m := range view.Remote {
		if wanted != nil && wanted.In(m.Hall) && !slices.Contains(m.Jobs, job) {
			out = append(out, m)
		}
	}
	return out
}

// peersWithJob are the daemons that can give a job to an instance themselves.
func peersWithJob(in []tw.Member, self tw.DaemonID, job tw.JobID) []tw.Member {
	var out []tw.Member
	for _, m := range in {
		if m.ID != self && slices.Contains(m.Jobs, job) {
			out = append(out, m)
		}
	}
	return out
}

func rotate(in []tw.Member, turn int) []tw.Member {
	if len(in) == 0 {
		return nil
	}
	at := turn % len(in)
	return slices.Concat(in[at:], in[:at])
}

func (g *Gateway) tryPeer(ctx context.Context, w http.ResponseWriter, ex *exchange, m tw.Member) decision {
	a := g.send(ctx, ex, target{address: m.Gateway})
	if a.err != nil {
		return ex.classifyError(ctx, a)
	}
	if v := ex.classify(ctx, a); reportsNotRun(a.resp) || closeDelimited(a.resp) {
		a.resp.Body.Close()
		return v
	}
	// The peer has done its own retries: what it says is passed on.
	v := g.finishResponse(w, ex, a.resp, func() {})
	v.abortIfTruncated()
	return v
}
