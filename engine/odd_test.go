package engine_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/engine"
)

// Guards against reports whose numbers overflow in sums, so that their engine seems to have the least load, or whose layers take all
// memory of the process that plans.
func TestImpossibleReports(t *testing.T) {
	answer := func(body string) string {
		return startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
	}
	c := engine.New(engine.Config{})
	for _, body := range []string{
		`{"running":9223372036854775807,"waiting":9223372036854775807}`, `{"slots":9223372036854775807}`, `{"last":1000000000000}`, `{"first":-1,"last":8}`,
		`{"version":"` + strings.Repeat("x", 201) + `"}`, `{"kind":"a\nb"}`, `{"boot":"\u0000"}`,
	} {
		_, err := c.Load(t.Context(), answer(body))
		assert.Assert(t, err != nil, "report %.100s", body)
	}
	for _, body := range []string{
		`{"memory":9223372036854775807}`, `{"memory":-1}`, `{"running":-1}`, `{"parts":[{"model":"m","version":"1","first":0,"last":1000000000000,"ready":true}]}`,
		`{"parts":[{"model":"m","version":"1","first":8,"last":0}]}`, `{"parts":[{"model":"m","size":-5}]}`, `{"serve":{"first":-3,"last":4}}`,
	} {
		_, err := c.OrderStatus(t.Context(), answer(body))
		assert.Assert(t, err != nil, "status %.100s", body)
	}
	l, err := c.Load(t.Context(), answer(`{"boot":"b","kind":"a","model":"lights","version":"1","first":0,"last":8,"slots":8,"running":1,"ready":true}`))
	assert.NilError(t, err)
	assert.Equal(t, l.Last, 8)
	s, err := c.OrderStatus(t.Context(), answer(`{"memory":16000,"parts":[{"model":"m","version":"1","first":0,"last":8,"size":8000,"ready":true}],"serve":{"model":"m","version":"1","first":0,"last":8}}`))
	assert.NilError(t, err)
	assert.Equal(t, len(s.Parts), 1)
}
