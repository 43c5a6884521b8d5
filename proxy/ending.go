package proxy

import (
	"io"
	"sync"
)

// ending is a body that calls a function once when it is closed.
type ending struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close closes the body and calls the function.
func (e *ending) Close() error {
	err := e.ReadCloser.Close()
	e.once.Do(e.end)
	return err
}
