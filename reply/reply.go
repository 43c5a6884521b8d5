// Package reply checks the heads of HTTP answers from outside for what net/http accepts although it is no answer, or
// although another process would read it differently.
package reply

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrInvalid is wrapped by the errors of heads that are no answer.
var ErrInvalid = errors.New("invalid answer")

// Check returns an error that wraps ErrInvalid if the head of an answer is damaged:
//
//   - its status is neither final (200 to 599) nor interim (100 to 199). net/http takes any three digits. 101 is
//     invalid because no request asks for another protocol;
//   - a header name has a blank. net/http keeps such a line under another name, so that "Content-Length : 4" and
//     "Transfer-Encoding : chunked" do not count;
//   - it is interim and announces a body, whose bytes would be taken for the next answer.
func Check(rs *http.Response) error {
	switch status := rs.StatusCode; {
	case status < 100 || status > 599:
		return fmt.Errorf("%w: status %03d", ErrInvalid, status)
	case status == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: the server switched the protocol", ErrInvalid)
	case IsInterim(rs) && announcesBody(rs):
		return fmt.Errorf("%w: interim answer with a body", ErrInvalid)
	}
	for name := range rs.Header {
		if strings.IndexByte(name, ' ') >= 0 {
			return fmt.Errorf("%w: header name %.100q", ErrInvalid, name)
		}
	}
	return nil
}

// IsInterim reports whether another answer follows.
func IsInterim(rs *http.Response) bool { return rs.StatusCode >= 100 && rs.StatusCode <= 199 }

// HidesBody reports whether an answer that has no body by its status announces one. Its server may send the bytes,
// which must not be taken for the next answer on the connection.
func HidesBody(rs *http.Response) bool {
	return (rs.StatusCode == http.StatusNoContent || rs.StatusCode == http.StatusNotModified) && announcesBody(rs)
}

// announcesBody reports whether the header states a length above 0, or chunks.
func announcesBody(rs *http.Response) bool {
	length := rs.Header.Get("Content-Length")
	return len(rs.TransferEncoding) > 0 || (length != "" && strings.Trim(length, "0") != "")
}
