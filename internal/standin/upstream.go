package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/gateway"
)

type (
	// UpstreamConfig configures a stand-in upstream.
	UpstreamConfig struct {
		Instance tw.Instance // Address is filled in
		Listen   string      // IP:port; port 0 lets the kernel choose
		Recorder *Recorder
		Work     time.Duration // of a request that asks for nothing else
		// Register reports to the platform and returns the jobs to run.
		Register func(ctx context.Context, in tw.Instance) ([]tw.JobID, error)
	}

	// Upstream is a stand-in worker: it runs requests for the jobs that the
	// platform gave it, in its slots, and refuses others as not run.
	Upstream struct {
		config  UpstreamConfig
		server  *http.Server
		slots   chan struct{}
		jobs    atomic.Pointer[map[tw.JobID]bool]
		failing atomic.Bool
		cancel  context.CancelFunc
		wg      sync.WaitGroup
	}

	// UpstreamAnswer is the body of an upstream's answer.
	UpstreamAnswer struct {
		Request  string        `json:"request"`
		Instance tw.InstanceID `json:"instance"`
		Job      tw.JobID      `json:"job"`
		Digest   string        `json:"digest"` // of the request's body
	}
)

// What a caller can ask of a stand-in upstream.
const (
	HeaderWork = "Standin-Work" // how long to work: "20ms"
	HeaderSize = "Standin-Size" // bytes of padding in the answer
)

const registerInterval = 100 * time.Millisecond

// New starts an upstream; Close ends it.
func (c UpstreamConfig) New() (*Upstream, error) {
	at, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, err
	}
	c.Instance.Address = at.Addr().String()
	c.Instance.Role = tw.RoleWorker
	if c.Recorder == nil {
		c.Recorder = NewRecorder(nil)
	}
	u := &Upstream{config: c, slots: make(chan struct{}, max(1, int(c.Instance.Slots)))}
	u.jobs.Store(&map[tw.JobID]bool{})
	u.server = &http.Server{Handler: u}
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.wg.Go(func() { _ = u.server.Serve(at) }) // ends with Close
	u.wg.Go(func() { u.register(ctx) })
	return u, nil
}

// Address is where the upstream listens.
func (u *Upstream) Address() string { return u.config.Instance.Address }

// SetFailing makes the upstream answer everything with status 500.
func (u *Upstream) SetFailing(on bool) { u.failing.Store(on) }

// Close ends the upstream at once, as a lost instance does.
func (u *Upstream) Close() {
	u.cancel()
	_ = u.server.Close() // nobody is left to tell
	u.wg.Wait()
}

// register reports to the platform until ctx ends.
func (u *Upstream) register(ctx context.Context) {
	for ctx.Err() == nil {
		if jobs, err := u.config.Register(ctx, u.config.Instance); err == nil {
			set := map[tw.JobID]bool{}
			for _, j := range jobs {
				set[j] = true
			}
			u.jobs.Store(&set)
		}
		select {
		case <-ctx.Done():
		case <-time.After(registerInterval):
		}
	}
}

// ServeHTTP runs one request.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	job := tw.JobID(r.Header.Get(gateway.HeaderJob))
	if !(*u.jobs.Load())[job] {
		refuseNotRun(w)
		return
	}
	select {
	case u.slots <- struct{}{}:
		defer func() { <-u.slots }()
	case <-r.Context().Done():
		return
	}
	u.run(w, r, job, body)
}

func (u *Upstream) run(w http.ResponseWriter, r *http.Request, job tw.JobID, body []byte) {
	id := r.Header.Get(gateway.HeaderKey)
	if id == "" {
		id = r.Header.Get(gateway.HeaderRequest)
	}
	if err := u.config.Recorder.Record(id, u.config.Instance.ID, job); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if u.failing.Load() {
		http.Error(w, "failing", http.StatusInternalServerError)
		return
	}
	time.Sleep(u.workTime(r))
	sum := sha256.Sum256(body)
	size, _ := strconv.Atoi(r.Header.Get(HeaderSize)) // absent means none
	answer := UpstreamAnswer{
		Request:  r.Header.Get(gateway.HeaderRequest),
		Instance: u.config.Instance.ID,
		Job:      job,
		Digest:   hex.EncodeToString(sum[:]),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // the caller may be gone
	_, _ = w.Write(bytes.Repeat([]byte(" "), size))
}

func (u *Upstream) workTime(r *http.Request) time.Duration {
	if d, err := time.ParseDuration(r.Header.Get(HeaderWork)); err == nil {
		return d
	}
	return u.config.Work
}

func refuseNotRun(w http.ResponseWriter) {
	w.Header().Set(gateway.HeaderOutcome, string(gateway.NotRun))
	http.Error(w, "this job does not run here", http.StatusMisdirectedRequest)
}

// RegisterHTTP reports to a stand-in platform over HTTP.
func RegisterHTTP(url string) func(ctx context.Context, in tw.Instance) ([]tw.JobID, error) {
	client := &http.Client{Timeout: 2 * time.Second}
	return func(ctx context.Context, in tw.Instance) ([]tw.JobID, error) {
		body, err := json.Marshal(in)
		if err != nil {
			return nil, err
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+PathRegister, bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		resp, err := client.Do(req)
		if err != nil {
			return nil, err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("standin.RegisterOver: status %d", resp.StatusCode)
		}
		var jobs []tw.JobID
		return jobs, json.NewDecoder(resp.Body).Decode(&jobs)
	}
}
