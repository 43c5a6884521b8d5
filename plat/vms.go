package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// VM is one entry of the platform's VM list. The list lags behind the VMs.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"` // host:port of the backend server
	Domain  string `json:"domain"`  // failure domain
	Service string `json:"service"` // service document that the server belongs to
	Leaving bool   `json:"leaving,omitempty"`
}

// VMsReply is the answer to GET /vms.
type VMsReply struct {
	VMs []VM `json:"vms"`
}

// VMList reads the platform's VM list.
type VMList struct{ c *client }

// NewVMList returns a reader of the VM list.
func NewVMList(cfg Config) *VMList { return &VMList{c: newClient(cfg)} }

// Read returns the list as the platform shows it now.
func (l *VMList) Read(ctx context.Context) ([]VM, error) {
	status, b, err := l.c.call(ctx, http.MethodGet, "/vms", nil)
	if err != nil {
		return nil, fmt.Errorf("read VM list: %w", err)
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("read VM list: status %d", status)
	}
	var out VMsReply
	if err := json.Unmarshal(b, &out); err != nil {
		return nil, fmt.Errorf("decode VM list: %w", err)
	}
	return out.VMs, nil
}
