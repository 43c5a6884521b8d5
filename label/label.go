// Package label checks texts that other programs have written, such as names of servers and of failure
// domains, before they get into logs, metrics, headers and messages.
package label

import (
	"strings"
	"unicode"
)

// MaxBytes is the length of the longest label in bytes; the tables of the platform allow keys of that
// length.
const MaxBytes = 200

// IsValid reports whether a text is a label or empty: at most MaxBytes bytes of valid, printable
// Unicode.
func IsValid(text string) bool {
	return len(text) <= MaxBytes && !strings.ContainsFunc(text, func(c rune) bool { return !unicode.IsPrint(c) || c == unicode.ReplacementChar })
}
