package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/tamarindworks/tamarindworks/internal/standin"
)

const platformHelp = `Run a platform: store, instance list and tasks, in memory.

Faults are set with PUT /standin/faults, for example
{"down":true}, {"delay":"300ms"}, {"lose_answers":3}, {"stale_list":true}.
The address is printed on the first line.`

func addPlatform(app *kingpin.Application) {
	cmd := app.Command("platform", platformHelp)
	listen := cmd.Flag("listen", "IP:port to listen on.").Default("127.0.0.1:0").String()
	silence := cmd.Flag("silence", "Time without contact after which an upstream counts as lost.").Default("1s").Duration()
	cmd.Action(func(*kingpin.ParseContext) error { return servePlatform(*listen, *silence) })
}

func servePlatform(listen string, silence time.Duration) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	fmt.Println(listener.Addr())
	return http.Serve(listener, standin.PlatformConfig{SilenceTimeout: silence}.New().Handler())
}
