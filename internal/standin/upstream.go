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
	// UpstreamConfig configures an Upstream.
	UpstreamConfig struct {
		Instance tw.Instance // Address is filled in
		Listen   string      // IP:port; if the port is 0, the kernel chooses a free one
		Recorder *Recorder
		Work     time.Duration // of a request without HeaderWork
		// Register reports to the platform and returns the jobs to run.
		Register func(ctx context.Context, in tw.Instance) ([]tw.JobID, error)
	}

	// Upstream is a fake upstream. It runs requests for the jobs that the platform
	// assigned to it, one per slot, and refuses others as not run.
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
		Digest   string        `json:"digest"` // hex SHA-256 of the request's body
	}
)

// Headers that control how an Upstream answers a request.
const (
	HeaderWork = "Standin-Work" // duration of the work, such as "20ms"
	HeaderSize = "Standin-Size" // bytes of padding after the answer
)

const registerInterval = 100 * time.Millisecond

// New starts an upstream; Close stops it.
func (c UpstreamConfig) New() (*Upstream, error) {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, err
	}
	c.Instance.Address = listener.Addr().String()
	c.Instance.Role = tw.RoleWorker
	if c.Recorder == nil {
		c.Recorder = NewRecorder(nil)
	}
	u := &Upstream{config: c, slots: make(chan struct{}, max(1, int(c.Instance.Slots)))}
	u.jobs.Store(&map[tw.JobID]bool{})
	u.server = &http.Server{Handler: u}
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	u.wg.Go(func() { _ = u.server.Serve(listener) }) // ends with Close
	u.wg.Go(func() { u.register(ctx) })
	return u, nil
}

// Address returns the address that the upstream listens on.
func (u *Upstream) Address() string { return u.config.Instance.Address }

// SetFailing makes the upstream answer the requests that it runs with status 500.
func (u *Upstream) SetFailing(on bool) { u.failing.Store(on) }

// Close stops the upstream immediately, as if its instance were lost.
func (u *Upstream) Close() {
	u.cancel()
	_ = u.server.Close() // the upstream is stopping anyway
	u.wg.Wait()
}

// register reports to the platform periodically until ctx ends.
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
	size, _ := strconv.Atoi(r.Header.Get(HeaderSize)) // 0 if absent
	answer := UpstreamAnswer{
		Request:  r.Header.Get(gateway.HeaderRequest),
		Instance: u.config.Instance.ID,
		Job:      job,
		Digest:   hex.EncodeToString(sum[:]),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // the caller may have disconnected
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

// RegisterHTTP returns a Register function that reports to a Platform over HTTP.
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
			return nil, fmt.Errorf("standin.RegisterHTTP: status %d", resp.StatusCode)
		}
		var jobs []tw.JobID
		return jobs, json.NewDecoder(resp.Body).Decode(&jobs)
	}
}
