package spec

import (
	"regexp"
	"slices"
	"strings"
	"time"
)

// Service is a model service or a plain service.
type Service struct {
	file ServiceFile
}

func newService(f ServiceFile) *Service {
	if f.Slots == 0 {
		f.Slots = defaultSlots
	}
	if f.First.Duration == 0 {
		f.First.Duration = defaultFirst
	}
	return &Service{file: f}
}

const (
	defaultSlots = 8
	defaultFirst = 10 * time.Second
)

// Name returns the name of the service, which is part of its URL.
func (s *Service) Name() string { return s.file.Name }

// Team returns the owning team.
func (s *Service) Team() string { return s.file.Team }

// IsModel tells whether the service is a pipeline of engines.
func (s *Service) IsModel() bool { return s.file.Kind == "model" }

// Model returns the name of the model.
func (s *Service) Model() string { return s.file.Model }

// Layers returns the number of layers of the model.
func (s *Service) Layers() int { return s.file.Layers }

// Fenced tells whether the engines refuse an order with an old fencing number.
func (s *Service) Fenced() bool { return s.file.Fenced }

// Slots returns how many requests one backend server runs at once.
func (s *Service) Slots() int { return s.file.Slots }

// ResponseDeadline returns the deadline of the first token, or of a plain answer, for
// a request that arrived at the given time.
func (s *Service) ResponseDeadline(arrival time.Time) time.Time {
	return arrival.Add(s.file.First.Duration)
}

// Idempotent tells whether a call may be repeated. The first pattern that
// matches decides. GET and HEAD are idempotent when no pattern matches.
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

// Account is a client account.
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

// Team returns the owning team.
func (a *Account) Team() string { return a.file.Team }

// Weight returns the share of the account under load relative to others.
func (a *Account) Weight() int { return a.file.Weight }

// RequestRate returns the limit in requests a second; 0 means no limit.
func (a *Account) RequestRate() float64 { return a.file.Rate }

// TokenRate returns the limit in generated tokens a second; 0 means no limit.
func (a *Account) TokenRate() float64 { return a.file.Tokens }

// MaxInflight returns the limit of requests in flight; 0 means no limit.
func (a *Account) MaxInflight() int { return a.file.Inflight }

// MayCall tells whether the account may call a service.
func (a *Account) MayCall(service string) bool {
	for _, s := range a.file.Services {
		if s == service {
			return true
		}
	}
	return len(a.file.Services) == 0
}

// Wish is a placement wish: which ranges of a model to keep loaded, and how
// many ready copies of each.
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

// Team returns the owning team.
func (w *Wish) Team() string { return w.file.Team }

// Service returns the service that the wish is for.
func (w *Wish) Service() string { return w.file.Service }

// Version returns the model version to serve.
func (w *Wish) Version() string { return w.file.Version }

// Adapter returns the adapter to load, or "".
func (w *Wish) Adapter() string { return w.file.Adapter }

// Ranges returns the layer ranges, first inclusive and last exclusive.
// Callers must not change them.
func (w *Wish) Ranges() [][2]int { return w.file.Ranges }

// Copies returns the number of ready copies of each range.
func (w *Wish) Copies() int { return w.file.Copies }

// LayerMemory returns the weights of one layer in MB.
func (w *Wish) LayerMemory() int { return w.file.Memory }

// Domains returns the failure domains to use; empty means all.
func (w *Wish) Domains() []string { return w.file.Domains }

// Team is a group of operators that owns documents.
type Team struct {
	file TeamFile
}

func newTeam(f TeamFile) *Team { return &Team{file: f} }

// Name returns the name of the team.
func (t *Team) Name() string { return t.file.Name }

// Operators returns the hashes of the credentials that may publish.
func (t *Team) Operators() []string { return t.file.Operators }

// Readers returns the hashes of the credentials that may read.
func (t *Team) Readers() []string { return t.file.Readers }

// TeamRole is what a credential allows in a team.
type TeamRole struct {
	Team     string
	Operator bool // false for a reader
}

// TeamRoles returns the teams that the hash of a credential belongs to, by
// name of the team.
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

var secretPattern = regexp.MustCompile(`sha256:[0-9a-f]{8,}`)

// MaskHashes shortens the hashes of keys and credentials in the text of a document
// to 8 digits: enough to tell two apart, too few to test guesses against.
func MaskHashes(text string) string {
	return secretPattern.ReplaceAllStringFunc(text, func(h string) string { return h[:len("sha256:")+8] + "…" })
}
