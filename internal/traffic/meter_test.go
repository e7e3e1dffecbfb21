package traffic_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/tamarindworks/tamarindworks/internal/traffic"
)

// paths are requests and the kinds under which they are counted.
var paths = map[string]string{
	"/api/run-start":                           "run-start",
	"/api/kv-keep/12345":                       "kv-keep",
	"/tamarind.member.v1.MemberService/Submit": "peer-submit",
	"/puxa400/5c0e7a21d94b36f8":                "callers",
}

// Client and server count a request and its response alike, with exact body sizes and
// approximate headers.
func TestMeter(t *testing.T) {
	for path, kind := range paths {
		t.Run(path, func(t *testing.T) {
			g := NewWithT(t)
			const sent, answered = 3000, 700
			set := metrics.NewSet()
			client, server := traffic.New(set), traffic.New(metrics.NewSet())
			httpServer := httptest.NewServer(server.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = w.Write(bytes.Repeat([]byte("x"), answered))
			})))
			defer httpServer.Close()
			c := http.Client{Transport: client.Transport(http.DefaultTransport)}
			resp, err := c.Post(httpServer.URL+path, "text/plain", strings.NewReader(strings.Repeat("y", sent)))
			g.Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, resp.Body)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.Body.Close()).To(Succeed())
			clientCount, serverCount := client.Totals()[kind], server.Totals()[kind]
			g.Expect(clientCount.Messages).To(BeEquivalentTo(1))
			g.Expect(int(clientCount.Sent)).To(And(BeNumerically(">", sent), BeNumerically("<", sent+300)))
			g.Expect(int(clientCount.Received)).To(And(BeNumerically(">", answered), BeNumerically("<", answered+300)))
			g.Expect(int(serverCount.Received)).To(BeNumerically(">=", int(clientCount.Sent)))
			g.Expect(serverCount.Sent).To(Equal(clientCount.Received))
			var output bytes.Buffer
			set.WritePrometheus(&output)
			g.Expect(output.String()).To(ContainSubstring(`tamarind_sent_bytes_total{kind="` + kind + `"}`))
		})
	}
}

func TestNilMeter(t *testing.T) {
	g := NewWithT(t)
	var none *traffic.Meter
	g.Expect(none.Transport(http.DefaultTransport)).To(BeIdenticalTo(http.DefaultTransport))
	g.Expect(none.Totals()).To(BeEmpty())
}
