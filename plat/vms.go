package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
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

// VMsReply is the answer to GET /vms.
type VMsReply struct {
	VMs []VM `json:"vms"`
}

// VMList is a client of the platform's VM list.
type VMList struct{ client *client }

// NewVMList returns a client of the VM list.
func NewVMList(cfg Config) *VMList { return &VMList{client: newClient(cfg)} }

// Read returns the current list of the platform.
func (l *VMList) Read(ctx context.Context) ([]VM, error) {
	status, b, err := l.client.call(ctx, http.MethodGet, "/vms", nil)
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
