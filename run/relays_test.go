package run_test

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/relay"
)

// shortRelays are other daemons, each as short as the one that relays its orders.
type shortRelays struct {
	shortage
	servers map[string]*relay.Server
	names   []string
	// link is what the daemon's link carries.
	link tw.BytesPerSecond
}

const (
	relayCount = 4
	// batchBytes and startBytes are the size of a message to a relay and of each order
	// in it, answerBytes that of an answer, with what TCP adds.
	batchBytes, startBytes, answerBytes = 450, 170, 90
)

// overRelays gives an owner that is short of its link, as it knows, other daemons with links
// as narrow.
func (r *rig) overRelays(orders tw.WorkerOrders) tw.WorkerOrders {
	short, is := orders.(shortOrders)
	if !is || r.link == 0 {
		return orders
	}
	relays := &shortRelays{shortage: short.shortage, servers: map[string]*relay.Server{}, link: r.link}
	for n := range relayCount {
		name := fmt.Sprintf("relay %d", n)
		relays.names = append(relays.names, name)
		own := short.shortage
		own.out, own.in = &resource{}, &resource{}
		relays.servers[name] = relay.ServerConfig{
			Orders: shortOrders{WorkerOrders: short.WorkerOrders, shortage: own}, Clock: tw.SystemClock{}, Log: zap.NewNop(), Metrics: r.figures,
		}.New()
	}
	over := relay.Config{
		Direct: orders, Relays: relays, Clock: tw.SystemClock{}, Log: testLog(), Metrics: r.figures, LinkBandwidth: r.link,
	}.New()
	r.relayed = append(r.relayed, over)
	return over
}

// Candidates implements tw.Relays.
func (s *shortRelays) Candidates(tw.HallID) []string { return s.names }

// Start implements tw.Relays.
func (s *shortRelays) Start(ctx context.Context, address string, batch []tw.RelayedStart, answer func(tw.RelayedAnswer)) error {
	size := batchBytes + len(batch)*startBytes
	for _, start := range batch {
		size += len(start.Order.Spec)
	}
	s.out.take(s.carry(size))
	time.Sleep(latency)
	s.servers[address].Start(ctx, batch, func(a tw.RelayedAnswer) {
		s.in.take(s.carry(answerBytes))
		answer(a)
	})
	return nil
}

func (s *shortRelays) carry(bytes int) time.Duration {
	return time.Duration(float64(bytes) / float64(s.link) * float64(time.Second))
}
