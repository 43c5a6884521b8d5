// Package spec defines the documents that operators publish: services, client
// accounts, placement wishes and teams. A document is a TOML file with one
// table. The package parses and validates single documents (Parse), validates
// the references between documents, and provides lookups in an immutable set of
// documents (Tree).
package spec

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pelletier/go-toml/v2"
)

// Suffix is the file name suffix of documents. It keeps them apart from other
// TOML files in the same directory.
const Suffix = ".bay.toml"

// Kind is the kind of a document and the name of its TOML table.
type Kind string

// The kinds of documents.
const (
	KindService Kind = "service"
	KindAccount Kind = "account"
	KindWish    Kind = "wish"
	KindTeam    Kind = "team"
)

// Duration is a time.Duration that is written as a TOML string, such as "1.4s".
type Duration struct{ time.Duration }

// UnmarshalText parses a duration in the notation of time.ParseDuration.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	if err != nil {
		return fmt.Errorf("duration %q: %w", b, err)
	}
	d.Duration = v
	return nil
}

// ServiceFile is the TOML form of a service.
type ServiceFile struct {
	Name   string     `toml:"name"`
	Team   string     `toml:"team"`
	Kind   string     `toml:"kind"`   // "model" or "plain"
	Model  string     `toml:"model"`  // model services: name of the model
	Layers int        `toml:"layers"` // model services: number of layers
	Fenced bool       `toml:"fenced"` // the engines refuse orders with an outdated fencing number
	First  Duration   `toml:"first"`  // deadline of the first token, or of a plain answer
	Slots  int        `toml:"slots"`  // requests that one backend server runs at once
	Calls  []CallFile `toml:"calls"`  // plain services: which calls are idempotent
}

// CallFile is the TOML form of a call pattern of a plain service.
type CallFile struct {
	Method     string `toml:"method"`     // HTTP method, or "*"
	Path       string `toml:"path"`       // path below the service; a trailing * matches any suffix
	Idempotent bool   `toml:"idempotent"` // the call may be repeated
}

// AccountFile is the TOML form of a client account.
type AccountFile struct {
	Name     string   `toml:"name"`
	Team     string   `toml:"team"`
	Keys     []string `toml:"keys"`     // "sha256:" and the hex digest of an API key
	Services []string `toml:"services"` // services that the account may call; empty for all
	Weight   int      `toml:"weight"`   // share under load, relative to other accounts
	Rate     float64  `toml:"rate"`     // requests a second over all entry processes; 0 for no limit
	Tokens   float64  `toml:"tokens"`   // generated tokens a second; 0 for no limit
	Inflight int      `toml:"inflight"` // requests in flight; 0 for no limit
}

// WishFile is the TOML form of a placement wish.
type WishFile struct {
	Name    string   `toml:"name"`
	Team    string   `toml:"team"`
	Service string   `toml:"service"`
	Version string   `toml:"version"` // model version to serve
	Adapter string   `toml:"adapter"` // adapter to load; empty for none
	Ranges  [][2]int `toml:"ranges"`  // layer ranges, first inclusive, last exclusive
	Copies  int      `toml:"copies"`  // ready copies of each range
	Memory  int      `toml:"memory"`  // weights of one layer, MB
	Domains []string `toml:"domains"` // failure domains to use; empty for all
}

// TeamFile is the TOML form of a team and its operators.
type TeamFile struct {
	Name      string   `toml:"name"`
	Operators []string `toml:"operators"` // "sha256:" and the hex digest of an operator's credential
	Readers   []string `toml:"readers"`   // hashes of credentials that may only read
}

// documentFile is the content of a TOML file; exactly one table is set.
type documentFile struct {
	Service *ServiceFile `toml:"service"`
	Account *AccountFile `toml:"account"`
	Wish    *WishFile    `toml:"wish"`
	Team    *TeamFile    `toml:"team"`
}

// Document is one parsed document with its TOML text. Only the pointer that
// belongs to its kind is set.
type Document struct {
	kind    Kind
	name    string
	path    string
	text    []byte
	service *Service
	account *Account
	wish    *Wish
	team    *Team
	hash    uint64
}

// Kind returns the kind of the document.
func (d *Document) Kind() Kind { return d.kind }

// Name returns the name of the document, which is unique among those of its
// kind.
func (d *Document) Name() string { return d.name }

// Path returns the path that was given to Parse or Load.
func (d *Document) Path() string { return d.path }

// Text returns the TOML text. Callers must not change it.
func (d *Document) Text() []byte { return d.text }

// ID returns the kind and the name, such as "service/desk". It is unique in a
// tree.
func (d *Document) ID() string { return string(d.kind) + "/" + d.name }

// Parse parses one document and validates it on its own. The path is used in
// error messages. The error joins all errors found, each with file and line.
func Parse(path string, text []byte) (*Document, error) {
	d, err := parse(path, text, true)
	if err != nil {
		return nil, err
	}
	if err := d.check(); err != nil {
		return nil, err
	}
	return d, nil
}

// Load parses a document that was published before. It does not validate it and
// ignores unknown keys: a process of another program version must not refuse
// what the system has accepted.
func Load(path string, text []byte) (*Document, error) { return parse(path, text, false) }

func parse(path string, text []byte, strict bool) (*Document, error) {
	var f documentFile
	dec := toml.NewDecoder(bytes.NewReader(text))
	if strict {
		dec.DisallowUnknownFields()
	}
	if err := dec.Decode(&f); err != nil {
		return nil, decodeError(path, err)
	}
	d := &Document{path: path, text: text}
	count := 0
	if f.Service != nil {
		count++
		d.kind, d.name, d.service = KindService, f.Service.Name, newService(*f.Service)
	}
	if f.Account != nil {
		count++
		d.kind, d.name, d.account = KindAccount, f.Account.Name, newAccount(*f.Account)
	}
	if f.Wish != nil {
		count++
		d.kind, d.name, d.wish = KindWish, f.Wish.Name, newWish(*f.Wish)
	}
	if f.Team != nil {
		count++
		d.kind, d.name, d.team = KindTeam, f.Team.Name, newTeam(*f.Team)
	}
	if count != 1 {
		return nil, &Fault{Path: path, Line: 1, Text: fmt.Sprintf("holds %d documents, want one of [service], [account], [wish] or [team]", count)}
	}
	h := xxhash.New()
	_, _ = h.WriteString(d.ID() + "\n")
	_, _ = h.Write(text)
	d.hash = h.Sum64()
	return d, nil
}

// decodeError adds the file and the line to an error of the TOML decoder.
func decodeError(path string, err error) error {
	var se *toml.StrictMissingError
	if errors.As(err, &se) {
		var all []error
		for i := range se.Errors {
			row, _ := se.Errors[i].Position()
			all = append(all, &Fault{Path: path, Line: row, Text: fmt.Sprintf("unknown key %q", strings.Join(se.Errors[i].Key(), "."))})
		}
		return errors.Join(all...)
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		row, _ := de.Position()
		return &Fault{Path: path, Line: row, Text: de.Error()}
	}
	return &Fault{Path: path, Line: 1, Text: err.Error()}
}
