package quota

import (
	"encoding/json"
	"fmt"
)

// minElement is the least text, in bytes, of an element of a List. Objects with two members have more.
const minElement = 20

// List is a list of objects in a message. Elements such as null take a few bytes of text and up to a hundred in
// memory, so a list with more elements than its length explains is refused.
type List[T any] []T

// UnmarshalJSON decodes an array, which is valid JSON.
func (l *List[T]) UnmarshalJSON(b []byte) error {
	if n, most := countElements(b), len(b)/minElement+1; n > most {
		return fmt.Errorf("a list of %d bytes has %d elements, over %d", len(b), n, most)
	}
	return json.Unmarshal(b, (*[]T)(l))
}

// countElements returns the number of elements of a JSON array, and 1 for an empty one.
func countElements(b []byte) int {
	n, depth, quoted := 1, 0, false
	for i := 0; i < len(b); i++ {
		switch x := b[i]; {
		case quoted && x == '\\':
			i++
		case x == '"':
			quoted = !quoted
		case quoted:
		case x == '[' || x == '{':
			depth++
		case x == ']' || x == '}':
			depth--
		case x == ',' && depth == 1:
			n++
		}
	}
	return n
}
