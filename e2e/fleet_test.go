package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/control"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/platform"
)

// fleet is a deployment of separate processes in two halls.
type fleet struct {
	dir       string
	url       string
	platform  *process
	upstreams map[tw.InstanceID]*process
	daemons   map[tw.DaemonID]*process
	operator  *control.Operator
	// relays carry the connections of each hall's daemons to the platform.
	relays map[tw.HallID]*relay
}

var halls = []tw.HallID{"h1", "h2"}

const (
	racksPerHall     = 3
	instancesPerRack = 2
	daemonsPerHall   = 2
	eventualTimeout  = "60s" // limit for Eventually where no tighter bound is tested
)

func newFleet() *fleet {
	GinkgoHelper()
	f := &fleet{
		dir:       GinkgoT().TempDir(),
		upstreams: map[tw.InstanceID]*process{},
		daemons:   map[tw.DaemonID]*process{},
		relays:    map[tw.HallID]*relay{},
	}
	DeferCleanup(f.close)
	f.platform = start("platform", true, "tamarind-standin", "platform", "--silence", "2s")
	f.url = "http://" + f.platform.address
	peers := control.PeerClientConfig{}.New()
	f.operator = control.OperatorConfig{
		Documents: platform.DocumentsConfig{
			Store:          platform.ClientConfig{URL: f.url}.New(),
			Clock:          tw.SystemClock{},
			CallsPerSecond: 1000,
		}.New(),
		Peers: peers,
		Clock: tw.SystemClock{},
	}.New()
	for _, hall := range halls {
		f.relays[hall] = newRelay(f.platform.address)
		for r := range racksPerHall {
			for i := range instancesPerRack {
				f.startUpstream(hall, r, i)
			}
		}
		for i := range daemonsPerHall {
			f.startDaemon(hall, tw.DaemonID(fmt.Sprintf("%s-e%d", hall, i)))
		}
	}
	f.configure("fleet.toml", 0)
	f.waitServing()
	return f
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		d.forceKill()
	}
	for _, u := range f.upstreams {
		u.forceKill()
	}
	f.platform.forceKill()
}

func (f *fleet) startUpstream(hall tw.HallID, rack, i int) {
	id := fmt.Sprintf("%s-r%d-w%d", hall, rack, i)
	f.upstreams[tw.InstanceID(id)] = start(id, true, "tamarind-standin", "upstream",
		"--platform", f.url, "--id", id, "--hall", string(hall), "--rack", fmt.Sprintf("%s-r%d", hall, rack),
		"--label", "kind=general", "--records", f.records(tw.InstanceID(id)))
}

// replaceUpstream starts an upstream with the ID and place of one that was killed.
func (f *fleet) replaceUpstream(id tw.InstanceID) {
	GinkgoHelper()
	var rack, i int
	hall, place, _ := strings.Cut(string(id), "-")
	_, err := fmt.Sscanf(place, "r%d-w%d", &rack, &i)
	Expect(err).NotTo(HaveOccurred())
	f.startUpstream(tw.HallID(hall), rack, i)
}

func (f *fleet) records(id tw.InstanceID) string { return filepath.Join(f.dir, string(id)+".runs") }

func (f *fleet) startDaemon(hall tw.HallID, id tw.DaemonID) {
	path := filepath.Join(f.dir, string(id)+".toml")
	settings := fmt.Sprintf(`id = %q
hall = %q
instance = %q
[listen]
gateway = "127.0.0.1:0"
peer = "127.0.0.1:0"
admin = "127.0.0.1:0"
[platform]
url = %q
`, id, hall, id, "http://"+f.relays[hall].address)
	Expect(os.WriteFile(path, []byte(settings), 0o600)).To(Succeed())
	f.daemons[id] = start(string(id), false, "tamarindd", "--settings", path)
}

// configure applies a file of testdata with the command-line tool.
func (f *fleet) configure(file string, base tw.Revision) {
	GinkgoHelper()
	out, code := run("tamarind", "--platform", f.url, "config", "apply", filepath.Join("testdata", file),
		"--base", fmt.Sprint(base), "--wait", eventualTimeout)
	Expect(code).To(Equal(0), out)
}

func (f *fleet) plan(hall tw.HallID) tw.Plan {
	plan, err := f.operator.Plan(context.Background(), hall)
	Expect(err).NotTo(HaveOccurred())
	return plan
}

// waitServing waits until all pools serve in their halls, every daemon has acknowledged the
// current plan, and every gateway answers requests for the service maps, which the gateways of
// h1 relay to h2.
func (f *fleet) waitServing() {
	GinkgoHelper()
	Eventually(func(g Gomega) {
		for _, hall := range halls {
			plan := f.plan(hall)
			g.Expect(f.serving(hall, "boards")).To(HaveLen(2))
			g.Expect(f.serving(hall, "leases")).To(HaveLen(2))
			g.Expect(f.serving("h2", "maps")).To(HaveLen(1))
			daemons, err := f.operator.Daemons(context.Background(), []tw.HallID{hall})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(daemons).To(HaveLen(daemonsPerHall))
			for _, d := range daemons {
				g.Expect(d.Acked).To(BeNumerically(">=", plan.Generation))
			}
		}
		for _, gateway := range f.gateways() {
			g.Expect(respondsOK(gateway, "maps.test")).To(BeTrue(), "requests for maps.test at gateway %s", gateway)
		}
	}, eventualTimeout, "50ms").Should(Succeed())
}

// respondsOK reports whether a gateway returns status 200 for a request to a host.
func respondsOK(gateway, host string) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+gateway+"/", nil)
	if err != nil {
		return false
	}
	req.Host = host
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// serving returns the instances that serve a pool and whose first job is running there.
func (f *fleet) serving(hall tw.HallID, pool tw.PoolID) []tw.InstanceID {
	plan := f.plan(hall)
	var out []tw.InstanceID
	for i := range plan.Instances {
		a := &plan.Instances[i]
		if a.Pool == pool && a.State == tw.InstanceServing && len(a.Jobs) > 0 && a.Serves(a.Jobs[0].Job) {
			out = append(out, a.Instance)
		}
	}
	return out
}

// gateways returns the gateway addresses of all registered daemons.
func (f *fleet) gateways() []string { return f.gatewaysOf(halls...) }

func (f *fleet) gatewaysOf(halls ...tw.HallID) []string {
	GinkgoHelper()
	daemons, err := f.operator.Daemons(context.Background(), halls)
	Expect(err).NotTo(HaveOccurred())
	var out []string
	for _, d := range daemons {
		out = append(out, d.Gateway)
	}
	return out
}

// load returns a request load. Its default mix has idempotent and non-idempotent requests.
func (f *fleet) load(n int, rate float64, streams ...standin.Stream) *standin.LoadConfig {
	if len(streams) == 0 {
		streams = []standin.Stream{
			{Name: "check", Method: "GET", Host: "boards.test", Path: "/check", Work: 5 * time.Millisecond, Share: 3},
			{Name: "record", Method: "POST", Host: "boards.test", Path: "/records", Work: 20 * time.Millisecond, Share: 2},
			{Name: "map", Method: "POST", Host: "maps.test", Path: "/draw", Work: 10 * time.Millisecond, Share: 1},
			{Name: "bundle", Method: "POST", Host: "leases.test", Path: "/bundle", Work: 50 * time.Millisecond, Share: 1},
		}
	}
	return &standin.LoadConfig{
		Targets:     f.gateways(),
		Requests:    n,
		Rate:        rate,
		Streams:     streams,
		Timeout:     20 * time.Second,
		CollectRuns: f.runs,
	}
}

// runs reads the run records of all upstreams, including killed ones. It first waits so that
// live upstreams can finish requests in flight.
func (f *fleet) runs() (standin.Runs, error) {
	time.Sleep(300 * time.Millisecond)
	var paths []string
	for id := range f.upstreams {
		if _, err := os.Stat(f.records(id)); err == nil {
			paths = append(paths, f.records(id))
		}
	}
	return standin.ReadRuns(paths)
}

// runCount returns the number of runs recorded by an instance.
func (f *fleet) runCount(id tw.InstanceID) int {
	content, err := os.ReadFile(f.records(id))
	if err != nil {
		return 0
	}
	return strings.Count(string(content), "\n")
}

// underLoad calls inject, which injects a fault, while the load is running.
func underLoad(l *standin.LoadConfig, inject func()) standin.Report {
	GinkgoHelper()
	type result struct {
		report standin.Report
		err    error
	}
	results := make(chan result, 1)
	go func() {
		report, err := l.Run(context.Background())
		results <- result{report, err}
	}()
	time.Sleep(500 * time.Millisecond)
	inject()
	out := <-results
	Expect(out.err).NotTo(HaveOccurred())
	fmt.Fprintf(GinkgoWriter, "%s\n", out.report.String())
	AddReportEntry("load", out.report.Line())
	return out.report
}

// expectNoViolations checks the guarantees that hold under any injected fault.
func expectNoViolations(r standin.Report) {
	GinkgoHelper()
	Expect(r.Violations()).To(BeZero(), r.Line())
	Expect(r.Answered).To(BeNumerically(">", 0))
}

func (f *fleet) setFaults(faults standin.Faults) {
	GinkgoHelper()
	body, err := json.Marshal(faults)
	Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPut, f.url+standin.PathFaults, bytes.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
}

func (f *fleet) setPhase(id tw.InstanceID, phase tw.InstancePhase) {
	GinkgoHelper()
	query := url.Values{"id": {string(id)}, "phase": {string(phase)}}
	resp, err := http.Post(f.url+standin.PathPhase+"?"+query.Encode(), "", nil)
	Expect(err).NotTo(HaveOccurred())
	resp.Body.Close()
}
