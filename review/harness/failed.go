package main

import (
	"encoding/json"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
)

const (
	failedID = "a41d07c35e92b860"
	// controlID is submitted afterwards, to show that daemons and workers are sound.
	controlID = "b52e18d46fa3c971"
	// plannedLatency is 25 times the store's 4 ms. The writes during which an owner is stopped take
	// as much longer.
	plannedLatency = 100 * time.Millisecond
)

// ownerKiller kills owners as they write.
type ownerKiller struct {
	r *rig
	// planned: the owners are stopped with SIGTERM while their writes are being done.
	planned bool

	mu sync.Mutex
	// accepted: the write that stores the submission has been done. counted is the highest count of
	// crashes in the submission's progress.
	accepted bool
	counted  int
	kills    int
}

// failedUnrun kills the owner of a pool as soon as it has stored a submission, and then each next
// owner as soon as it has written the submission's progress, before it starts anything. The workers
// are sound all the time. The rule LOST is checked: the submission must not be shown as failed. With
// PLANNED=1 the owners are stopped instead of killed, and the store is slow.
func failedUnrun(r *rig, trouble bool) int {
	steps := []tw.Step{{Count: 4, Need: tw.Resources{CPU: 1000}, Estimate: time.Second}}
	if !r.await(10*time.Second, func() bool { return r.owner() != "" }) {
		return notRun
	}
	time.Sleep(2 * time.Second) // all daemons and workers are known
	owner := r.owner()
	via := r.others(owner)[0]
	r.logf("owner of the pool: %s; the submission goes to %s", owner, via)
	killer := &ownerKiller{r: r, planned: os.Getenv("PLANNED") == "1"}
	switch {
	case trouble && killer.planned:
		r.setStore(plannedLatency, killer.intercept)
	case trouble:
		r.setStore(0, killer.intercept)
	}
	if !r.submit(via, failedID, steps) {
		return notRun
	}
	state := ""
	r.await(60*time.Second, func() bool {
		for _, id := range r.others("") {
			if _, state = r.call(id, "GET", prefix+failedID, ""); isFinal(state) {
				return true
			}
			time.Sleep(200 * time.Millisecond)
		}
		return false
	})
	kills, starts := killer.stop(), len(r.startsAfter(failedID, time.Time{}))
	r.logf("owners killed: %d; starts of the submission that workers accepted: %d; last state: %s", kills, starts, state)
	if trouble && !r.completes(via, controlID, steps) {
		r.logf("the later submission does not complete either")
		return notRun
	}
	if strings.Contains(state, "failed") {
		return broken
	}
	if !isFinal(state) {
		r.logf("the submission has not ended in time")
		return notRun
	}
	return held
}

// completes submits work and reports whether it completes in time.
func (r *rig) completes(via, id string, steps []tw.Step) bool {
	return r.submit(via, id, steps) && r.await(20*time.Second, func() bool {
		_, state := r.call(via, "GET", prefix+id, "")
		return strings.Contains(state, "completed")
	})
}

func isFinal(state string) bool {
	return strings.Contains(state, "completed") || strings.Contains(state, "failed") || strings.Contains(state, "cancelled")
}

// stop ends the kills and returns their number.
func (k *ownerKiller) stop() int {
	k.r.setStore(0, nil)
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.kills
}

// intercept kills the daemon whose write has just been done, if that stores the submission or counts
// further starts of it in advance.
func (k *ownerKiller) intercept(daemon string, t txn, serve func() int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	_, stores := t.puts("tw/submission/" + failedID)
	record, writes := t.puts("tw/progress/" + pool + "/" + failedID)
	switch {
	case stores && !k.accepted:
		k.accepted = true
	case writes && crashCount(record) > k.counted:
		k.counted = crashCount(record)
	default:
		return false
	}
	k.kills++
	k.r.logf("store: write of %s stores the submission: %t, its progress: %s", daemon, stores, record)
	if k.planned {
		k.r.signal(daemon, syscall.SIGTERM)
		go k.r.restart(daemon)
		time.Sleep(plannedLatency)
		return false
	}
	serve()
	k.r.signal(daemon, syscall.SIGKILL)
	go k.r.restart(daemon)
	return true
}

// crashCount returns the highest count of crashes in a submission's progress.
func crashCount(record []byte) int {
	var progress struct {
		Repetitions map[string]struct {
			Steps map[string]struct {
				Crashes map[string]int `json:"crashes"`
			} `json:"steps"`
		} `json:"repetitions"`
	}
	_ = json.Unmarshal(record, &progress) // the progress has no crashes then
	most := 0
	for _, repetition := range progress.Repetitions {
		for _, step := range repetition.Steps {
			for _, n := range step.Crashes {
				most = max(most, n)
			}
		}
	}
	return most
}
