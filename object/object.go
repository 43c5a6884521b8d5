// Package object defines the client of the platform's object store. The store
// itself is reached through an adapter.
package object

import (
	"context"
	"errors"
)

var (
	// ErrNotFound reports that there is no object with the key.
	ErrNotFound = errors.New("object does not exist")
	// ErrUnavailable reports that the object store did not answer.
	ErrUnavailable = errors.New("object store is unavailable")
)

// Config holds the functions of an adapter. Client documents them and their
// errors.
type Config struct {
	Get  func(ctx context.Context, key string) ([]byte, error)
	Put  func(ctx context.Context, key string, value []byte) error
	List func(ctx context.Context, prefix string) ([]string, error)
}

// Client accesses the object store through an adapter.
type Client struct {
	get  func(ctx context.Context, key string) ([]byte, error)
	put  func(ctx context.Context, key string, value []byte) error
	list func(ctx context.Context, prefix string) ([]string, error)
}

// New returns a Client that uses the adapter in cfg.
func New(cfg Config) *Client {
	return &Client{get: cfg.Get, put: cfg.Put, list: cfg.List}
}

// Get returns the value of an object. The error wraps ErrNotFound or
// ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) { return c.get(ctx, key) }

// Put stores an object and replaces any older value. The error wraps
// ErrUnavailable.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	return c.put(ctx, key, value)
}

// List returns the keys that start with prefix, in ascending order. The error
// wraps ErrUnavailable.
func (c *Client) List(ctx context.Context, prefix string) ([]string, error) {
	return c.list(ctx, prefix)
}
