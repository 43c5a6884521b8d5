package fakes_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/plat"
)

// TestFrozenVMList guards against a "frozen" fault without effect: tests of stale VM
// lists rely on it.
func TestFrozenVMList(t *testing.T) {
	p := fakes.NewPlatform()
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	list := plat.NewVMList(plat.Config{Address: strings.TrimPrefix(srv.URL, "http://")})
	put := func(faults string) {
		rq, err := http.NewRequest(http.MethodPut, srv.URL+"/faults", strings.NewReader(faults))
		assert.NilError(t, err)
		rs, err := http.DefaultClient.Do(rq)
		assert.NilError(t, err)
		assert.NilError(t, rs.Body.Close())
	}
	length := func() int {
		vms, err := list.Read(t.Context())
		assert.NilError(t, err)
		return len(vms)
	}
	p.SetVM(plat.VM{Name: "a", Address: "10.0.0.1:80", Domain: "d", Service: "s"})
	put(`{"frozen":true}`)
	p.SetVM(plat.VM{Name: "b", Address: "10.0.0.2:80", Domain: "d", Service: "s"})
	assert.Equal(t, length(), 1)
	put(`{}`)
	assert.Equal(t, length(), 2)
}
