package run_test

import (
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/ledger"
	"github.com/tamarindworks/tamarindworks/platform"
	"github.com/tamarindworks/tamarindworks/run"
)

const (
	benchRate     = 60   // submissions per second
	benchSpecSize = 2400 // bytes
)

// benchCases are pools of a large fleet, by number of workers and whether orders are sent over
// HTTP on loopback.
var benchCases = map[string]struct {
	workers int
	http    bool
}{
	"130 workers":           {workers: 130},
	"440 workers":           {workers: 440},
	"130 workers over HTTP": {workers: 130, http: true},
	"440 workers over HTTP": {workers: 440, http: true},
}

// BenchmarkOwner runs a pool at 60 submissions per second, each of two steps of eight subtasks of
// 0.64 s, on workers of 16 cores. Run it with -benchtime=300x. It reports the process's CPU time
// per submission: that of the owner and, over HTTP, also that of the simulated workers.
func BenchmarkOwner(b *testing.B) {
	for name, c := range benchCases {
		b.Run(name, func(b *testing.B) { benchmarkOwner(b, c.workers, c.http) })
	}
}

func benchmarkOwner(b *testing.B, workers int, overHTTP bool) {
	fleet := standin.FleetConfig{MaxHold: 10 * time.Second, StopTime: stopTime}.New()
	kv := standin.KVConfig{Latency: 4 * time.Millisecond}.New()
	cloud := standin.CloudConfig{}.New()
	var orders tw.WorkerOrders = fleet
	if overHTTP {
		client := platform.OrderConfig{}.New()
		defer client.Close()
		orders = client
	}
	machineCache := run.MachineCacheConfig{Machines: cloud, Clock: tw.SystemClock{}, Log: zap.NewNop()}.New()
	defer machineCache.Close()
	list := map[tw.WorkerID]tw.WorkerEntry{}
	for n := range workers {
		entry := tw.WorkerEntry{
			ID: workerID(n), Pool: pool, Address: fmt.Sprintf("10.0.0.%d:1", n), Instance: tw.InstanceID(fmt.Sprintf("m%d", n)),
			Hall:     tw.HallID(fmt.Sprintf("hall-%d", n%5)),
			Capacity: tw.Resources{CPU: 16000, MemoryMB: 65536}, Labels: []string{"a", fmt.Sprintf("r%d", n/8)},
		}
		if overHTTP {
			server := httptest.NewUnstartedServer(nil)
			entry.Address = server.Listener.Addr().String()
			fleet.Add(entry)
			server.Config.Handler = fleet.Handler(entry.ID)
			server.Start()
			defer server.Close()
		} else {
			fleet.Add(entry)
		}
		list[entry.ID] = entry
	}
	self := ledger.Owner{Pool: pool, Daemon: "a", Address: "10.1.0.1:1", Incarnation: 1}
	book, err := ledger.Config{KV: kv, Clock: tw.SystemClock{}, Log: zap.NewNop(), Owner: self}.Open(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	self.Fence = book.Fence()
	owner := run.Config{
		Book: book, Self: self, KV: kv, Orders: orders, Advisor: noAdvisor{}, MachineCache: machineCache,
		Clock: tw.SystemClock{}, Log: benchLog(), Metrics: metrics.NewSet(),
		Bounds: run.Bounds{MaxHold: 10 * time.Second, StopTime: stopTime, KeepEnded: 2 * time.Minute},
	}.New()
	defer owner.Close()
	owner.SetWorkers(b.Context(), run.WorkerList{Workers: list, StoreReachableSince: time.Now().Add(-time.Minute)})
	time.Sleep(time.Second)
	spec := strings.Repeat("x", benchSpecSize)
	began := processorTime(b)
	b.ResetTimer()
	last := ""
	for n := range b.N {
		last = fmt.Sprintf("%016x", n)
		s := submission(last, 8, 8)
		s.Spec = spec
		for i := range s.Steps {
			s.Steps[i].Need = tw.Resources{CPU: 2300, MemoryMB: 8300}
			s.Steps[i].Estimate = 640 * time.Millisecond
		}
		fleet.RegisterSubmission(&s, nil)
		go func() {
			if err := owner.Submit(b.Context(), s); err != nil {
				b.Error(err)
			}
		}()
		time.Sleep(time.Second / benchRate)
	}
	waitEnded(b, owner, tw.SubmissionID(last))
	b.StopTimer()
	b.ReportMetric((processorTime(b)-began).Seconds()*1e3/float64(b.N), "cpu-ms/submission")
	b.ReportMetric(0, "ns/op")
	if violations := fleet.Violations(); len(violations) > 0 {
		b.Error(violations[0])
	}
}

// benchLog encodes lines as a daemon does, and discards them.
func benchLog() *zap.Logger {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(zapcore.NewCore(encoder, zapcore.AddSync(io.Discard), zap.InfoLevel))
}

func waitEnded(b *testing.B, owner *run.Owner, id tw.SubmissionID) {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		if state, err := owner.State(b.Context(), "", id); err == nil && state == tw.SubmissionSucceeded {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	b.Error("the last submission has not ended")
}

// processorTime is the CPU time that the process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
