package admin_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/cranberrybay/cranberrybay/admin"
	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/spec"
)

type testServer struct {
	t       *testing.T
	handler http.Handler
	drained bool
	live    []admin.LiveProcess
}

func newTestServer(t *testing.T) *testServer {
	s := &testServer{t: t}
	table := fakes.NewTable()
	s.handler = admin.New(admin.Config{
		Name: "entry-1", RootCredentialHash: spec.HashKey("root"), Table: table.Client(), Fleet: fleet.NewTable(),
		Store: change.NewStore(change.StoreConfig{Table: table.Client()}),
		Drain: func() { s.drained = true },
		Live:  func() []admin.LiveProcess { return s.live },
	}).Server().Handler
	return s
}

// call sends a request, asserts the status, and returns the body of the answer.
func (s *testServer) call(token, method, path, body string, status int) string {
	s.t.Helper()
	rq := httptest.NewRequest(method, path, strings.NewReader(body))
	rq.Header.Set("Authorization", "Bearer "+token)
	rs := httptest.NewRecorder()
	s.handler.ServeHTTP(rs, rq)
	assert.Equal(s.t, rs.Code, status, "%s %s: %s", method, path, rs.Body)
	return rs.Body.String()
}

func teamText(name string) string {
	return fmt.Sprintf("[team]\nname = %q\noperators = [%q]\nreaders = [%q]\n", name, spec.HashKey(name+"-op"), spec.HashKey(name+"-read"))
}

func serviceText(name, team string) string {
	return fmt.Sprintf("[service]\nname = %q\nteam = %q\nkind = \"plain\"\n", name, team)
}

// TestRoles guards against a reader who can change something, an operator who
// can change documents of another team, and an unknown credential that is
// accepted.
func TestRoles(t *testing.T) {
	s := newTestServer(t)
	s.call("root", "PUT", "/teams/desk", teamText("desk"), 200)
	s.call("root", "PUT", "/teams/shop", teamText("shop"), 200)
	s.call("root", "PUT", "/services/b", serviceText("b", "shop"), 200)
	s.call("desk-op", "PUT", "/services/a?author=asha", serviceText("a", "desk"), 200)
	for _, tc := range []struct {
		token, method, path, body string
		status                    int
	}{
		{"wrong", "GET", "/status", "", 401},
		{"desk-read", "GET", "/status", "", 200},
		{"desk-read", "GET", "/services", "", 200},
		{"desk-read", "PUT", "/services/c", serviceText("c", "desk"), 403},
		{"desk-read", "POST", "/publish", "{}", 403},
		{"desk-read", "POST", "/drain", "", 403},
		{"desk-op", "PUT", "/services/b?base=4", serviceText("b", "shop") + "slots = 2\n", 403},
		{"desk-op", "PUT", "/services/b?base=4", serviceText("b", "desk"), 403},
		{"desk-op", "PUT", "/services/a?base=4", serviceText("a", "shop"), 403},
		{"desk-op", "PUT", "/services/c", "[service]\nname = \"c\"\nkind = \"plain\"\n", 403},
		{"desk-op", "DELETE", "/services/b?base=4", "", 403},
		{"desk-op", "PUT", "/teams/desk?base=4", teamText("desk") + "\n", 403},
		{"desk-op", "DELETE", "/services/a", "", 409},
		{"desk-op", "DELETE", "/services/none", "", 404},
		{"desk-op", "PUT", "/services/c", serviceText("d", "desk"), 400},
		{"desk-op", "PUT", "/services/c", serviceText("c", "desk") + "slots = -1\n", 400},
		{"desk-op", "DELETE", "/services/a?base=99", "", 400},
		{"desk-op", "DELETE", "/services/a?base=4", "", 200},
		{"desk-op", "POST", "/drain", "", 202},
	} {
		s.call(tc.token, tc.method, tc.path, tc.body, tc.status)
	}
	assert.Assert(t, s.drained)
	var page change.AuditPage
	assert.NilError(t, json.Unmarshal([]byte(s.call("desk-read", "GET", "/audit?author=asha", "", 200)), &page))
	assert.Equal(t, len(page.Entries), 1)
	assert.Equal(t, page.Entries[0].Author, "asha@desk")
	refused := s.call("root", "GET", "/audit?limit=1000", "", 200)
	for _, want := range []string{"PUT /services/c: this credential may only read", "only the root operator changes teams", "of which this credential is no operator"} {
		assert.Assert(t, is.Contains(refused, want))
	}
	shown := s.call("shop-read", "GET", "/teams/desk", "", 200)
	assert.Assert(t, !strings.Contains(shown, spec.HashKey("desk-op")), "hashes are not masked")
}

// TestPages guards against a list or an audit trail that skips or repeats
// entries at a page boundary.
func TestPages(t *testing.T) {
	s := newTestServer(t)
	for i := range 7 {
		s.call("root", "PUT", fmt.Sprintf("/services/s%d", i), serviceText(fmt.Sprintf("s%d", i), ""), 200)
	}
	var names, versions []string
	var docs admin.Documents
	for path := "/services?limit=3"; ; path = "/services?limit=3&after=" + docs.Next {
		docs = admin.Documents{}
		assert.NilError(t, json.Unmarshal([]byte(s.call("root", "GET", path, "", 200)), &docs))
		for _, d := range docs.Documents {
			names = append(names, d.Name)
		}
		if docs.Next == "" {
			break
		}
	}
	assert.DeepEqual(t, names, strings.Fields("s0 s1 s2 s3 s4 s5 s6"))
	var page change.AuditPage
	for path := "/audit?limit=2"; ; path = "/audit?limit=2&after=" + page.Next {
		page = change.AuditPage{}
		assert.NilError(t, json.Unmarshal([]byte(s.call("root", "GET", path, "", 200)), &page))
		for _, e := range page.Entries {
			versions = append(versions, fmt.Sprint(e.Version))
		}
		if page.Next == "" {
			break
		}
	}
	assert.DeepEqual(t, versions, strings.Fields("7 6 5 4 3 2 1"))
	s.call("root", "GET", "/services?limit=0", "", 400)
	s.call("root", "GET", "/audit?since=x", "", 400)
}

// TestWait guards against a wait that ends early while a live process has an
// older version, and against an answer that does not name that process.
func TestWait(t *testing.T) {
	s := newTestServer(t)
	s.live = []admin.LiveProcess{{Name: "entry-1", Version: 3}, {Name: "entry-2", Version: 2}}
	assert.Assert(t, is.Contains(s.call("root", "GET", "/wait?version=3&for=60ms", "", 200), `"lagging":[{"name":"entry-2","version":2}]`))
	assert.Assert(t, is.Contains(s.call("root", "GET", "/wait?version=2&for=5s", "", 200), `"lagging":[]`))
	s.call("root", "GET", "/wait?version=x", "", 400)
	assert.Assert(t, is.Contains(s.call("root", "GET", "/metrics", "", 200), "cranberrybay_config_digest_violations_total"))
}
