package logsink_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/tamarindworks/tamarindworks/internal/logsink"
)

// stalled is an output that takes nothing until it is released.
type stalled struct {
	released chan struct{}
	taken    bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.released
	return s.taken.Write(p)
}

// An output that stalls never blocks the one who logs; what is dropped is
// counted, and lines of failed requests are kept before others.
func TestSinkStalls(t *testing.T) {
	g := NewWithT(t)
	out := &stalled{released: make(chan struct{})}
	sink := logsink.Config{Out: out, Lines: 10}.New()
	for n := range 1000 {
		line := fmt.Sprintf(`{"level":"info","msg":"run: ordered","n":%d}`+"\n", n)
		_, err := sink.Write([]byte(line))
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, err := sink.Write([]byte(`{"level":"info","msg":"request: refused","status":503}` + "\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(sink.Dropped()).To(BeNumerically(">", 900))
	close(out.released)
	sink.Close()
	text := out.taken.String()
	g.Expect(text).To(ContainSubstring("request: refused"))
	g.Expect(strings.Count(text, "run: ordered")).To(BeNumerically("<", 100))
}

func TestSinkWritesInOrder(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	sink := logsink.Config{Out: &out}.New()
	for n := range 3 {
		_, err := sink.Write(fmt.Appendf(nil, "line %d\n", n))
		g.Expect(err).NotTo(HaveOccurred())
	}
	sink.Close()
	g.Expect(out.String()).To(Equal("line 0\nline 1\nline 2\n"))
}
