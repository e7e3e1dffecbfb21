package member

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/tcp"
	"github.com/tamarindworks/tamarindworks/internal/traffic"
)

// RPC procedures of the service between daemons.
const (
	procedurePing    = "/tamarind.member.v1.MemberService/Ping"
	procedureConfig  = "/tamarind.member.v1.MemberService/Config"
	procedureSubmit  = "/tamarind.member.v1.MemberService/Submit"
	procedureCancel  = "/tamarind.member.v1.MemberService/Cancel"
	procedureState   = "/tamarind.member.v1.MemberService/State"
	procedureWaiting = "/tamarind.member.v1.MemberService/Waiting"
	procedureTake    = "/tamarind.member.v1.MemberService/Take"
	procedureReport  = "/tamarind.member.v1.MemberService/Report"
	procedureStart   = "/tamarind.member.v1.MemberService/Start"

	procedureEvacuations = "/tamarind.member.v1.MemberService/Evacuations"
)

type (
	// jsonCodec makes connect encode plain structs as JSON. Messages between
	// daemons are small, and all daemons of a deployment run the same program.
	jsonCodec struct{}

	// Handler handles the calls of other daemons.
	Handler interface {
		Ping(ctx context.Context, m *PingRequest) (*PingResponse, error)
		Config(ctx context.Context, m *ConfigRequest) (*ConfigResponse, error)
		Submit(ctx context.Context, m *SubmitRequest) (*SubmitResponse, error)
		Cancel(ctx context.Context, m *SubmissionRequest) (*SubmissionResponse, error)
		State(ctx context.Context, m *SubmissionRequest) (*SubmissionResponse, error)
		Waiting(ctx context.Context, m *WaitingRequest) (*WaitingResponse, error)
		Take(ctx context.Context, m *TakeRequest) (*TakeResponse, error)
		Report(ctx context.Context, m *ReportRequest) (*ReportResponse, error)
		Evacuations(ctx context.Context, m *EvacuationsRequest) (*EvacuationsResponse, error)
		// Start sends orders to workers. It calls answer to stream the results.
		Start(ctx context.Context, m *StartRequest, answer func(*StartResponse) error) error
	}

	// Peers calls other daemons. Calls fail with tw.ErrNotListening (no process
	// listens at the address), tw.ErrUnavailable (certainly not executed) or
	// tw.ErrAmbiguous.
	Peers struct {
		meter *traffic.Meter
		// bulkOptions are the options of the calls that carry most bytes: Submit and Start.
		bulkOptions []connect.ClientOption

		mu      sync.Mutex
		clients map[string]*peerClients
	}

	// peerClient is the RPC client of one procedure of a daemon, and the connections to that daemon.
	peerClient[Req, Resp any] struct {
		*connect.Client[Req, Resp]
		connections *http.Client
	}

	// peerClients holds the RPC clients for one daemon, and their connections.
	peerClients struct {
		connections *http.Client

		ping    peerClient[PingRequest, PingResponse]
		config  peerClient[ConfigRequest, ConfigResponse]
		submit  peerClient[SubmitRequest, SubmitResponse]
		cancel  peerClient[SubmissionRequest, SubmissionResponse]
		state   peerClient[SubmissionRequest, SubmissionResponse]
		waiting peerClient[WaitingRequest, WaitingResponse]
		take    peerClient[TakeRequest, TakeResponse]
		report  peerClient[ReportRequest, ReportResponse]
		start   peerClient[StartRequest, StartResponse]

		evacuations peerClient[EvacuationsRequest, EvacuationsResponse]
	}
)

const (
	// maxIdlePeerConns is the maximum number of idle connections to one daemon.
	maxIdlePeerConns = 8
	peerIdleTimeout  = 90 * time.Second
	// maxPeerMessage is the maximum message size in bytes. It is above the size of the
	// largest configuration in the store.
	maxPeerMessage = 4 << 20
	// compressMinBytes is the size in bytes from which responses are compressed, such as
	// the reports of hundreds of workers. For the short responses to callers and pings,
	// compression would cost more processor time than the rest of the call.
	compressMinBytes = 2 << 10
	// compressRequestMinBytes is the size in bytes from which requests are compressed when
	// the bandwidth of a link is scarce.
	compressRequestMinBytes = 512
)

// Name implements connect.Codec.
func (jsonCodec) Name() string { return "json" }

// Marshal implements connect.Codec.
func (jsonCodec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal implements connect.Codec.
func (jsonCodec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }

// NewHandler returns the HTTP handler for the calls of other daemons.
func NewHandler(h Handler) http.Handler {
	mux := http.NewServeMux()
	serve(mux, procedurePing, h.Ping)
	serve(mux, procedureConfig, h.Config)
	serve(mux, procedureSubmit, h.Submit)
	serve(mux, procedureCancel, h.Cancel)
	serve(mux, procedureState, h.State)
	serve(mux, procedureWaiting, h.Waiting)
	serve(mux, procedureTake, h.Take)
	serve(mux, procedureReport, h.Report)
	serve(mux, procedureEvacuations, h.Evacuations)
	mux.Handle(procedureStart, connect.NewServerStreamHandlerSimple(procedureStart,
		func(ctx context.Context, m *StartRequest, stream *connect.ServerStream[StartResponse]) error {
			return h.Start(ctx, m, stream.Send)
		}, connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(maxPeerMessage), connect.WithCompressMinBytes(compressMinBytes)))
	return mux
}

func serve[Req, Resp any](mux *http.ServeMux, procedure string, f func(context.Context, *Req) (*Resp, error)) {
	mux.Handle(procedure, connect.NewUnaryHandlerSimple(procedure, f,
		connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(maxPeerMessage), connect.WithCompressMinBytes(compressMinBytes)))
}

// NewPeers returns a client for all daemons. It makes no calls yet. The meter counts the bytes
// transferred; it may be nil.
func NewPeers(meter *traffic.Meter) *Peers {
	return &Peers{meter: meter, clients: map[string]*peerClients{}}
}

// compressRequests are the options that compress requests.
var compressRequests = []connect.ClientOption{connect.WithSendGzip(), connect.WithCompressMinBytes(compressRequestMinBytes)}

// CompressRequests enables the compression of submissions and batches of orders, which saves
// bandwidth on slow links at the cost of processor time. It must be called before any other method.
func (p *Peers) CompressRequests() { p.bulkOptions = compressRequests }

// Close closes idle connections.
func (p *Peers) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, client := range p.clients {
		client.connections.CloseIdleConnections()
	}
}

func (p *Peers) clientsFor(address string) *peerClients {
	p.mu.Lock()
	defer p.mu.Unlock()
	client := p.clients[address]
	if client == nil {
		transport := &http.Transport{
			DialContext:         tcp.NewDialer().DialContext,
			MaxIdleConnsPerHost: maxIdlePeerConns,
			IdleConnTimeout:     peerIdleTimeout,
			DisableCompression:  true,
		}
		connections := &http.Client{Transport: p.meter.Transport(transport)}
		client = &peerClients{
			connections: connections,

			ping:    newClient[PingRequest, PingResponse](connections, address, procedurePing),
			config:  newClient[ConfigRequest, ConfigResponse](connections, address, procedureConfig),
			submit:  newClient[SubmitRequest, SubmitResponse](connections, address, procedureSubmit, p.bulkOptions...),
			cancel:  newClient[SubmissionRequest, SubmissionResponse](connections, address, procedureCancel),
			state:   newClient[SubmissionRequest, SubmissionResponse](connections, address, procedureState),
			waiting: newClient[WaitingRequest, WaitingResponse](connections, address, procedureWaiting),
			take:    newClient[TakeRequest, TakeResponse](connections, address, procedureTake),
			report:  newClient[ReportRequest, ReportResponse](connections, address, procedureReport),
			start:   newClient[StartRequest, StartResponse](connections, address, procedureStart, p.bulkOptions...),

			evacuations: newClient[EvacuationsRequest, EvacuationsResponse](connections, address, procedureEvacuations),
		}
		p.clients[address] = client
	}
	return client
}

func newClient[Req, Resp any](connections *http.Client, address, procedure string, more ...connect.ClientOption) peerClient[Req, Resp] {
	options := append([]connect.ClientOption{connect.WithCodec(jsonCodec{}), connect.WithReadMaxBytes(maxPeerMessage)}, more...)
	client := connect.NewClient[Req, Resp](connections, "http://"+address+procedure, options...)
	return peerClient[Req, Resp]{Client: client, connections: connections}
}

// Ping checks whether a daemon is live.
func (p *Peers) Ping(ctx context.Context, address string, m PingRequest) (*PingResponse, error) {
	return call(ctx, p.clientsFor(address).ping, &m)
}

// Config returns a daemon's configuration.
func (p *Peers) Config(ctx context.Context, address string) (*ConfigResponse, error) {
	return call(ctx, p.clientsFor(address).config, &ConfigRequest{})
}

// Submit submits a submission to the owner of its pool.
func (p *Peers) Submit(ctx context.Context, address string, s tw.Submission) (*SubmitResponse, error) {
	return call(ctx, p.clientsFor(address).submit, &SubmitRequest{Submission: s})
}

// Cancel has the owner of a pool cancel a submission.
func (p *Peers) Cancel(ctx context.Context, address string, m SubmissionRequest) (*SubmissionResponse, error) {
	return call(ctx, p.clientsFor(address).cancel, &m)
}

// State returns a submission's state from the owner of its pool.
func (p *Peers) State(ctx context.Context, address string, m SubmissionRequest) (*SubmissionResponse, error) {
	return call(ctx, p.clientsFor(address).state, &m)
}

// Waiting returns the number of waiting submissions from the owner of a pool.
func (p *Peers) Waiting(ctx context.Context, address string, m WaitingRequest) (*WaitingResponse, error) {
	return call(ctx, p.clientsFor(address).waiting, &m)
}

// Take asks a daemon to take over a pool. from is the fencing token of the
// requesting owner; see TakeRequest.Fence.
func (p *Peers) Take(ctx context.Context, address string, pool tw.PoolID, from tw.FencingToken) error {
	_, err := call(ctx, p.clientsFor(address).take, &TakeRequest{Pool: pool, Fence: from})
	return err
}

// Report returns the load of a pool from its owner.
func (p *Peers) Report(ctx context.Context, address string, m ReportRequest) (*ReportResponse, error) {
	return call(ctx, p.clientsFor(address).report, &m)
}

// Evacuations returns what a daemon knows of evacuated halls.
func (p *Peers) Evacuations(ctx context.Context, address string) (*EvacuationsResponse, error) {
	return call(ctx, p.clientsFor(address).evacuations, &EvacuationsRequest{})
}

// Start has a daemon send a batch of orders to workers. It calls answer with each
// result as it arrives.
func (p *Peers) Start(ctx context.Context, address string, batch []tw.RelayedStart, answer func(tw.RelayedAnswer)) error {
	request := newStartRequest(batch)
	stream, err := p.clientsFor(address).start.CallServerStream(ctx, connect.NewRequest(&request))
	if err != nil {
		return classifyError(err)
	}
	defer stream.Close()
	for stream.Receive() {
		for _, result := range stream.Msg().results() {
			answer(result.answer())
		}
	}
	if err := stream.Err(); err != nil {
		return classifyError(err)
	}
	return nil
}

// call makes a call. After one without an answer in time, further calls to that daemon use new
// connections: if its connection has gone silent, the idle ones probably have as well.
func call[Req, Resp any](ctx context.Context, client peerClient[Req, Resp], m *Req) (*Resp, error) {
	resp, err := client.CallUnary(ctx, connect.NewRequest(m))
	if err != nil {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			client.connections.CloseIdleConnections()
		}
		return nil, classifyError(err)
	}
	return resp.Msg, nil
}

// classifyError wraps a transport error in the matching error of package tw.
func classifyError(err error) error {
	switch {
	case tcp.Refused(err):
		return fmt.Errorf("member: %w: %w", tw.ErrNotListening, err)
	case tcp.NotConnected(err):
		return fmt.Errorf("member: %w: %w", tw.ErrUnavailable, err)
	}
	return fmt.Errorf("member: %w: %w", tw.ErrAmbiguous, err)
}
