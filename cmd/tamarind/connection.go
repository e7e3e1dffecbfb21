package main

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/control"
	"github.com/tamarindworks/tamarindworks/platform"
)

// connection holds the flags for connecting to the fleet.
type connection struct {
	platform *string
	timeout  *time.Duration
}

func addConnection(app *kingpin.Application) *connection {
	return &connection{
		platform: app.Flag("platform", "URL of the platform.").Envar("TAMARIND_PLATFORM").String(),
		timeout:  app.Flag("timeout", "Timeout of the command's calls.").Default("10s").Duration(),
	}
}

// withOperator calls do with an operator and a context with the timeout.
func (c *connection) withOperator(do func(ctx context.Context, o *control.Operator) error) error {
	if *c.platform == "" {
		return errors.Wrap(errUsage, "give --platform or set TAMARIND_PLATFORM")
	}
	client := platform.ClientConfig{URL: *c.platform}.New()
	peers := control.PeerClientConfig{}.New()
	defer client.Close()
	defer peers.Close()
	operator := control.OperatorConfig{
		Documents: platform.DocumentsConfig{Store: client, Clock: tw.SystemClock{}}.New(),
		Peers:     peers,
		Clock:     tw.SystemClock{},
	}.New()
	ctx, cancel := context.WithTimeout(context.Background(), *c.timeout)
	defer cancel()
	return do(ctx, operator)
}
