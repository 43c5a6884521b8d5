package entry_test

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"testing"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/proxy"

	"github.com/cranberrybay/cranberrybay/entry"
)

// discardWriter is a response writer that drops what is written.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}

// BenchmarkPassThrough compares calls through the whole handler with calls through
// a plain httputil.ReverseProxy, which has no accounts, verdicts, load balancing
// or retries. Both figures include the cost of the server, which runs in this
// process.
func BenchmarkPassThrough(b *testing.B) {
	sv := httptest.NewServer(fakes.NewService().Handler())
	defer sv.Close()
	target, _ := url.Parse(sv.URL)
	servers := fleet.NewTable()
	servers.MergeEntry(fleet.State{Name: "desk", Address: target.Host, Service: "desk"})
	servers.UpdateReport("desk", func(s *fleet.State) { s.Ready, s.Slots = true, 16 })
	h := entry.New(entry.Config{
		Store: newSystem(b, 1, 0).store(b), Fleet: servers, Services: proxy.NewTablePool(proxy.TablePoolConfig{Table: servers, Client: proxy.New(proxy.Config{}), Engines: engine.New(engine.Config{})}),
		Addresses: func(string, string) entry.Addresses { return entry.Addresses{} },
	})
	bare := httputil.NewSingleHostReverseProxy(target)
	bare.Transport = &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	for name, c := range map[string]struct {
		handler http.Handler
		method  string
		path    string
	}{
		"bare/lookup":  {bare, "GET", "/archive/x"},
		"bare/order":   {bare, "POST", "/orders"},
		"entry/lookup": {h.Server().Handler, "GET", "/services/desk/archive/x"},
		"entry/order":  {h.Server().Handler, "POST", "/services/desk/orders"},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				rq, _ := http.NewRequest(c.method, c.path, nil)
				rq.Header.Set("Authorization", "Bearer key")
				c.handler.ServeHTTP(&discardWriter{http.Header{}}, rq)
			}
		})
	}
}
