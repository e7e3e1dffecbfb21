package experiment

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/control"
	"github.com/tamarindworks/tamarindworks/daemon"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/platform"
)

type (
	// deploymentSize is the size of a deployment that consists of equal halls.
	deploymentSize struct {
		daemons int // per hall
		halls   int
		shape
	}

	// deployment holds the daemons, the fake platform and the operator of a deployment
	// that runs in this process.
	deployment struct {
		size     deploymentSize
		platform *standin.Platform
		server   *http.Server
		url      string
		daemons  []*daemon.Daemon
		operator *control.Operator
		peers    meter
		store    meter
		revision tw.Revision
	}
)

var deploymentSizes = []deploymentSize{
	{daemons: 3, halls: 3, shape: shape{name: "today", workers: 20, pools: 5, replicas: 3, rackSize: 4}},
	{daemons: 5, halls: 2, shape: shape{workers: 38, pools: 12, replicas: 3, rackSize: 4}},
	{daemons: 10, halls: 2, shape: shape{workers: 60, pools: 25, replicas: 2, rackSize: 4}},
	{daemons: 20, halls: 2, shape: shape{name: "900 workers in 8 halls", workers: 112, pools: 51, replicas: 2, rackSize: 4}},
}

const (
	idleTime    = 20 * time.Second
	changeCount = 7
)

// Control measures a daemon's resource use when idle and how long a configuration change
// needs to take effect, for each of deploymentSizes. The CPU time and the heap size per
// daemon are those of this process divided by the number of daemons. They are upper bounds,
// since they include the fake platform.
func Control(ctx context.Context, out io.Writer) error {
	for _, size := range deploymentSizes {
		if err := size.measure(ctx, out); err != nil {
			return err
		}
	}
	return nil
}

func (s deploymentSize) measure(ctx context.Context, out io.Writer) error {
	dep, err := s.start()
	if err != nil {
		return err
	}
	defer dep.close()
	if err := dep.applyChange(ctx); err != nil {
		return err
	}
	if err := dep.waitSettled(ctx); err != nil {
		return err
	}
	dep.measureIdle(out)
	return dep.measureChanges(ctx, out)
}

func (s deploymentSize) start() (*deployment, error) {
	dep := &deployment{size: s, platform: standin.PlatformConfig{AutoRun: true}.New()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "experiment.start")
	}
	dep.url = "http://" + listener.Addr().String()
	dep.server = &http.Server{Handler: dep.platform.Handler()}
	go func() { _ = dep.server.Serve(meteredListener{listener, &dep.store}) }() // ends with close
	for _, hall := range s.hallIDs() {
		if err := dep.startHall(hall); err != nil {
			dep.close()
			return nil, err
		}
	}
	dep.operator = control.OperatorConfig{
		Documents: platform.DocumentsConfig{Store: dep.platform, Clock: tw.SystemClock{}, CallsPerSecond: 1000}.New(),
		Peers:     control.PeerClientConfig{}.New(),
		Clock:     tw.SystemClock{},
	}.New()
	return dep, nil
}

func (s deploymentSize) hallIDs() []tw.HallID {
	var out []tw.HallID
	for i := range s.halls {
		out = append(out, tw.HallID(fmt.Sprintf("h%d", i+1)))
	}
	return out
}

func (dep *deployment) startHall(hall tw.HallID) error {
	for i := range dep.size.workers {
		w := dep.size.worker(i)
		w.ID = tw.InstanceID(string(hall) + "-" + string(w.ID))
		w.Hall = hall
		w.Role = tw.RoleWorker
		w.Address = "127.0.0.1:9"
		dep.platform.SetInstance(w)
	}
	for i := range dep.size.daemons {
		if err := dep.startDaemon(hall, i); err != nil {
			return err
		}
	}
	return nil
}

func (dep *deployment) startDaemon(hall tw.HallID, i int) error {
	id := tw.DaemonID(fmt.Sprintf("%s-entry-%02d", hall, i))
	settings := daemon.Settings{
		ID:       id,
		Hall:     hall,
		Instance: tw.InstanceID(id),
		Listen:   daemon.ListenSettings{Gateway: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"},
		Platform: daemon.PlatformSettings{URL: dep.url},
	}
	settings.SetDefaults()
	d, err := daemon.Config{Settings: settings, Peers: control.PeerClientConfig{Dial: dep.peers.dial}.New()}.New()
	if err == nil {
		dep.daemons = append(dep.daemons, d)
	}
	return err
}

func (dep *deployment) close() {
	for _, d := range dep.daemons {
		d.Kill()
	}
	_ = dep.server.Close() // the deployment is closing anyway
}

// applyChange applies the next configuration and waits until all daemons have it.
func (dep *deployment) applyChange(ctx context.Context) error {
	accepted, err := dep.operator.Apply(ctx, dep.size.configTOML(dep.revision), "experiment", dep.revision)
	if err != nil {
		return err
	}
	dep.revision = accepted.Revision
	for {
		daemons, err := dep.operator.WaitForRevision(ctx, dep.size.hallIDs(), accepted.Revision)
		if err != nil || len(daemons) == dep.size.daemons*dep.size.halls {
			return err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// waitSettled waits until every replica runs.
func (dep *deployment) waitSettled(ctx context.Context) error {
	for _, hall := range dep.size.hallIDs() {
		for !dep.hallSettled(ctx, hall) {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

func (dep *deployment) hallSettled(ctx context.Context, hall tw.HallID) bool {
	plan, err := dep.operator.Plan(ctx, hall)
	wanted := dep.size.pools*dep.size.replicas + extraReplicas(dep.revision-1)
	return err == nil && plan.Revision == dep.revision && runningReplicas(&plan) == wanted
}

func runningReplicas(plan *tw.Plan) int {
	n := 0
	for i := range plan.Instances {
		a := &plan.Instances[i]
		for _, placement := range a.Jobs {
			if a.Serves(placement.Job) {
				n++
			}
		}
	}
	return n
}

func (dep *deployment) measureIdle(out io.Writer) {
	time.Sleep(2 * time.Second)
	before, peers, store, cpu := dep.platform.Calls(), dep.peers.bytes.Load(), dep.store.bytes.Load(), processCPUTime()
	time.Sleep(idleTime)
	seconds := idleTime.Seconds()
	daemons := float64(dep.size.daemons * dep.size.halls)
	halls := float64(dep.size.halls)
	after := dep.platform.Calls()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	// Each byte between peers is sent by one daemon and received by another.
	peerRate := 2 * float64(dep.peers.bytes.Load()-peers) / seconds / daemons
	storeRate := float64(dep.store.bytes.Load()-store) / seconds / daemons
	fmt.Fprintf(out, "halls=%d daemons=%-3d workers=%-4d pools=%-3d a daemon: cpu=%.2f%% of a core, peers=%.0f B/s, platform=%.0f B/s, heap=%.1f MB; store, a hall: %.2f reads/s, %.2f writes/s; falsely down %d\n",
		dep.size.halls, dep.size.daemons, dep.size.workers, dep.size.pools,
		100*(processCPUTime()-cpu).Seconds()/seconds/daemons, peerRate, storeRate, float64(memory.HeapAlloc)/daemons/1e6,
		float64(after.Reads-before.Reads)/seconds/halls, float64(after.Writes-before.Writes)/seconds/halls, dep.falselyDown())
}

// falselyDown counts how often a daemon considered a peer down. No daemon is ever stopped
// here, so each is a false positive.
func (dep *deployment) falselyDown() int {
	n := 0
	for _, d := range dep.daemons {
		n += d.PeersDown()
	}
	return n
}

// measureChanges measures how long changes take until the last daemon has them and until
// the last task runs.
func (dep *deployment) measureChanges(ctx context.Context, out io.Writer) error {
	var inForce, lastTask []time.Duration
	for range changeCount {
		start := time.Now()
		if err := dep.applyChange(ctx); err != nil {
			return err
		}
		inForce = append(inForce, time.Since(start).Round(time.Millisecond))
		if err := dep.waitSettled(ctx); err != nil {
			return err
		}
		lastTask = append(lastTask, time.Since(start).Round(time.Millisecond))
	}
	slices.Sort(inForce)
	slices.Sort(lastTask)
	fmt.Fprintf(out, "halls=%d daemons=%-3d workers=%-4d pools=%-3d a change: in force median %v, worst %v; last task median %v, worst %v (n=%d)\n",
		dep.size.halls, dep.size.daemons, dep.size.workers, dep.size.pools, inForce[changeCount/2], inForce[changeCount-1], lastTask[changeCount/2], lastTask[changeCount-1], changeCount)
	return nil
}

// extraReplicas gives the first job one more replica in every other configuration, so that
// each change starts or stops a task. base is the revision that the configuration replaces.
func extraReplicas(base tw.Revision) int { return int(base % 2) }

// configTOML returns the configuration, in TOML, that replaces revision base.
func (s deploymentSize) configTOML(base tw.Revision) string {
	var b strings.Builder
	fmt.Fprintf(&b, "halls = [")
	for _, hall := range s.hallIDs() {
		fmt.Fprintf(&b, "%q, ", hall)
	}
	fmt.Fprintf(&b, "]\n")
	for i := range s.pools {
		id := fmt.Sprintf("p%02d", i)
		fmt.Fprintf(&b, "[[pools]]\nid = %q\ninstances = \"kind=general\"\njobs = \"pool=%s\"\n", id, id)
		replicas := s.replicas
		if i == 0 {
			replicas += extraReplicas(base)
		}
		fmt.Fprintf(&b, "[[jobs]]\nid = \"job-%s\"\nservice = \"svc-%s\"\nlabels = { pool = %q }\nreplicas = %d\ncores = 8\n", id, id, id, replicas)
		fmt.Fprintf(&b, "[[services]]\nid = \"svc-%s\"\n[[services.routes]]\nhost = \"%s.test\"\npath = \"/\"\njob = \"job-%s\"\n", id, id, id)
	}
	return b.String()
}
