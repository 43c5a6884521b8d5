package plat

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// replying returns the settings of clients whose calls are all answered with a body.
func replying(body string) Config {
	return Config{Address: "a:1", Client: &http.Client{Transport: roundTripFunc(func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader([]byte(body)))}, nil
	})}}
}

// Guards against a process that stops following the VM list, or uses a VM that is none, because of one entry of another writer.
func TestOddVMAmongOthers(t *testing.T) {
	long := strings.Repeat("x", 201)
	for name, odd := range map[string]string{
		"name type": `{"name":7,"address":"10.0.0.9:1","domain":"d","service":"s"}`, "no name": `{"address":"10.0.0.9:1","domain":"d","service":"s"}`,
		"long name": `{"name":"` + long + `","address":"10.0.0.9:1","domain":"d","service":"s"}`, "line": `{"name":"a\nb","address":"10.0.0.9:1","domain":"d","service":"s"}`,
		"no port": `{"name":"x","address":"10.0.0.9","domain":"d","service":"s"}`, "port 0": `{"name":"x","address":"10.0.0.9:0","domain":"d","service":"s"}`,
		"large port": `{"name":"x","address":"10.0.0.9:65536","domain":"d","service":"s"}`, "no host": `{"name":"x","address":":1","domain":"d","service":"s"}`,
		"host": `{"name":"x","address":"a b/c?d:1","domain":"d","service":"s"}`, "service": `{"name":"x","address":"10.0.0.9:1","domain":"d","service":""}`,
		"domain": `{"name":"x","address":"10.0.0.9:1","domain":"\u0000","service":"s"}`, "leaving": `{"name":"x","address":"10.0.0.9:1","domain":"d","service":"s","leaving":"no"}`,
		"text": `"x"`, "null": `null`, "list": `[[]]`, "nested": `{"name":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `}`, "number": `{"name":1e400}`,
	} {
		t.Run(name, func(t *testing.T) {
			vm := func(i int) string {
				return fmt.Sprintf(`{"name":"v%d","address":"10.0.0.%d:8080","domain":"d","service":"s"}`, i, i)
			}
			vms, err := NewVMList(replying(`{"vms":[` + vm(1) + "," + odd + "," + vm(2) + `]}`)).Read(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, len(vms), 2)
			assert.Assert(t, vms[0].Name == "v1" && vms[1].Name == "v2" && vms[1].Address == "10.0.0.2:8080")
		})
	}
	for _, body := range []string{``, `7`, `{"vms":7}`, `{"vms":[`} {
		_, err := NewVMList(replying(body)).Read(t.Context())
		assert.Assert(t, err != nil, "%q is taken for a list", body)
	}
}

// Guards against a table that can't be read because of one row of another writer.
func TestOddRowAmongOthers(t *testing.T) {
	for name, odd := range map[string]string{
		"value": `{"key":"a2","value":"%%%","revision":4}`, "type": `{"key":"a2","value":{"a":1},"revision":4}`, "nested": `{"key":"a2","value":` + strings.Repeat("[", 5000) + strings.Repeat("]", 5000) + `,"revision":4}`,
	} {
		t.Run(name, func(t *testing.T) {
			c := NewTableClient(replying(`{"rows":[{"key":"a1","value":"eA==","revision":3},` + odd + `,{"key":"a3","value":"eA==","revision":5}]}`))
			rows, err := c.Scan(t.Context(), "a", "", 10)
			assert.NilError(t, err)
			assert.Equal(t, len(rows), 3)
			assert.Assert(t, rows[1].Key() == "a2" && len(rows[1].Value()) == 0 && rows[1].Revision() == 4)
			assert.Assert(t, string(rows[2].Value()) == "x" && rows[2].Revision() == 5)
			rows, err = c.Get(t.Context(), "a1", "a2", "a3")
			assert.NilError(t, err)
			assert.Equal(t, rows[1].Revision(), uint64(4))
		})
	}
	for _, odd := range []string{`{"key":7,"revision":4}`, `{"key":"a2","revision":-1}`, `7`} { // its place or its revision is not known
		_, err := NewTableClient(replying(`{"rows":[{"key":"a1","revision":3},`+odd+`]}`)).Get(t.Context(), "a1", "a2")
		assert.Assert(t, err != nil)
	}
}
