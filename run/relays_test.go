package run_test

import (
	"context"
	"fmt"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/relay"
)

// bottleneckRelays are other daemons, each with resources of its own that are as limited as those
// of the daemon whose orders they relay.
type bottleneckRelays struct {
	bottleneck
	servers map[string]*relay.Server
	names   []string
	// link is the bandwidth of the daemon's link.
	link tw.BytesPerSecond
}

const (
	relayCount = 4
	// batchBytes and startBytes are the size of a message to a relay and of each order in it,
	// answerBytes that of an answer, including the overhead of TCP.
	batchBytes, startBytes, answerBytes = 450, 170, 90
)

// withRelays returns a client that also sends orders through relays, if the owner has a bottleneck
// and knows the bandwidth of its link. The relays have the same bandwidth.
func (r *rig) withRelays(orders tw.WorkerOrders) tw.WorkerOrders {
	short, ok := orders.(bottleneckOrders)
	if !ok || r.link == 0 {
		return orders
	}
	relays := &bottleneckRelays{bottleneck: short.bottleneck, servers: map[string]*relay.Server{}, link: r.link}
	for n := range relayCount {
		name := fmt.Sprintf("relay %d", n)
		relays.names = append(relays.names, name)
		relayBottleneck := short.bottleneck
		relayBottleneck.out, relayBottleneck.in = &resource{}, &resource{}
		relays.servers[name] = relay.ServerConfig{
			Orders: bottleneckOrders{WorkerOrders: short.WorkerOrders, bottleneck: relayBottleneck}, Clock: tw.SystemClock{}, Log: testLog(r.t), Metrics: r.metricSet,
		}.New()
	}
	relayed := relay.Config{
		Direct: orders, Relays: relays, Clock: tw.SystemClock{}, Log: testLog(r.t), Metrics: r.metricSet, LinkBandwidth: r.link,
	}.New()
	r.relayed = append(r.relayed, relayed)
	return relayed
}

// Candidates implements tw.Relays.
func (s *bottleneckRelays) Candidates(tw.HallID) []string { return s.names }

// Start implements tw.Relays.
func (s *bottleneckRelays) Start(ctx context.Context, address string, batch []tw.RelayedStart, answer func(tw.RelayedAnswer)) error {
	size := batchBytes + len(batch)*startBytes
	for _, start := range batch {
		size += len(start.Order.Spec)
	}
	s.out.use(s.transferTime(size))
	time.Sleep(latency)
	s.servers[address].Start(ctx, batch, func(answers []tw.RelayedAnswer) {
		s.in.use(s.transferTime(answerBytes * len(answers)))
		for _, a := range answers {
			answer(a)
		}
	})
	return nil
}

func (s *bottleneckRelays) transferTime(bytes int) time.Duration {
	return time.Duration(float64(bytes) / float64(s.link) * float64(time.Second))
}
