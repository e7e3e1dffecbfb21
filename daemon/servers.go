package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/tamarindworks/tamarindworks/internal/drain"
	"github.com/tamarindworks/tamarindworks/internal/logsink"
)

// refuseTimeout bounds how long a daemon that can't start answers the connections in its backlogs.
// A connection without a request is closed after a second.
const refuseTimeout = 2 * time.Second

// listenAll opens listeners on all addresses; if one fails, it closes the others.
func listenAll(log *zap.Logger, addresses ...string) ([]*net.TCPListener, error) {
	var out []*net.TCPListener
	for _, address := range addresses {
		l, err := drain.Listen(address)
		if err != nil {
			err = errors.Wrap(err, "daemon.listenAll")
			return nil, errors.CombineErrors(err, closeListeners(out, log))
		}
		out = append(out, l)
	}
	return out, nil
}

// closeListeners refuses the requests in the listeners' backlogs, which closing alone would reset.
func closeListeners(listeners []*net.TCPListener, log *zap.Logger) error {
	refuse := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		log.Info("request: refused", zap.String("method", r.Method), zap.String("host", r.Host),
			zap.String("path", r.URL.Path), zap.Int("status", http.StatusServiceUnavailable), zap.String("why", "the daemon can't start"))
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	var servers []*drain.Server
	for _, l := range listeners {
		servers = append(servers, serve(l, &http.Server{Handler: refuse}, log))
	}
	ctx, cancel := context.WithTimeout(context.Background(), refuseTimeout)
	defer cancel()
	return shutdown(ctx, servers)
}

// serve runs a server in the background; shutdown stops it.
func serve(l *net.TCPListener, s *http.Server, log *zap.Logger) *drain.Server {
	s.ErrorLog = zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))
	server := drain.Config{HTTP: s, Log: log}.New()
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
