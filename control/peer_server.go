package control

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/control/peerpb"
	"github.com/tamarindworks/tamarindworks/control/peerpb/peerpbconnect"
)

// peerServer adapts a tw.PeerHandler to the generated service interface.
type peerServer struct{ handler tw.PeerHandler }

// NewPeerServer returns the HTTP handler of the peer service. It must be served over
// unencrypted HTTP/2; see ServerProtocols.
func NewPeerServer(handler tw.PeerHandler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewPeerServiceHandler(peerServer{handler}))
	return mux
}

// ServerProtocols returns the protocols that a peer server must support.
func ServerProtocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// Sync handles a heartbeat.
func (s peerServer) Sync(_ context.Context, req *connect.Request[peerpb.SyncRequest]) (*connect.Response[peerpb.SyncResponse], error) {
	resp := s.handler.HandleSync(tw.SyncRequest{
		Self:       memberFromWire(req.Msg.GetSelf()),
		Others:     membersFromWire(req.Msg.GetOthers()),
		Generation: tw.Generation(req.Msg.GetGeneration()),
		WantReport: req.Msg.GetWantReport(),
	})
	return connect.NewResponse(&peerpb.SyncResponse{
		Self:   memberToWire(resp.Self),
		Others: membersToWire(resp.Others),
		Config: resp.Config,
		Plan:   resp.Plan,
	}), nil
}

// Claim handles a claim on an idempotency key.
func (s peerServer) Claim(_ context.Context, req *connect.Request[peerpb.ClaimMessage]) (*connect.Response[peerpb.ClaimMessage], error) {
	return connect.NewResponse(claimToWire(s.handler.HandleClaim(claimFromWire(req.Msg)))), nil
}
