package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/standin"
)

const upstreamHelp = `Run a worker. It registers with the platform, runs the jobs that the platform
assigns to it, and appends a line to its record file before each run. The address is
printed on the first line.`

func addUpstream(app *kingpin.Application) {
	cmd := app.Command("upstream", upstreamHelp)
	listen := cmd.Flag("listen", "IP:port to listen on.").Default("127.0.0.1:0").String()
	url := cmd.Flag("platform", "URL of the platform.").Required().String()
	id := cmd.Flag("id", "Instance id.").Required().String()
	hall := cmd.Flag("hall", "Data hall.").Required().String()
	rack := cmd.Flag("rack", "Rack.").Required().String()
	labels := cmd.Flag("label", "Label, name=value; may be repeated.").StringMap()
	records := cmd.Flag("records", "File to append a line to for each run.").String()
	work := cmd.Flag("work", "Processing time of a request.").Default("5ms").Duration()
	cmd.Action(func(*kingpin.ParseContext) error {
		config := standin.UpstreamConfig{
			Listen:   *listen,
			Work:     *work,
			Register: standin.RegisterHTTP(*url),
			Instance: standin.WorkerInstance(tw.HallID(*hall), tw.RackID(*rack), tw.InstanceID(*id), *labels),
		}
		return serveUpstream(config, *records)
	})
}

func serveUpstream(config standin.UpstreamConfig, records string) error {
	if records != "" {
		file, err := os.OpenFile(records, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		config.Recorder = standin.NewRecorder(file)
	}
	u, err := config.New()
	if err != nil {
		return err
	}
	fmt.Println(u.Address())
	select {}
}
