package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"

	"github.com/cranberrybay/cranberrybay/object"
)

// KeysReply is the answer to GET /objects?prefix=PREFIX.
type KeysReply struct {
	Keys []string `json:"keys"`
}

// NewObjectClient returns a client of the object store.
func NewObjectClient(cfg Config) *object.Client {
	c := newClient(cfg)
	return object.New(object.Config{Get: c.getObject, Put: c.putObject, List: c.listObjects})
}

func (c *client) getObject(ctx context.Context, key string) ([]byte, error) {
	status, b, err := c.call(ctx, http.MethodGet, "/objects/"+key, nil)
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", object.ErrUnavailable, err)
	case status == http.StatusNotFound:
		return nil, fmt.Errorf("object %q: %w", key, object.ErrNotFound)
	case status != http.StatusOK:
		return nil, fmt.Errorf("%w: status %d", object.ErrUnavailable, status)
	}
	return b, nil
}

func (c *client) putObject(ctx context.Context, key string, value []byte) error {
	status, _, err := c.call(ctx, http.MethodPut, "/objects/"+key, value)
	if err != nil {
		return fmt.Errorf("%w: %w", object.ErrUnavailable, err)
	}
	if status != http.StatusOK {
		return fmt.Errorf("%w: status %d", object.ErrUnavailable, status)
	}
	return nil
}

func (c *client) listObjects(ctx context.Context, prefix string) ([]string, error) {
	status, b, err := c.call(ctx, http.MethodGet, "/objects?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", object.ErrUnavailable, err)
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("%w: status %d", object.ErrUnavailable, status)
	}
	var out KeysReply
	if err := json.Unmarshal(b, &out); err != nil {
		return nil, fmt.Errorf("%w: decode object list: %w", object.ErrUnavailable, err)
	}
	return out.Keys, nil
}
