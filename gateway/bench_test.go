package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// BenchmarkRequest compares a request through the gateway with one sent
// directly to the same upstream.
func BenchmarkRequest(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body) // a failure shows in the benchmark's client
	}))
	defer upstream.Close()
	g := Config{}.New()
	g.Install(newView(8, strings.TrimPrefix(upstream.URL, "http://")))
	through := httptest.NewServer(g)
	defer through.Close()
	for name, url := range map[string]string{"direct": upstream.URL, "gateway": through.URL} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				post(b, url)
			}
		})
	}
}

func post(b *testing.B, url string) {
	resp, err := http.Post(url, "text/plain", strings.NewReader("body"))
	if err != nil {
		b.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatalf("status %d", resp.StatusCode)
	}
}
