package main

import (
	"bytes"
	"net/http"
	"sync"
	"syscall"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

const (
	cancelID = "5c0e7a21d94b36f8"
	// slowStore is 50 times the store's 4 ms.
	slowStore = 200 * time.Millisecond
	// lateAfter is when the unanswered write is carried out, if its condition still holds.
	lateAfter = 1500 * time.Millisecond
)

// cancelLost cancels a submission through a daemon whose call to the owner gets no answer, as the
// owner's machine is frozen for a moment. The store is slow. When the owner is back, its write of
// the end gets no answer, and it is killed once its next write is done, which removes the request to
// cancel from its inbox. The rule UNASKED is checked: the cancelled work must not run on.
func cancelLost(r *rig, trouble bool) int {
	steps := []tw.Step{
		{Count: 4, Need: tw.Resources{CPU: 1000}, Estimate: 5 * time.Second},
		{Count: 4, Need: tw.Resources{CPU: 1000}, Estimate: 4 * time.Second, After: []int{0}},
	}
	if !r.submit("edge-a", cancelID, steps) {
		return notRun
	}
	if !r.await(10*time.Second, func() bool { return len(r.startsAfter(cancelID, time.Time{})) >= 4 }) {
		return notRun
	}
	time.Sleep(500 * time.Millisecond)
	owner := r.owner()
	if owner == "" {
		return notRun
	}
	via := r.others(owner)[0]
	r.logf("owner of the pool: %s; the request to cancel goes to %s", owner, via)

	killed := make(chan struct{})
	if trouble {
		r.setStore(slowStore, r.loseEnd(owner, killed))
		time.Sleep(2 * time.Second)
		r.signal(owner, syscall.SIGSTOP)
	}
	status, _ := r.call(via, "DELETE", prefix+cancelID, "")
	acknowledged := time.Now()
	if trouble {
		r.signal(owner, syscall.SIGCONT)
	}
	if status != http.StatusOK {
		r.logf("the cancel was not acknowledged")
		return notRun
	}
	calmFrom := acknowledged
	if trouble {
		select {
		case <-killed:
		case <-time.After(4 * time.Second):
			r.logf("the owner was not killed: its writes came in another order")
		}
		r.setStore(0, nil)
		time.Sleep(lateAfter)
		calmFrom = time.Now()
	}
	return r.checkCancelled(via, acknowledged, calmFrom)
}

// loseEnd returns the interception that leaves the first write of the submission's end unanswered, and
// kills the owner once the request to cancel has been removed from its inbox by another write.
func (r *rig) loseEnd(owner string, killed chan<- struct{}) func(daemon string, t txn, serve func() int) bool {
	var mu sync.Mutex
	lost, done := false, false
	message := tw.Key(inboxKey + cancelID + ".cancel")
	return func(_ string, t txn, serve func() int) bool {
		mu.Lock()
		defer mu.Unlock()
		record, ends := t.puts("tw/submission/" + cancelID)
		ends = ends && bytes.Contains(record, []byte(`"final":"cancelled"`))
		switch {
		case ends && t.removes(message), done:
			return false
		case ends && !lost:
			lost = true
			r.logf("store: write of the end of %s gets no answer", cancelID)
			time.AfterFunc(lateAfter, func() { r.logf("store: the unanswered write of the end is carried out late -> %d", serve()) })
			return true
		case lost && t.removes(message):
			done = true
			r.logf("store: write that removes the request to cancel -> %d", serve())
			r.signal(owner, syscall.SIGKILL)
			close(killed)
			return true
		}
		return false
	}
}

// checkCancelled watches the workers until 16 s after the acknowledgement. It counts what runs or
// starts once cancel_ms have passed since then, and contactMs since the last disruption.
func (r *rig) checkCancelled(via string, acknowledged, calmFrom time.Time) int {
	bound := acknowledged.Add(cancelMax)
	if touch := calmFrom.Add(contact); touch.After(bound) {
		bound = touch
	}
	stillRunning := 0
	for time.Since(acknowledged) < 16*time.Second {
		if n := r.fleet.SubmissionRuns(cancelID); n > 0 && time.Now().After(bound.Add(stopTime)) {
			stillRunning = max(stillRunning, n)
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.call(via, "GET", prefix+cancelID, "")
	late := r.startsAfter(cancelID, bound)
	for _, s := range late {
		r.logf("started %.1f s after the cancel was acknowledged: %s on %s", s.at.Sub(acknowledged).Seconds(), s.task, s.worker)
	}
	r.logf("subtasks of the cancelled submission that ran %.1f s after the acknowledgement or later: %d; started: %d",
		bound.Add(stopTime).Sub(acknowledged).Seconds(), stillRunning, len(late))
	if stillRunning > 0 || len(late) > 0 {
		return broken
	}
	return held
}
