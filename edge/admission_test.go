package edge

import (
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/admit"
	"github.com/cranberrybay/cranberrybay/clock"
)

// Guards against metrics of refused streams that count admitted ones, mix services, ranks or bounds, show another
// limit than that of the last refusal, or show the load of the past as that of now.
func TestAdmissionMetrics(t *testing.T) {
	now := time.Minute
	t.Cleanup(clock.Replace(func() time.Duration { return now }))
	c := newCounters()
	m := newAdmissionMetrics(c)
	scrape := func() string {
		w := httptest.NewRecorder()
		c.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
		return w.Body.String()
	}
	refused := func(service string, rank int, bound admit.Bound, limit float64) {
		m.observe(service, admit.Demand{Rank: rank, Load: admit.Load{Memory: 0.95, Pause: 0.5}}, admit.Decision{Bound: bound, Limit: limit})
	}
	m.observe("s", admit.Demand{Rank: 1, Load: admit.Load{Memory: 0.25, Pause: 0.75}}, admit.Decision{Admitted: true})
	assert.Assert(t, contains(scrape(), `cranberrybay_admission_load{service="s",bound="memory"} 0.25`))
	assert.Assert(t, contains(scrape(), `cranberrybay_admission_load{service="s",bound="pause"} 0.75`))
	assert.Assert(t, !contains(scrape(), "refused"), "%s", scrape())
	refused("s", 2, admit.BoundMemory, 0.875)
	refused("s", 2, admit.BoundMemory, 0.8125)
	refused("s", 0, admit.BoundPause, 0.9375)
	refused("other", 2, admit.BoundMemory, 0.5)
	for _, want := range []string{
		`cranberrybay_admission_load{service="s",bound="memory"} 0.95`,
		`cranberrybay_admission_limit{service="s",rank="2"} 0.8125`,
		`cranberrybay_admission_limit{service="s",rank="0"} 0.9375`,
		`cranberrybay_admission_limit{service="other",rank="2"} 0.5`,
		`cranberrybay_streams_refused_total{service="s",rank="2",bound="memory"} 2`,
		`cranberrybay_streams_refused_total{service="s",rank="0",bound="pause"} 1`,
		`cranberrybay_streams_refused_total{service="other",rank="2",bound="memory"} 1`,
	} {
		assert.Assert(t, contains(scrape(), want), "%s is missing in\n%s", want, scrape())
	}
	assert.Assert(t, !contains(scrape(), `admission_limit{service="s",rank="1"}`), "%s", scrape())
	now += admissionMaxAge + time.Millisecond
	assert.Assert(t, contains(scrape(), "cranberrybay_admission_load{service=\"s\",bound=\"memory\"} 0\n"), "%s", scrape())
}

// Guards against a deadlock or a data race between scrapes and decisions on services that are new.
func TestAdmissionMetricsDuringScrapes(t *testing.T) {
	c := newCounters()
	m := newAdmissionMetrics(c)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for rank := range 50 {
				m.observe(string(rune('a'+i)), admit.Demand{Rank: rank}, admit.Decision{Bound: admit.BoundMemory})
			}
		})
		wg.Go(func() {
			for range 20 {
				c.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/metrics", nil))
			}
		})
	}
	wg.Wait()
}
