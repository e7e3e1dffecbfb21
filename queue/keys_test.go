package queue_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/ledger"
)

const (
	redKey  = "kx7f3a91c2d4red"
	blueKey = "kx7f3a91c2d4blue"
	oldKey  = "kx7f3a91c2d4old"
	header  = "Tamarindworks-Credential"
)

// newKeyedFixture returns a fixture with two organisations, a route that requires a key and a
// public one.
func newKeyedFixture(t *testing.T) *fixture {
	g := newFixture(t)
	g.handler.RequireKeys = true
	g.config.Routes = append(g.config.Routes, tw.QueueRoute{
		Host: "a.example", Prefix: "/open/", Public: true, Policy: tw.RoutePolicy{Route: "o", Pool: "p", Attempts: 1},
	})
	g.config.Organisations = []tw.Organisation{
		{ID: "red", Keys: []tw.KeyDigest{tw.DigestKey(redKey), tw.DigestKey(redKey + "2")}},
		{ID: "blue", Keys: []tw.KeyDigest{tw.DigestKey(blueKey)}},
	}
	return g
}

// callWith sends a request with keys, each in a separate header.
func (g *fixture) callWith(keys []string, method, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Host = "a.example"
	for _, key := range keys {
		r.Header.Add(header, key)
	}
	w := httptest.NewRecorder()
	g.handler.ServeHTTP(w, r)
	return w
}

// keyCases are the keys of a request, and the expected status.
var keyCases = map[string]struct {
	keys   []string
	path   string
	status int
}{
	"a key":              {keys: []string{redKey}, path: "/x/", status: http.StatusOK},
	"a second key":       {keys: []string{redKey + "2"}, path: "/x/", status: http.StatusOK},
	"none":               {path: "/x/", status: http.StatusUnauthorized},
	"an empty one":       {keys: []string{""}, path: "/x/", status: http.StatusUnauthorized},
	"two keys":           {keys: []string{redKey, redKey}, path: "/x/", status: http.StatusUnauthorized},
	"two in one":         {keys: []string{redKey + "," + redKey}, path: "/x/", status: http.StatusUnauthorized},
	"a padded one":       {keys: []string{" " + redKey}, path: "/x/", status: http.StatusUnauthorized},
	"with a scheme":      {keys: []string{"Bearer " + redKey}, path: "/x/", status: http.StatusUnauthorized},
	"an unknown one":     {keys: []string{"never"}, path: "/x/", status: http.StatusUnauthorized},
	"a revoked one":      {keys: []string{oldKey}, path: "/x/", status: http.StatusUnauthorized},
	"a digest":           {keys: []string{digestText(redKey)}, path: "/x/", status: http.StatusUnauthorized},
	"a huge one":         {keys: []string{strings.Repeat("k", 300)}, path: "/x/", status: http.StatusUnauthorized},
	"none, public route": {path: "/open/", status: http.StatusOK},
	"any, public route":  {keys: []string{"never"}, path: "/open/", status: http.StatusOK},
	"no such route":      {keys: []string{"never"}, path: "/y/", status: http.StatusNotFound},
}

func digestText(key string) string {
	text, _ := tw.DigestKey(key).MarshalText() // never fails
	return string(text)
}

func TestKeys(t *testing.T) {
	for name, c := range keyCases {
		t.Run(name, func(t *testing.T) {
			g := newKeyedFixture(t)
			for _, method := range []string{http.MethodPost, http.MethodDelete, http.MethodGet} {
				w := g.callWith(c.keys, method, c.path+goodID, goodBody)
				g.Expect(w.Code).To(Equal(c.status), method+" "+w.Body.String())
				g.Expect(w.Header().Get("WWW-Authenticate") != "").To(Equal(c.status == http.StatusUnauthorized))
			}
			g.Expect(g.stored()).To(Equal(c.status == http.StatusOK))
		})
	}
}

func TestNoKeysWithoutOrganisations(t *testing.T) {
	g := newFixture(t)
	g.Expect(g.callWith(nil, http.MethodPost, "/x/"+goodID, goodBody).Code).To(Equal(http.StatusOK))
}

// unreadable is a request body that fails the test if it is read.
type unreadable struct{ t *testing.T }

func (u unreadable) Read([]byte) (int, error) {
	u.t.Error("the body was read")
	return 0, http.ErrBodyReadAfterClose
}

func TestKeyIsCheckedBeforeBody(t *testing.T) {
	g := newKeyedFixture(t)
	r := httptest.NewRequest(http.MethodPost, "/x/"+goodID, unreadable{t})
	r.Host = "a.example"
	w := httptest.NewRecorder()
	g.handler.ServeHTTP(w, r)
	g.Expect(w.Code).To(Equal(http.StatusUnauthorized))
}

// Responses must not reveal whether a submission of another organisation exists.
func TestOtherOrganisationsAreHidden(t *testing.T) {
	for _, other := range []struct {
		keys []string
		path string
	}{{[]string{blueKey}, "/x/"}, {nil, "/open/"}} {
		g := newKeyedFixture(t)
		g.Expect(g.callWith([]string{redKey}, http.MethodPost, "/x/"+goodID, goodBody).Code).To(Equal(http.StatusOK))
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			const unknownID = "00000000000000aa"
			theirs := g.callWith(other.keys, method, other.path+goodID, "")
			none := g.callWith(other.keys, method, other.path+unknownID, "")
			g.Expect(theirs.Code).To(Equal(http.StatusGone))
			g.Expect(theirs.Body.String()).To(Equal(none.Body.String()))
		}
		g.Expect(g.callWith(other.keys, http.MethodPost, other.path+goodID, goodBody).Code).To(Equal(http.StatusServiceUnavailable))
		record, err := ledger.FindSubmission(t.Context(), g.kv, goodID)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(record.Organisation).To(Equal(tw.OrganisationID("red")))
		g.Expect(g.callWith([]string{redKey + "2"}, http.MethodGet, "/x/"+goodID, "").Code).To(Equal(http.StatusOK))
		g.Expect(g.callWith([]string{redKey}, http.MethodPost, "/x/"+goodID, goodBody).Code).To(Equal(http.StatusOK))
	}
}

func TestKeysAreNotExposed(t *testing.T) {
	g := newKeyedFixture(t)
	var log bytes.Buffer
	g.handler.Log = zap.New(zapcore.NewCore(
		zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&log), zap.DebugLevel))
	g.handler.Router.Log = g.handler.Log
	for _, key := range []string{redKey, oldKey, redKey + " "} {
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete, http.MethodPut} {
			w := g.callWith([]string{key}, method, "/x/"+goodID, goodBody)
			g.Expect(w.Body.String()).NotTo(ContainSubstring(key))
		}
	}
	var metricsText bytes.Buffer
	g.handler.Metrics.WritePrometheus(&metricsText)
	items, _, err := g.kv.Range(t.Context(), "")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(items).NotTo(BeEmpty())
	for _, item := range items {
		log.Write(item.Value)
	}
	g.Expect(log.String()).NotTo(ContainSubstring("kx7f3a91c2d4"))
	g.Expect(metricsText.String()).NotTo(ContainSubstring("kx7f3a91c2d4"))
}
