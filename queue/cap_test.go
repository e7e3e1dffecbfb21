package queue_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
)

// A gang that asks for more than its organisation's whole cap was accepted and waited for
// ever, as its members have to start together. It is known at once that it can't be served.
var gangCapCases = map[string]struct {
	body    string
	maximum tw.Resources
	// before: it was kept under a larger cap.
	before bool
	status int
}{
	"a gang within the cap": {body: gangBody, maximum: tw.Resources{CPU: 8000}, status: http.StatusOK},
	"a gang over the cap":   {body: gangBody, maximum: tw.Resources{CPU: 7999}, status: http.StatusServiceUnavailable},
	"no cap on what it asks for": {
		body: gangBody, maximum: tw.Resources{GPU: 1}, status: http.StatusOK,
	},
	"others over the cap run one by one": {body: looseBody, maximum: tw.Resources{CPU: 1000}, status: http.StatusOK},
	"a gang that was kept before the cap fell": {
		body: gangBody, maximum: tw.Resources{CPU: 7999}, before: true, status: http.StatusOK,
	},
}

const (
	gangBody  = `{"spec":"x","steps":[{"count":4,"cpu":2000,"memMb":10,"estimatedMs":1,"gang":true}]}`
	looseBody = `{"spec":"x","steps":[{"count":4,"cpu":2000,"memMb":10,"estimatedMs":1}]}`
)

func TestGangOverTheCap(t *testing.T) {
	for name, c := range gangCapCases {
		t.Run(name, func(t *testing.T) {
			g := newKeyedGate(t)
			if c.before {
				g.Expect(g.callWith([]string{redKey}, http.MethodPost, "/x/"+goodID, c.body).Code).To(Equal(http.StatusOK))
			}
			g.config.Organisations[0].UsageCap = c.maximum
			w := g.callWith([]string{redKey}, http.MethodPost, "/x/"+goodID, c.body)
			g.Expect(w.Code).To(Equal(c.status), w.Body.String())
			g.Expect(w.Header().Get("Retry-After") != "").To(Equal(c.status == http.StatusServiceUnavailable))
			g.Expect(g.kept()).To(Equal(c.status == http.StatusOK))
		})
	}
}
