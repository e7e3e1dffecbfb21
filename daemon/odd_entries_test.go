package daemon

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/agecheck"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/platform"
)

// oddFixture is the directory of a daemon with the store that it follows. Worker w0 is listed.
type oddFixture struct {
	*WithT
	kv      *standin.KV
	calls   *countedCalls
	d       *directory
	logs    *observer.ObservedLogs
	metrics *metrics.Set
}

// startOddFixture starts a directory that calls the store through client, or directly if that is nil.
func startOddFixture(t *testing.T, kv *standin.KV, client tw.KV) *oddFixture {
	core, logs := observer.New(zapcore.InfoLevel)
	f := &oddFixture{WithT: NewWithT(t), kv: kv, logs: logs, metrics: agecheck.Metrics(t)}
	if client == nil {
		client = kv
	}
	f.calls = &countedCalls{KV: client}
	kv.Put(platform.WorkerPrefix+"w0", []byte(workerBody(false)))
	kv.Put(platform.QueueConfigKey, []byte(`{"version":1,"services":[{"name":"p"}]}`))
	kv.Put(platform.WavePrefix+"3", []byte(`{"wave":3,"machines":["m0"],"durationS":30,"maximum":1}`))
	f.d = newDirectory(f.calls, tw.SystemClock{}, agecheck.LoggerOf(t, core), f.metrics, func() {})
	f.d.watchOperator()
	f.d.watchWorkers()
	return f
}

// workers returns the workers of all pools that are in use.
func (f *oddFixture) workers() []tw.WorkerID {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	var out []tw.WorkerID
	for _, pool := range f.d.byPool {
		for id := range pool {
			out = append(out, id)
		}
	}
	return out
}

func (f *oddFixture) draining() bool {
	list, _ := f.d.workerList("p")
	return list.Workers["w0"].Draining
}

// expectFollowing checks that the entry of w0 is in force, and that changes by workers and operators
// arrive within the usual time.
func (f *oddFixture) expectFollowing() {
	f.Expect(f.workers()).To(ConsistOf(tw.WorkerID("w0")))
	version := f.d.version() + 1
	f.kv.Put(platform.WorkerPrefix+"w0", []byte(workerBody(true)))
	f.kv.Put(platform.WorkerPrefix+"w1", []byte(strings.ReplaceAll(workerBody(false), "m0", "m1")))
	f.kv.Put(platform.QueueConfigKey, fmt.Appendf(nil, `{"version":%d,"services":[{"name":"p"}]}`, version))
	f.kv.Put(platform.WavePrefix+"4", []byte(`{"wave":4,"machines":["m1"],"durationS":30,"maximum":1}`))
	f.kv.Put(platform.EvacuationPrefix+"h9", []byte("{}"))
	f.Eventually(f.draining, contactTime).Should(BeTrue())
	f.Eventually(f.workers, contactTime).Should(ConsistOf(tw.WorkerID("w0"), tw.WorkerID("w1")))
	f.Eventually(f.d.version, contactTime).Should(Equal(version))
	f.Eventually(func() bool { return f.d.Evacuations().Has("h9") }, contactTime).Should(BeTrue())
	f.Eventually(func() int { return len(f.d.Waves()) }, contactTime).Should(Equal(2))
	f.metrics.WritePrometheus(io.Discard)
}

// errorLines returns the number of log lines above level info, and their length.
func (f *oddFixture) errorLines() (lines, bytes int) {
	for _, entry := range f.logs.All() {
		if entry.Level > zapcore.InfoLevel {
			lines++
			bytes += len(entry.Message) + len(fmt.Sprint(entry.ContextMap()))
		}
	}
	return lines, bytes
}

func deep(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// oddWorkerEntry returns the entry of a worker with a member added; it replaces an earlier one of its name.
func oddWorkerEntry(member string) string {
	return strings.TrimSuffix(workerBody(false), "}") + "," + member + "}"
}

// oddItems are what another writer may leave in the store. None names a worker to use, a configuration
// or a wave.
var oddItems = map[string]struct {
	key   tw.Key
	value string
}{
	"very deep":                     {key: "servers/x", value: oddWorkerEntry(`"address":` + deep(200_000))},
	"very deep in an unknown field": {key: "servers/x", value: oddWorkerEntry(`"later":` + deep(200_000))},
	"less deep":                     {key: "servers/x", value: oddWorkerEntry(`"labels":` + deep(9_000))},
	"just not too deep":             {key: "servers/x", value: oddWorkerEntry(`"capacity":` + deep(9_999))},
	"number of 20 digits":           {key: "servers/x", value: oddWorkerEntry(`"remainingMs":99999999999999999999`)},
	"number of 19 digits":           {key: "servers/x", value: oddWorkerEntry(`"remainingMs":9000000000000000000`)},
	"number that overflows in ms":   {key: "servers/x", value: oddWorkerEntry(`"remainingMs":10000000000000`)},
	"number of a million digits":    {key: "servers/x", value: oddWorkerEntry(`"born":` + strings.Repeat("9", 1_000_000))},
	"start time of 19 digits":       {key: "servers/x", value: oddWorkerEntry(`"born":9223372036854775807`)},
	"1e308":                         {key: "servers/x", value: oddWorkerEntry(`"capacity":{"cpu":1e308}`)},
	"1e-400":                        {key: "servers/x", value: oddWorkerEntry(`"capacity":{"cpu":1e-400}`)},
	"NaN":                           {key: "servers/x", value: oddWorkerEntry(`"remainingMs":NaN`)},
	"CPU of 19 digits":              {key: "servers/x", value: oddWorkerEntry(`"capacity":{"cpu":9223372036854775807}`)},
	"memory of 19 digits":           {key: "servers/x", value: oddWorkerEntry(`"capacity":{"memMb":9223372036854775807}`)},
	"GPUs of 19 digits":             {key: "servers/x", value: oddWorkerEntry(`"capacity":{"gpu":9223372036854775807}`)},
	"port 65536":                    {key: "servers/x", value: oddWorkerEntry(`"address":"127.0.0.1:65536"`)},
	"port of 20 digits":             {key: "servers/x", value: oddWorkerEntry(`"address":"127.0.0.1:99999999999999999999"`)},
	"port 0":                        {key: "servers/x", value: oddWorkerEntry(`"address":"127.0.0.1:0"`)},
	"no particular address":         {key: "servers/x", value: oddWorkerEntry(`"address":"0.0.0.0:80"`)},
	"multicast address":             {key: "servers/x", value: oddWorkerEntry(`"address":"224.0.0.1:80"`)},
	"address with a zone":           {key: "servers/x", value: oddWorkerEntry(`"address":"[fe80::1%25]:80"`)},
	"not UTF-8":                     {key: "servers/x", value: "\xff\xfe\x00"},
	"byte order mark":               {key: "servers/x", value: "\ufeff" + workerBody(false)},
	"NUL":                           {key: "servers/x", value: "\x00"},
	"nothing":                       {key: "servers/x"},
	"a state of 1 MB":               {key: "servers/x", value: oddWorkerEntry(`"state":"` + strings.Repeat("\\u0000", 1<<17) + `"`)},
	"no key":                        {key: "servers/", value: workerBody(false)},
	"a key with slashes":            {key: "servers/w0/w0", value: workerBody(false)},
	"a key with a line break":       {key: "servers/w\n0", value: workerBody(false)},
	"a key that is not UTF-8":       {key: "servers/\xff", value: workerBody(false)},
	"wave, another's number":        {key: "op/wave/x", value: `{"wave":3,"machines":["mx"],"durationS":1e308,"maximum":-1}`},
	"wave, too deep":                {key: "op/wave/5", value: strings.Repeat(`{"wave":`, 200_000)},
	"wave, number of 20 digits":     {key: "op/wave/5", value: `{"wave":5,"maximum":99999999999999999999}`},
	"configuration, too deep":       {key: "op/config", value: `{"version":2,"routes":` + deep(200_000) + `}`},
	"configuration, odd values":     {key: "op/config", value: `{"version":2,"routes":[{"timeoutMs":1e308}]}`},
	"configuration, not UTF-8":      {key: "op/config", value: "\xff"},
	"evacuation of an odd hall":     {key: "op/evacuate/h\"\n\x00\\{}=,", value: deep(200_000)},
	"evacuation, not UTF-8":         {key: "op/evacuate/\xff", value: "\xff"},
	"evacuation of no hall":         {key: "op/evacuate/"},
	"operator's key of no kind":     {key: "op/\xff\n", value: deep(200_000)},
}

// TestDirectoryFollowsBesideOddItem guards against a daemon that ends, or does not follow the list of
// workers any more, because of one odd item.
func TestDirectoryFollowsBesideOddItem(t *testing.T) {
	for name, c := range oddItems {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startOddFixture(t, standin.KVConfig{Latency: time.Millisecond}.New(), nil)
				defer f.d.close()
				time.Sleep(time.Second)
				f.kv.Put(c.key, []byte(c.value))
				time.Sleep(10 * time.Second)
				for _, wave := range f.d.Waves() {
					f.Expect(wave.Machines).To(Equal([]tw.InstanceID{"m0"}))
				}
				f.expectFollowing()
				lines, bytes := f.errorLines()
				f.Expect(lines).To(BeNumerically("<=", 1))
				f.Expect(bytes).To(BeNumerically("<", 2000))
			})
		})
	}
}

// churnTime is how long items are replaced, once per churnInterval. At most maxUnreadableLines log
// lines and one a second may come of it, and the calls of the two watches while there are changes.
const (
	churnTime     = 20 * time.Second
	churnInterval = 10 * time.Millisecond
)

// churns replace items that cannot be used. n is the number of the change.
var churns = map[string]func(kv *standin.KV, n int){
	"an entry whose fault changes": func(kv *standin.KV, n int) {
		kv.Put("servers/x", []byte(oddWorkerEntry(fmt.Sprintf(`"state":"melting-%d"`, n))))
	},
	"an entry that can be used now and then": func(kv *standin.KV, n int) {
		kv.Put("servers/x", []byte(oddWorkerEntry(fmt.Sprintf(`"remainingMs":%d`, 2*(n%2)-1))))
	},
	"entries that come and go": func(kv *standin.KV, n int) {
		kv.Put(tw.Key(fmt.Sprintf("servers/x%d", n)), []byte("\xff"))
		kv.Remove(tw.Key(fmt.Sprintf("servers/x%d", n-5)))
	},
	"a wave": func(kv *standin.KV, n int) {
		kv.Put("op/wave/5", fmt.Appendf(nil, `{"wave":%d.5}`, n))
	},
	"a configuration": func(kv *standin.KV, n int) {
		kv.Put("op/config", fmt.Appendf(nil, `{"version":%d.5}`, n))
	},
	"another key of the operators": func(kv *standin.KV, n int) {
		kv.Put("op/wave/5", []byte("\xff"))
		kv.Put("op/other", fmt.Append(nil, n))
	},
}

// TestOddItemReplacedAllTheTime bounds what an odd item that changes a hundred times a second costs a
// daemon in log lines and calls to the store. The other items are followed meanwhile.
func TestOddItemReplacedAllTheTime(t *testing.T) {
	for name, replace := range churns {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startOddFixture(t, standin.KVConfig{Latency: time.Millisecond}.New(), nil)
				defer f.d.close()
				time.Sleep(time.Second)
				for n := range int(churnTime / churnInterval) {
					replace(f.kv, n)
					time.Sleep(churnInterval)
				}
				f.Expect(f.workers()).To(ContainElement(tw.WorkerID("w0")))
				f.Expect(f.d.version()).To(Equal(tw.Version(1)))
				lines, bytes := f.errorLines()
				f.Expect(lines).To(BeNumerically("<=", maxUnreadableLines+int(churnTime.Seconds())+2))
				f.Expect(bytes).To(BeNumerically("<", 1000*lines+1))
				calls := f.calls.watches.Load() + f.calls.ranges.Load()
				f.Expect(calls).To(BeNumerically("<=", 60*int64(churnTime.Seconds()+1)))
				f.kv.Remove("servers/x")
				time.Sleep(time.Second)
				f.kv.Put(platform.WorkerPrefix+"x", []byte("\xff"))
				for n := range 10 {
					f.kv.Remove(tw.Key(fmt.Sprintf("servers/x%d", int(churnTime/churnInterval)-1-n)))
				}
				time.Sleep(time.Second)
				f.expectFollowing()
			})
		})
	}
}

// TestDirectoryReadsPagesOfOddEntries reads over the platform's protocol a list of which whole pages are
// odd entries, some with keys that are no text.
func TestDirectoryReadsPagesOfOddEntries(t *testing.T) {
	const odd = 1500
	kv := standin.KVConfig{}.New()
	for n := range odd {
		kv.Put(tw.Key(fmt.Sprintf("servers/a%04d", n)), []byte(oddWorkerEntry(`"address":"0.0.0.0:80"`)))
	}
	for _, key := range []string{"\xff", "w\xf8", "\ufffd", "w\x80", "w0\xff"} {
		for n := range 7 {
			kv.Put(tw.Key(fmt.Sprintf("servers/%s%d", key, n)), []byte("\xff"))
		}
	}
	server := httptest.NewServer(kv.Handler())
	defer server.Close()
	client := platform.KVConfig{Address: strings.TrimPrefix(server.URL, "http://")}.New()
	defer client.Close()
	f := startOddFixture(t, kv, boundedKV{KV: client})
	defer f.d.close()
	f.Eventually(func() bool { _, read := f.d.workerList("p"); return read }, 30*time.Second).Should(BeTrue())
	f.expectFollowing()
	lines, _ := f.errorLines()
	f.Expect(lines).To(BeNumerically("<=", maxUnreadableLines+5))
}

// boundedKV ends the calls of a test that goes on too long.
type boundedKV struct{ tw.KV }

// Range implements tw.KV.
func (k boundedKV) Range(ctx context.Context, prefix tw.Key) ([]tw.KVItem, tw.KVRevision, error) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	return k.KV.Range(ctx, prefix)
}
