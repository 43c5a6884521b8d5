package proxy

import (
	"io"
	"sync"
)

// bodyWithHook is a response body that calls a function once when it is closed.
type bodyWithHook struct {
	io.ReadCloser
	once    sync.Once
	onClose func()
}

// Close closes the body and calls onClose on the first call.
func (b *bodyWithHook) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onClose)
	return err
}
