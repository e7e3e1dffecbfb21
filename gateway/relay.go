package gateway

import (
	"context"
	"net/http"
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// relay passes a request to another daemon, one hop at most: to a peer of the
// hall while this daemon is not registered, else to a hall that runs the job.
func (g *Gateway) relay(ctx context.Context, w http.ResponseWriter, ex *exchange) *Refusal {
	none := notRunFor(ReasonNoInstance, retryAfterPromotion, "no instance carries the job now")
	if ex.relayed {
		return none
	}
	if g.relays.Add(1) > maxRelays {
		g.relays.Add(-1)
		return notRunFor(ReasonQueueFull, minRetryAfter, "too many requests wait on other daemons")
	}
	defer g.relays.Add(-1)
	last := none
	for _, m := range g.relayPeers(ex.job) {
		v := g.tryPeer(ctx, w, ex, m)
		if v.refusal == nil {
			return nil
		}
		last = v.refusal
		if v.retry == "" || !g.retries.spend() {
			return last
		}
		g.stats.retried(v.retry)
	}
	return last
}

// relayPeers lists the daemons to try, in turn so that none gets all.
func (g *Gateway) relayPeers(job tw.JobID) []tw.Member {
	view := g.view.Load()
	var out []tw.Member
	candidates := view.Remote
	if !view.Registered {
		candidates = slices.Concat(view.Members, view.Remote)
	}
	for _, m := range candidates {
		if m.ID != view.Self && slices.Contains(m.Jobs, job) {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return nil
	}
	at := int(g.turns.Add(1) % uint64(len(out)))
	out = slices.Concat(out[at:], out[:at])
	return out[:min(len(out), maxTries)]
}

func (g *Gateway) tryPeer(ctx context.Context, w http.ResponseWriter, ex *exchange, m tw.Member) verdict {
	a := g.send(ctx, ex, target{address: m.Gateway})
	if a.err != nil {
		return ex.judgeError(ctx, a)
	}
	if v := ex.judge(ctx, a); saysNotRun(a.resp) || unframed(a.resp) {
		a.resp.Body.Close()
		return v
	}
	// The peer has done its own retries: what it says is passed on.
	mode := releaseOK
	return g.finishAnswer(w, ex, a.resp, func() {}, &mode)
}
