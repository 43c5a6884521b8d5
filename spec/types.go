package spec

import (
	"regexp"
	"slices"
	"strings"
	"time"
)

// Service is a published service. A model service is a pipeline of engines that
// hold layer ranges of a model; a plain service is any HTTP service.
type Service struct {
	file ServiceFile
}

func newService(f ServiceFile) *Service {
	if f.Slots == 0 {
		f.Slots = defaultSlots
	}
	if f.First.Duration == 0 {
		f.First.Duration = defaultResponseTime
	}
	return &Service{file: f}
}

const (
	defaultSlots        = 8
	defaultResponseTime = 10 * time.Second
)

// Name returns the name of the service, which is part of its URL.
func (s *Service) Name() string { return s.file.Name }

// Team returns the name of the owning team, or "".
func (s *Service) Team() string { return s.file.Team }

// IsModel reports whether the service is a model service.
func (s *Service) IsModel() bool { return s.file.Kind == "model" }

// Model returns the name of the model, or "" for a plain service.
func (s *Service) Model() string { return s.file.Model }

// Layers returns the number of layers of the model, or 0 for a plain service.
func (s *Service) Layers() int { return s.file.Layers }

// Fenced reports whether the engines refuse orders with an outdated fencing
// number.
func (s *Service) Fenced() bool { return s.file.Fenced }

// Slots returns the number of requests that one backend server runs
// concurrently.
func (s *Service) Slots() int { return s.file.Slots }

// ResponseDeadline returns the deadline of the first token of a model service,
// or of the answer of a plain service, for a request with the given arrival.
func (s *Service) ResponseDeadline(arrival time.Time) time.Time {
	return arrival.Add(s.file.First.Duration)
}

// Idempotent reports whether a call may be repeated. The first call pattern that
// matches decides. If none matches, GET and HEAD are idempotent.
func (s *Service) Idempotent(method, path string) bool {
	for _, c := range s.file.Calls {
		if c.Method != "*" && !strings.EqualFold(c.Method, method) {
			continue
		}
		if prefix, ok := strings.CutSuffix(c.Path, "*"); ok && strings.HasPrefix(path, prefix) || c.Path == path {
			return c.Idempotent
		}
	}
	return method == "GET" || method == "HEAD"
}

// Account is a client account: its API keys, the services that it may call and
// its limits.
type Account struct {
	file AccountFile
}

func newAccount(f AccountFile) *Account {
	if f.Weight == 0 {
		f.Weight = 1
	}
	return &Account{file: f}
}

// Name returns the name of the account.
func (a *Account) Name() string { return a.file.Name }

// Team returns the name of the owning team, or "".
func (a *Account) Team() string { return a.file.Team }

// Weight returns the relative share of the account when the system is loaded.
func (a *Account) Weight() int { return a.file.Weight }

// RequestRate returns the limit of requests per second; 0 means no limit.
func (a *Account) RequestRate() float64 { return a.file.Rate }

// TokenRate returns the limit of generated tokens per second; 0 means no limit.
func (a *Account) TokenRate() float64 { return a.file.Tokens }

// MaxInflight returns the limit of requests in flight; 0 means no limit.
func (a *Account) MaxInflight() int { return a.file.Inflight }

// MayCall reports whether the account may call a service.
func (a *Account) MayCall(service string) bool {
	for _, s := range a.file.Services {
		if s == service {
			return true
		}
	}
	return len(a.file.Services) == 0
}

// Wish is a placement wish, the desired state of a model: the layer ranges to
// keep loaded and the number of ready copies of each.
type Wish struct {
	file WishFile
}

func newWish(f WishFile) *Wish {
	if f.Copies == 0 {
		f.Copies = 1
	}
	return &Wish{file: f}
}

// Name returns the name of the wish.
func (w *Wish) Name() string { return w.file.Name }

// Team returns the name of the owning team, or "".
func (w *Wish) Team() string { return w.file.Team }

// Service returns the name of the model service.
func (w *Wish) Service() string { return w.file.Service }

// Version returns the model version to serve.
func (w *Wish) Version() string { return w.file.Version }

// Adapter returns the adapter to load, or "" for none.
func (w *Wish) Adapter() string { return w.file.Adapter }

// Ranges returns the layer ranges, first inclusive and last exclusive. Callers
// must not modify the slice.
func (w *Wish) Ranges() [][2]int { return w.file.Ranges }

// Copies returns the desired number of ready copies of each range.
func (w *Wish) Copies() int { return w.file.Copies }

// LayerMemory returns the size of the weights of one layer in MB.
func (w *Wish) LayerMemory() int { return w.file.Memory }

// Domains returns the failure domains whose engines may be used; empty means
// all.
func (w *Wish) Domains() []string { return w.file.Domains }

// Team is a group of operators that owns documents.
type Team struct {
	file TeamFile
}

func newTeam(f TeamFile) *Team { return &Team{file: f} }

// Name returns the name of the team.
func (t *Team) Name() string { return t.file.Name }

// Operators returns the hashes of the credentials that may change the documents
// of the team.
func (t *Team) Operators() []string { return t.file.Operators }

// Readers returns the hashes of the credentials that may only read.
func (t *Team) Readers() []string { return t.file.Readers }

// TeamRole is the role of a credential in a team.
type TeamRole struct {
	Team     string
	Operator bool // false for a reader
}

// TeamRoles returns the roles of the credential with the given hash, sorted by
// the name of the team.
func (t *Tree) TeamRoles(hash string) []TeamRole {
	var out []TeamRole
	for _, m := range t.Teams() {
		if slices.Contains(m.Operators(), hash) {
			out = append(out, TeamRole{Team: m.Name(), Operator: true})
		} else if slices.Contains(m.Readers(), hash) {
			out = append(out, TeamRole{Team: m.Name()})
		}
	}
	return out
}

var maskPattern = regexp.MustCompile(`sha256:[0-9a-f]{8,}`)

// MaskHashes shortens the hashes of keys and credentials in the text of a
// document to 8 hex digits: enough to tell two hashes apart, too few to verify a
// guessed key.
func MaskHashes(text string) string {
	return maskPattern.ReplaceAllStringFunc(text, func(h string) string { return h[:len("sha256:")+8] + "…" })
}
