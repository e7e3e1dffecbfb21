package queue_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// A gang that needs more than its organisation's usage cap must be refused. Otherwise it waits
// forever, because its subtasks have to start together.
var gangCapCases = map[string]struct {
	body     string
	usageCap tw.Resources
	// storedBefore: the submission was stored under a larger cap.
	storedBefore bool
	status       int
}{
	"a gang within the cap": {body: gangBody, usageCap: tw.Resources{CPU: 8000}, status: http.StatusOK},
	"a gang over the cap":   {body: gangBody, usageCap: tw.Resources{CPU: 7999}, status: http.StatusServiceUnavailable},
	"no cap on the resource": {
		body: gangBody, usageCap: tw.Resources{GPU: 1}, status: http.StatusOK,
	},
	"independent subtasks over the cap": {body: independentBody, usageCap: tw.Resources{CPU: 1000}, status: http.StatusOK},
	"a gang that was stored before the cap was lowered": {
		body: gangBody, usageCap: tw.Resources{CPU: 7999}, storedBefore: true, status: http.StatusOK,
	},
}

const (
	gangBody        = `{"spec":"x","steps":[{"count":4,"cpu":2000,"memMb":10,"estimatedMs":1,"gang":true}]}`
	independentBody = `{"spec":"x","steps":[{"count":4,"cpu":2000,"memMb":10,"estimatedMs":1}]}`
)

func TestGangOverTheCap(t *testing.T) {
	for name, c := range gangCapCases {
		t.Run(name, func(t *testing.T) {
			g := newKeyedFixture(t)
			if c.storedBefore {
				g.Expect(g.callWith([]string{redKey}, http.MethodPost, "/x/"+goodID, c.body).Code).To(Equal(http.StatusOK))
			}
			g.config.Organisations[0].UsageCap = c.usageCap
			w := g.callWith([]string{redKey}, http.MethodPost, "/x/"+goodID, c.body)
			g.Expect(w.Code).To(Equal(c.status), w.Body.String())
			g.Expect(w.Header().Get("Retry-After") != "").To(Equal(c.status == http.StatusServiceUnavailable))
			g.Expect(g.stored()).To(Equal(c.status == http.StatusOK))
		})
	}
}
