// Package config holds the routing configuration in effect: routes, services,
// limits on callers and the keys of client accounts. A Config is immutable; the
// Holder keeps the newest one and never goes back to an older version.
package config

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Kind says how often a request may run and what its answer is.
type Kind uint8

// Kinds of routes.
const (
	AtMostOnce Kind = iota // runs at most once for each attempt of a caller
	Idempotent             // may run more than once
	Stream                 // answered by a stream of events
)

// String returns the word used in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "once"
	}
}

// WeightedService is a service of a route with its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// RouteConfig holds the fields of a Route.
type RouteConfig struct {
	Name          string
	Host          string
	Prefix        string // of the path, begins and ends with a slash
	Kind          Kind
	Services      []WeightedService
	Timeout       time.Duration // longest time to the end of the answer
	TargetLatency time.Duration // time to the answer, or to a stream's first event, that callers expect
	TargetGap     time.Duration // longest pause between events that callers expect
	Priority      int           // 0 is the most urgent
	Attempts      int           // backend servers that one request may be sent to
	Public        bool          // needs no key
	Resumable     bool          // a stream may go on at another backend server
}

// Route maps requests to services.
type Route struct{ cfg RouteConfig }

// NewRoute returns a route.
func NewRoute(cfg RouteConfig) *Route {
	cfg.Attempts = max(cfg.Attempts, 1)
	return &Route{cfg: cfg}
}

// Name returns the name of the route.
func (r *Route) Name() string { return r.cfg.Name }

// Kind returns how often requests may run.
func (r *Route) Kind() Kind { return r.cfg.Kind }

// Timeout returns the longest time to the end of the answer; 0 for no bound.
func (r *Route) Timeout() time.Duration { return r.cfg.Timeout }

// TargetLatency returns the time to the first part of an answer that callers expect.
func (r *Route) TargetLatency() time.Duration { return r.cfg.TargetLatency }

// TargetGap returns the longest pause between events that callers expect.
func (r *Route) TargetGap() time.Duration { return r.cfg.TargetGap }

// Priority returns the rank of the route; 0 is the most urgent.
func (r *Route) Priority() int { return r.cfg.Priority }

// Attempts returns how many backend servers a request may be sent to.
func (r *Route) Attempts() int { return r.cfg.Attempts }

// Public tells whether requests need no key.
func (r *Route) Public() bool { return r.cfg.Public }

// Resumable tells whether a stream may go on at another backend server.
func (r *Route) Resumable() bool { return r.cfg.Resumable }

// Repeatable tells whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.cfg.Kind == Idempotent || (r.cfg.Kind == Stream && r.cfg.Resumable)
}

// PickService returns the service of a request. Draw is a random number of at
// least 0 and below 1 that is compared with the weights.
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, s := range r.cfg.Services {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range r.cfg.Services {
		if at -= float64(s.Weight); at < 0 && s.Weight > 0 {
			return s.Service
		}
	}
	if len(r.cfg.Services) == 0 {
		return ""
	}
	return r.cfg.Services[0].Service
}

// Accelerator is a kind of accelerator.
type Accelerator struct {
	Name          string
	Memory        float64 // MB
	StepFactor    float64 // factor on the time of a step
	PrefillFactor float64 // factor on the time of reading a prompt
}

// Engine describes the model engines of a service. All times are those of all
// layers on a card with the factors 1.
type Engine struct {
	Model               string
	Slots               int           // requests at once that one engine takes as the first of a path
	Layers              int           // of the model; 0 when each engine holds the whole model
	LayerMemory         float64       // MB of one layer's weights
	TokenMemory         float64       // bytes of KV cache that a token takes in all layers
	StepTime            time.Duration // of one token step
	StepTimePerRequest  time.Duration // added to a step for each request that is writing
	StepTimePerContext  time.Duration // added to a step for each 1,000 tokens of context of these
	PrefillRate         float64       // prompt tokens read in a second
	PrefillTimePerPairs time.Duration // added for each million pairs of a prompt token and an earlier one
	PrefillChunk        int           // prompt tokens read in a step at most
	Stride              int           // steps of a pass that writes
	ActivationBytes     float64       // bytes handed to the next engine for each token
	LinkMbps            float64       // Mbit/s of an engine's own link
	InterDomainMbps     float64       // Mbit/s between two failure domains
	LoadTime            time.Duration // of the whole model from the weight store
	LoadsAtOnce         int           // loads beyond these slow each other down
	ReportLag           time.Duration // age of a load report
	MeanPromptTokens    float64       // mean tokens of a prompt
	MeanAnswerTokens    float64       // mean tokens of an answer
	Accelerators        map[string]Accelerator
	Delays              map[[2]string]time.Duration // one way between two failure domains
}

// Delay returns the one-way delay between two failure domains.
func (e *Engine) Delay(from, to string) time.Duration {
	if d, ok := e.Delays[[2]string{from, to}]; ok {
		return d
	}
	return e.Delays[[2]string{to, from}]
}

// Service is a set of backend servers.
type Service struct {
	Name           string
	HealthPath     string // path of the health check
	MaxConnections int    // that one backend server accepts from all callers
	Engine         *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int           // bytes
	BodyBytes     int64         // bytes
	HeaderTimeout time.Duration // for the whole header
	IdleTimeout   time.Duration // of a connection between two requests
}

// Account is a client account.
type Account struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // Priority goes before the priority of a route
}

// Content holds the fields of a Config.
type Content struct {
	Version  uint64
	Routes   []*Route
	Services []Service
	Limits   Limits
	Accounts []Account
}

// Config is one version of the configuration.
type Config struct {
	version  uint64
	limits   Limits
	hosts    map[string][]*Route // longest prefix first
	services map[string]Service
	keys     map[string]*Account
	accounts int
}

// New checks the parts and returns a Config.
func New(p Content) (*Config, error) {
	c := &Config{version: p.Version, limits: p.Limits, hosts: map[string][]*Route{}, services: map[string]Service{}, keys: map[string]*Account{}}
	for _, s := range p.Services {
		c.services[s.Name] = s
	}
	for _, r := range p.Routes {
		if !strings.HasPrefix(r.cfg.Prefix, "/") || !strings.HasSuffix(r.cfg.Prefix, "/") {
			return nil, fmt.Errorf("route %q: prefix %q does not begin and end with a slash", r.cfg.Name, r.cfg.Prefix)
		}
		host := strings.ToLower(r.cfg.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, all := range c.hosts {
		sort.SliceStable(all, func(i, j int) bool { return len(all[i].cfg.Prefix) > len(all[j].cfg.Prefix) })
	}
	for i := range p.Accounts {
		a := &p.Accounts[i]
		c.accounts++
		for _, key := range a.Keys {
			c.keys[key] = a
		}
	}
	return c, nil
}

// Version returns the version of the configuration.
func (c *Config) Version() uint64 { return c.version }

// Limits returns the limits on callers.
func (c *Config) Limits() Limits { return c.limits }

// Service returns a service by name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services.
func (c *Config) Services() map[string]Service { return c.services }

// HasAccounts tells whether requests need a key.
func (c *Config) HasAccounts() bool { return c.accounts > 0 }

// Account returns the client account that holds a key, or nil.
func (c *Config) Account(key string) *Account { return c.keys[key] }

// Match returns the route with the longest prefix of a path, or nil.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	all, ok := c.hosts[host]
	if !ok {
		if at := strings.LastIndexByte(host, ':'); at >= 0 {
			all = c.hosts[host[:at]]
		}
	}
	for _, r := range all {
		if strings.HasPrefix(path, r.cfg.Prefix) {
			return r
		}
	}
	return nil
}
