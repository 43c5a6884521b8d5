// Package object is the port of the platform's object store.
package object

import (
	"context"
	"errors"
)

var (
	// ErrNotFound reports that no object has the key.
	ErrNotFound = errors.New("object does not exist")
	// ErrUnavailable reports that the store did not answer.
	ErrUnavailable = errors.New("object store is unavailable")
)

// Config holds the calls of an adapter.
type Config struct {
	Get  func(ctx context.Context, key string) ([]byte, error)
	Put  func(ctx context.Context, key string, value []byte) error
	List func(ctx context.Context, prefix string) ([]string, error)
}

// Client calls the object store through an adapter.
type Client struct {
	get  func(ctx context.Context, key string) ([]byte, error)
	put  func(ctx context.Context, key string, value []byte) error
	list func(ctx context.Context, prefix string) ([]string, error)
}

// New returns a client over the adapter in cfg.
func New(cfg Config) *Client {
	return &Client{get: cfg.Get, put: cfg.Put, list: cfg.List}
}

// Get returns the bytes of an object. Errors: ErrAbsent, ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) { return c.get(ctx, key) }

// Put stores an object and replaces an older one. Errors: ErrUnavailable.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	return c.put(ctx, key, value)
}

// List returns the keys that start with prefix, in order. Errors:
// ErrUnavailable.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	return c.list(ctx, prefix)
}
