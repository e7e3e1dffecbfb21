package member

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/internal/fakeclock"
)

// What is kept of pings must not grow with names that no daemon has had.
func TestHeardEvacuationsAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := newTestMembers(t, fakeclock.New())
	for n := range 1000 {
		m.HandlePing(&PingRequest{From: tw.DaemonID(fmt.Sprint("stranger-", n))})
	}
	m.HandlePing(&PingRequest{From: "c"})
	g.Expect(m.heard).To(HaveLen(1))
}
