package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/control/peerpb"
	"github.com/tamarindworks/tamarindworks/control/peerpb/peerpbconnect"
)

type (
	// PeerClientConfig configures a PeerClient.
	PeerClientConfig struct {
		Timeout time.Duration // of a call
		// Dial replaces the default dialer, so that tests can interrupt connections
		// and count their traffic.
		Dial func(ctx context.Context, network, address string) (net.Conn, error)
	}

	// PeerClient calls other daemons with connect-go over unencrypted HTTP/2.
	PeerClient struct {
		timeout time.Duration
		http    *http.Client

		mu      sync.Mutex
		clients map[string]peerpbconnect.PeerServiceClient
	}
)

const defaultPeerTimeout = time.Second

var _ tw.Peers = (*PeerClient)(nil)

// New creates a client without connecting.
func (c PeerClientConfig) New() *PeerClient {
	if c.Timeout == 0 {
		c.Timeout = defaultPeerTimeout
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: c.Timeout}).DialContext
	}
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		DialContext:     c.Dial,
		Protocols:       protocols,
		IdleConnTimeout: time.Minute,
		HTTP2: &http.HTTP2Config{
			// Pings detect a peer that is gone without closing its connection.
			SendPingTimeout: 5 * time.Second,
			PingTimeout:     5 * time.Second,
		},
	}
	return &PeerClient{
		timeout: c.Timeout,
		http:    &http.Client{Transport: transport},
		clients: map[string]peerpbconnect.PeerServiceClient{},
	}
}

// Sync implements tw.Peers.
func (c *PeerClient) Sync(ctx context.Context, address string, req tw.SyncRequest) (tw.SyncResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.client(address).Sync(ctx, connect.NewRequest(&peerpb.SyncRequest{
		Self:       memberToWire(req.Self),
		Others:     membersToWire(req.Others),
		Generation: uint64(req.Generation),
		WantReport: req.WantReport,
	}))
	if err != nil {
		return tw.SyncResponse{}, peerError(err)
	}
	return tw.SyncResponse{
		Self:   memberFromWire(resp.Msg.GetSelf()),
		Others: membersFromWire(resp.Msg.GetOthers()),
		Config: resp.Msg.GetConfig(),
		Plan:   resp.Msg.GetPlan(),
	}, nil
}

// Claim implements tw.Peers.
func (c *PeerClient) Claim(ctx context.Context, address string, claim tw.Claim) (tw.Claim, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	resp, err := c.client(address).Claim(ctx, connect.NewRequest(claimToWire(claim)))
	if err != nil {
		return tw.Claim{}, peerError(err)
	}
	return claimFromWire(resp.Msg), nil
}

// Close closes idle connections.
func (c *PeerClient) Close() { c.http.CloseIdleConnections() }

func (c *PeerClient) client(address string) peerpbconnect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[address]
	if client == nil {
		client = peerpbconnect.NewPeerServiceClient(c.http, "http://"+address)
		c.clients[address] = client
	}
	return client
}

func peerError(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("control: peer: %w: %w", tw.ErrNotListening, err)
	}
	return fmt.Errorf("control: peer: %w: %w", tw.ErrUnavailable, err)
}
