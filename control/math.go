package control

import (
	"math"
	"time"

	"go.uber.org/zap"

	tw "github.com/tamarindworks/tamarindworks"
)

// decay is what is left after a while of something that halves in half.
func decay(after, half time.Duration) float64 {
	return math.Exp2(-after.Seconds() / half.Seconds())
}

func zapDaemon(id tw.DaemonID) zap.Field { return zap.String("daemon", string(id)) }
