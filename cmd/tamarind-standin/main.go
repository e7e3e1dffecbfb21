// Command tamarind-standin runs stand-ins for the systems around tamarindworks:
// the platform, upstreams and callers. It is for development and tests only.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

const help = `Stand-ins for development and tests: a platform (store, instance list, tasks,
faults on demand), an upstream, and a bounded load.

Example, in three terminals:

  tamarind-standin platform --listen 127.0.0.1:7000
  tamarind-standin upstream --platform http://127.0.0.1:7000 --id w1 --hall h1 --rack r1
  tamarind-standin load --entry 127.0.0.1:8000 --path /check --records w1.runs
`

func main() {
	app := kingpin.New("tamarind-standin", help)
	addPlatform(app)
	addUpstream(app)
	addLoad(app)
	addExperiment(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}
