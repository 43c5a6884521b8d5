package fakes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"sync"

	"github.com/cranberrybay/cranberrybay/object"
	"github.com/cranberrybay/cranberrybay/plat"
	"github.com/cranberrybay/cranberrybay/table"
)

// ObjectStore is an in-memory object store.
type ObjectStore struct {
	mu   sync.Mutex
	data map[string][]byte
	down bool
}

// NewObjectStore returns an empty store.
func NewObjectStore() *ObjectStore { return &ObjectStore{data: map[string][]byte{}} }

// SetDown starts or ends an outage, in which every call fails.
func (o *ObjectStore) SetDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

// Client returns an object client that calls the store without HTTP.
func (o *ObjectStore) Client() *object.Client {
	return object.New(object.Config{Get: o.get, Put: o.put, List: o.list})
}

func (o *ObjectStore) get(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, object.ErrUnavailable
	}
	b, ok := o.data[key]
	if !ok {
		return nil, object.ErrNotFound
	}
	return b, nil
}

func (o *ObjectStore) put(_ context.Context, key string, value []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return object.ErrUnavailable
	}
	o.data[key] = append([]byte(nil), value...)
	return nil
}

func (o *ObjectStore) list(_ context.Context, prefix string) ([]string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return nil, object.ErrUnavailable
	}
	var keys []string
	for k := range o.data {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys, nil
}

// Platform is a stand-in for the platform: table service, object store, weight
// store and VM list. It serves the HTTP paths that package plat calls, and for
// tests and operators PUT /faults, PUT /vms, DELETE /vms/{name} and GET /counts.
type Platform struct {
	table     *Table
	objects   *ObjectStore
	weights   *WeightStore
	mu        sync.Mutex
	vms       map[string]plat.VM
	frozenVMs []plat.VM // the list that readers see while it is frozen, otherwise nil
}

// Limits of the weight store of a Platform.
const (
	weightRate  = 1000 // MB/s
	weightBurst = 8000 // MB
)

// Weights returns the weight store.
func (p *Platform) Weights() *WeightStore { return p.weights }

// NewPlatform returns a healthy, empty platform.
func NewPlatform() *Platform {
	return &Platform{table: NewTable(), objects: NewObjectStore(), weights: NewWeightStore(weightRate, weightBurst), vms: map[string]plat.VM{}}
}

// Table returns the table service.
func (p *Platform) Table() *Table { return p.table }

// Objects returns the object store.
func (p *Platform) Objects() *ObjectStore { return p.objects }

// SetVM adds a VM to the list or replaces its entry.
func (p *Platform) SetVM(v plat.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[v.Name] = v
}

// RemoveVM removes a VM from the list.
func (p *Platform) RemoveVM(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.vms, name)
}

// FreezeVMs starts or ends a freeze of the VM list. While the list is frozen,
// readers see the content that it had at the start of the freeze.
func (p *Platform) FreezeVMs(freeze bool) {
	now := p.VMs()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozenVMs = nil
	if freeze {
		p.frozenVMs = now
	}
}

// VMs returns the VM list as readers see it, sorted by name.
func (p *Platform) VMs() []plat.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozenVMs != nil {
		return append([]plat.VM(nil), p.frozenVMs...)
	}
	out := make([]plat.VM, 0, len(p.vms))
	for _, v := range p.vms {
		out = append(out, v)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Handler returns the HTTP API of the platform.
func (p *Platform) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST /table/get", p.serveGet)
	m.HandleFunc("POST /table/scan", p.serveScan)
	m.HandleFunc("POST /table/commit", p.serveCommit)
	m.HandleFunc("GET /objects/{key...}", p.serveObject)
	m.HandleFunc("PUT /objects/{key...}", p.serveStore)
	m.HandleFunc("GET /objects", p.serveKeys)
	m.Handle("GET /weights", p.weights)
	m.HandleFunc("GET /vms", func(w http.ResponseWriter, _ *http.Request) {
		if p.table.Faults().Down {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, plat.VMsReply{VMs: p.VMs()})
	})
	m.HandleFunc("PUT /vms", func(w http.ResponseWriter, r *http.Request) {
		var v plat.VM
		if !decodeBody(w, r, &v) {
			return
		}
		p.SetVM(v)
		writeJSON(w, v)
	})
	m.HandleFunc("DELETE /vms/{name}", func(w http.ResponseWriter, r *http.Request) {
		p.RemoveVM(r.PathValue("name"))
		writeJSON(w, plat.VMsReply{VMs: p.VMs()})
	})
	m.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		var f PlatformFaults
		if !decodeBody(w, r, &f) {
			return
		}
		p.table.SetFaults(f)
		p.FreezeVMs(f.FrozenVMs)
		p.objects.SetDown(f.Down)
		writeJSON(w, f)
	})
	m.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.table.Counts()) })
	return m
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	var q plat.GetRequest
	if !decodeBody(w, r, &q) {
		return
	}
	rows, err := p.table.get(r.Context(), q.Keys...)
	serveRows(w, rows, err)
}

func (p *Platform) serveScan(w http.ResponseWriter, r *http.Request) {
	var q plat.ScanRequest
	if !decodeBody(w, r, &q) {
		return
	}
	rows, err := p.table.scan(r.Context(), q.Prefix, q.After, q.Limit)
	serveRows(w, rows, err)
}

func serveRows(w http.ResponseWriter, rows []table.Row, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	out := plat.RowsReply{Rows: make([]plat.Row, len(rows))}
	for i, r := range rows {
		out.Rows[i] = plat.Row{Key: r.Key(), Value: r.Value(), Revision: r.Revision()}
	}
	writeJSON(w, out)
}

func (p *Platform) serveCommit(w http.ResponseWriter, r *http.Request) {
	var b table.Batch
	if !decodeBody(w, r, &b) {
		return
	}
	rev, err := p.table.commit(r.Context(), b)
	switch {
	case errors.Is(err, table.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, table.ErrUnknown):
		// Closes the connection without a reply, as if the reply were lost.
		panic(http.ErrAbortHandler)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		writeJSON(w, plat.CommitReply{Revision: rev})
	}
}

func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	b, err := p.objects.get(r.Context(), r.PathValue("key"))
	switch {
	case errors.Is(err, object.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		_, _ = w.Write(b)
	}
}

func (p *Platform) serveStore(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err == nil {
		err = p.objects.put(r.Context(), r.PathValue("key"), b)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func (p *Platform) serveKeys(w http.ResponseWriter, r *http.Request) {
	keys, err := p.objects.list(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, plat.KeysReply{Keys: keys})
}

// decodeBody decodes a JSON body, or answers 400 and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, fmt.Sprintf("decode body: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
