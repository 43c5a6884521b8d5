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

// Short returns a text, or the begin of one that is longer than MaxBytes. Clients choose some of the texts in logs, such
// as IDs of requests, and repeat them in each line.
func Short(text string) string {
	if len(text) <= MaxBytes {
		return text
	}
	const cut = "…"
	return strings.ToValidUTF8(text[:MaxBytes-len(cut)], "") + cut
}

// ShortAll returns Short of each text, and of at most maxTexts.
func ShortAll(texts []string) []string {
	out := make([]string, 0, min(len(texts), maxTexts))
	for _, t := range texts[:cap(out)] {
		out = append(out, Short(t))
	}
	return out
}

// maxTexts bounds the texts of a list in a line of a log.
const maxTexts = 10
