// Package demo runs a small fleet against the fakes of package standin, in one process.
package demo

import (
	"fmt"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/control"
	"github.com/tamarindworks/tamarindworks/daemon"
	"github.com/tamarindworks/tamarindworks/internal/standin"
	"github.com/tamarindworks/tamarindworks/platform"
)

type (
	// FleetConfig configures a Fleet.
	FleetConfig struct {
		Halls            []tw.HallID
		RacksPerHall     int
		InstancesPerRack int
		DaemonsPerHall   int
		Log              *zap.Logger
		Intervals        control.Intervals
		SilenceTimeout   tw.Duration // how long after its last report an upstream stays listed
	}

	// Fleet is a running fleet, all parts of which listen on loopback.
	Fleet struct {
		Platform  *standin.Platform
		Recorder  *standin.Recorder
		Upstreams map[tw.InstanceID]*standin.Upstream
		Daemons   []*daemon.Daemon
		Operator  *control.Operator
		url       string
		server    *http.Server
		config    FleetConfig
	}
)

// New starts a fleet without a configuration. Call Close to stop it.
func (c FleetConfig) New() (*Fleet, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "demo.New")
	}
	f := &Fleet{
		Platform:  standin.PlatformConfig{SilenceTimeout: c.SilenceTimeout.Std()}.New(),
		Recorder:  standin.NewRecorder(nil),
		Upstreams: map[tw.InstanceID]*standin.Upstream{},
		url:       "http://" + listener.Addr().String(),
		config:    c,
	}
	f.server = &http.Server{Handler: f.Platform.Handler()}
	go func() { _ = f.server.Serve(listener) }() // ends with Close
	f.Operator = control.OperatorConfig{
		Documents: platform.DocumentsConfig{Store: f.client(), Clock: tw.SystemClock{}}.New(),
		Peers:     control.PeerClientConfig{}.New(),
		Clock:     tw.SystemClock{},
	}.New()
	for _, hall := range c.Halls {
		if err := f.startHall(hall); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// GatewayAddresses returns the addresses of the gateways.
func (f *Fleet) GatewayAddresses() []string {
	var out []string
	for _, d := range f.Daemons {
		out = append(out, d.Gateway())
	}
	return out
}

// Close stops all daemons, upstreams and the platform at once.
func (f *Fleet) Close() {
	for _, d := range f.Daemons {
		d.Kill()
	}
	for _, u := range f.Upstreams {
		u.Close()
	}
	_ = f.server.Close() // an error does not matter here
}

func (f *Fleet) client() *platform.Client { return platform.ClientConfig{URL: f.url}.New() }

func (f *Fleet) startHall(hall tw.HallID) error {
	for r := range f.config.RacksPerHall {
		for i := range f.config.InstancesPerRack {
			rack := tw.RackID(fmt.Sprintf("%s-r%d", hall, r+1))
			id := tw.InstanceID(fmt.Sprintf("%s-w%d", rack, i+1))
			if err := f.startUpstream(hall, rack, id); err != nil {
				return err
			}
		}
	}
	for i := range f.config.DaemonsPerHall {
		if err := f.startDaemon(hall, tw.DaemonID(fmt.Sprintf("%s-entry%d", hall, i+1))); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startUpstream(hall tw.HallID, rack tw.RackID, id tw.InstanceID) error {
	u, err := standin.UpstreamConfig{
		Listen:   "127.0.0.1:0",
		Recorder: f.Recorder,
		Register: standin.RegisterHTTP(f.url),
		Instance: standin.WorkerInstance(hall, rack, id, map[string]string{"kind": "general"}),
	}.New()
	if err != nil {
		return errors.Wrap(err, "demo.startUpstream")
	}
	f.Upstreams[id] = u
	return nil
}

func (f *Fleet) startDaemon(hall tw.HallID, id tw.DaemonID) error {
	settings := daemon.Settings{
		ID:       id,
		Hall:     hall,
		Instance: tw.InstanceID(id),
		Listen:   daemon.ListenSettings{Gateway: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"},
		Platform: daemon.PlatformSettings{URL: f.url},
	}
	settings.SetDefaults()
	d, err := daemon.Config{Settings: settings, Log: f.config.Log, Intervals: f.config.Intervals}.New()
	if err != nil {
		return err
	}
	f.Daemons = append(f.Daemons, d)
	return nil
}
