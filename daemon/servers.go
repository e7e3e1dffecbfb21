package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/tamarindworks/tamarindworks/internal/drain"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
)

// listenAll opens listeners on all addresses; if one fails, it closes the others.
func listenAll(addresses ...string) ([]*net.TCPListener, error) {
	var out []*net.TCPListener
	for _, address := range addresses {
		l, err := drain.Listen(address)
		if err != nil {
			for _, open := range out {
				_ = open.Close() // only the first error is returned
			}
			return nil, errors.Wrap(err, "daemon.listenAll")
		}
		out = append(out, l)
	}
	return out, nil
}

// serve runs a server in the background; shutdown stops it.
func serve(l *net.TCPListener, s *http.Server, log *zap.Logger) *drain.Server {
	s.ErrorLog = zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))
	server := drain.Config{HTTP: s}.New()
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error("daemon: listener failed", logsink.Err(err))
		}
	}()
	return server
}

// shutdown stops servers in parallel. It cuts requests off only when ctx ends.
func shutdown(ctx context.Context, servers []*drain.Server) error {
	failed := make([]error, len(servers))
	var wg sync.WaitGroup
	for n, s := range servers {
		wg.Go(func() { failed[n] = s.Shutdown(ctx) })
	}
	wg.Wait()
	return errors.Join(failed...)
}
