package main

import (
	"net/http"
	"syscall"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

const (
	// chainSteps steps of chainStep each, one after the other, have a start every chainStep.
	chainSteps = 60
	chainStep  = 300 * time.Millisecond
	// unresponsiveAfter is how long an owner must be frozen for the others to notice.
	unresponsiveAfter = 1050 * time.Millisecond
)

// cancelUnseen silences the owner's open connections to the store, among them its watch of the inbox,
// and freezes the owner's machine for about a second, in which a submission is cancelled through
// another daemon. The rule UNASKED is checked: from cancel_ms after the acknowledgement on, the owner,
// which is in touch again, must not start a subtask of it.
func cancelUnseen(r *rig, trouble bool) int {
	var steps []tw.Step
	for n := range chainSteps {
		step := tw.Step{Count: 1, Need: tw.Resources{CPU: 1000}, Estimate: chainStep}
		if n > 0 {
			step.After = []int{n - 1}
		}
		steps = append(steps, step)
	}
	if !r.submit("edge-a", cancelID, steps) {
		return notRun
	}
	if !r.await(10*time.Second, func() bool { return len(r.startsAfter(cancelID, time.Time{})) >= 2 }) {
		return notRun
	}
	owner := r.owner()
	if owner == "" {
		return notRun
	}
	via := r.others(owner)[0]
	r.logf("owner of the pool: %s; the request to cancel goes to %s", owner, via)
	calmFrom := time.Now()
	if trouble {
		began := time.Now()
		if !r.await(8*time.Second, func() bool { return r.lastWatch(owner).After(began) }) {
			r.logf("no watch of the inbox was seen")
			return notRun
		}
		r.logf("proxy: %d open connections from %s to the store are silent from now on", r.proxies[owner].silence(), owner)
		r.signal(owner, syscall.SIGSTOP)
		time.Sleep(unresponsiveAfter)
	}
	status, _ := r.call(via, "DELETE", prefix+cancelID, "")
	acknowledged := time.Now()
	if trouble {
		r.signal(owner, syscall.SIGCONT)
		calmFrom = time.Now()
	}
	if status != http.StatusOK {
		r.logf("the cancel was not acknowledged")
		return notRun
	}
	if after := r.owner(); after != owner {
		r.logf("the owner has changed to %s", after)
	}
	return r.checkCancelled(via, acknowledged, calmFrom)
}

// lastWatch returns when a daemon last began to watch the inbox.
func (r *rig) lastWatch(daemon string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.watches[daemon]
}
