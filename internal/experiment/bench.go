package experiment

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/gateway"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

// bench is one gateway in front of fake upstreams, without the control plane.
type bench struct {
	gatewayAddress    string
	upstreamAddresses []string
	gateway           *gateway.Gateway
	recorder          *standin.Recorder
	upstreams         []*standin.Upstream
	server            *http.Server
}

const (
	benchJob      tw.JobID = "job"
	benchHost     string   = "bench"
	instanceSlots tw.Slots = 8
)

func newBench(instances int) (*bench, error) {
	b := &bench{recorder: standin.NewRecorder(nil), gateway: gateway.Config{}.New()}
	for i := range instances {
		u, err := standin.UpstreamConfig{
			Listen:   "127.0.0.1:0",
			Recorder: b.recorder,
			Instance: tw.Instance{ID: tw.InstanceID(fmt.Sprintf("w%d", i)), Slots: instanceSlots},
			Register: func(context.Context, tw.Instance) ([]tw.JobID, error) { return []tw.JobID{benchJob}, nil },
		}.New()
		if err != nil {
			b.close()
			return nil, err
		}
		b.upstreams = append(b.upstreams, u)
		b.upstreamAddresses = append(b.upstreamAddresses, u.Address())
	}
	b.gateway.Install(b.view())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.close()
		return nil, err
	}
	b.gatewayAddress = listener.Addr().String()
	b.server = &http.Server{Handler: b.gateway}
	go func() { _ = b.server.Serve(listener) }() // ends with close
	time.Sleep(registerTime)
	return b, nil
}

// registerTime is how long to wait until all upstreams have registered and know their jobs.
const registerTime = 300 * time.Millisecond

func (b *bench) view() tw.View {
	config := &tw.FleetConfig{
		Halls: []tw.HallID{"h1"},
		Jobs:  []tw.Job{{ID: benchJob, Service: "svc"}},
		Teams: []tw.Team{{ID: "a"}, {ID: "b"}},
		Services: []tw.Service{{ID: "svc", Routes: []tw.Route{
			{Path: "/quick", Job: benchJob, Class: tw.ClassQuick},
			{Path: "/normal", Job: benchJob, Class: tw.ClassNormal},
			{Path: "/long", Job: benchJob, Class: tw.ClassLong, Timeout: tw.Duration(30 * time.Second)},
		}}},
	}
	config.SetDefaults()
	plan := &tw.Plan{Hall: "h1", Generation: 1}
	for i, address := range b.upstreamAddresses {
		plan.Instances = append(plan.Instances, tw.Assignment{
			Instance: tw.InstanceID(fmt.Sprintf("w%d", i)),
			Address:  address,
			Slots:    instanceSlots,
			State:    tw.InstanceServing,
			Jobs:     []tw.Placement{{Job: benchJob, State: tw.PlacementRunning}},
		})
	}
	return tw.View{
		Hall:       "h1",
		Self:       "d1",
		Registered: true,
		Config:     config,
		Plan:       plan,
		Members:    []tw.Member{{ID: "d1", Hall: "h1"}},
	}
}

func (b *bench) close() {
	if b.server != nil {
		_ = b.server.Close() // the bench is closing anyway
	}
	for _, u := range b.upstreams {
		u.Close()
	}
}

func (b *bench) load(requests int, rate float64, streams []standin.Stream) standin.LoadConfig {
	return standin.LoadConfig{
		Targets:     []string{b.gatewayAddress},
		Requests:    requests,
		Rate:        rate,
		Streams:     streams,
		Timeout:     time.Minute,
		CollectRuns: func() (standin.Runs, error) { return b.recorder.Runs(), nil },
	}
}
