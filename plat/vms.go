package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrybay/cranberrybay/label"
	"github.com/cranberrybay/cranberrybay/watch"
)

// VM is one entry of the platform's VM list. Changes of the VMs appear in the list
// with a delay.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port of the backend server
	Domain  string `json:"domain"`  // failure domain
	Service string `json:"service"` // name of the service that the server belongs to
	Leaving bool   `json:"leaving,omitempty"`
}

// check returns an error if the entry names no VM that can be used.
func (v *VM) check() error {
	for _, text := range []string{v.Name, v.Domain, v.Service, v.Address} {
		if text == "" || !label.IsValid(text) {
			return fmt.Errorf("text %.100q is empty, too long or not printable", text)
		}
	}
	host, port, err := net.SplitHostPort(v.Address)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || host == "" || strings.ContainsAny(host, " /?#@") {
		return fmt.Errorf("address %.100q is not a host with a port", v.Address)
	}
	return nil
}

// VMsReply is the answer to GET /vms.
type VMsReply struct {
	VMs []VM `json:"vms"`
}

// VMList is a client of the platform's VM list.
type VMList struct {
	client *client
	odd    *watch.OddRows
}

// NewVMList returns a client of the VM list.
func NewVMList(cfg Config) *VMList { return &VMList{client: newClient(cfg), odd: cfg.OddVMs} }

// Read returns the current list of the platform, without the entries of other writers that name no VM.
func (l *VMList) Read(ctx context.Context) ([]VM, error) {
	status, b, err := l.client.call(ctx, http.MethodGet, "/vms", nil)
	if err != nil {
		return nil, fmt.Errorf("read VM list: %w", err)
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("read VM list: status %d", status)
	}
	var out struct {
		VMs []json.RawMessage `json:"vms"`
	}
	if err := json.Unmarshal(b, &out); err != nil {
		return nil, fmt.Errorf("decode VM list: %w", err)
	}
	vms, unused := make([]VM, 0, len(out.VMs)), map[string]bool{}
	for i, raw := range out.VMs {
		var v VM
		err := json.Unmarshal(raw, &v)
		if err == nil {
			err = v.check()
		}
		if err == nil {
			vms = append(vms, v)
			continue
		}
		// An entry without a name of its own is told apart by its place in the list.
		key := fmt.Sprintf("%.100s %d", v.Name, i)
		unused[key] = true
		l.odd.Reject(watch.Row{Key: key, Value: raw, Revision: xxhash.Sum64(raw)}, err)
	}
	l.odd.Retain(func(key string) bool { return unused[key] })
	return vms, nil
}
