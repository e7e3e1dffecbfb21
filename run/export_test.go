package run

import (
	"context"

	tw "github.com/tamarindworks/tamarindworks"
)

// RunPhases returns the phases of a submission's runs.
func (o *Owner) RunPhases(ctx context.Context, id tw.SubmissionID) ([]string, error) {
	return query(ctx, o, func() ([]string, error) {
		var out []string
		for _, w := range o.workers {
			for key, r := range w.runs {
				if key.task.Submission == id {
					out = append(out, r.phase.String())
				}
			}
		}
		return out, nil
	})
}
