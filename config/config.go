// Package config holds the routing configuration in effect: routes, services, limits on
// calls and the keys of client accounts. A Config is immutable. A Tracker keeps the
// newest one and never goes back to an older version.
package config

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind says how often a request may run and whether its answer is a stream.
type Kind uint8

// Kinds of routes.
const (
	AtMostOnce Kind = iota // runs at most once for each attempt of a caller
	Idempotent             // may run more than once
	Stream                 // answered by a stream of events
)

// String returns the name of the kind as it appears in logs.
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

// WeightedService is a service of a route with its share of the requests.
type WeightedService struct {
	Service string
	Weight  int
}

// RouteConfig holds the fields of a Route.
type RouteConfig struct {
	Name          string
	Host          string
	Prefix        string // of the path; begins and ends with a slash
	Kind          Kind
	Services      []WeightedService
	Timeout       time.Duration // longest time to the end of the answer
	TargetLatency time.Duration // time to the answer, or to a stream's first event, that callers expect
	TargetGap     time.Duration // longest pause between events that callers expect
	Priority      int           // 0 is the most urgent
	Attempts      int           // backend servers that one request may be sent to
	Public        bool          // no key is required
	Resumable     bool          // a stream may continue at another backend server
}

// Route maps requests to services.
type Route struct{ cfg RouteConfig }

// NewRoute returns a route, which allows at least one attempt.
func NewRoute(cfg RouteConfig) *Route { return &Route{cfg: cfg} }

// Name returns the name of the route.
func (r *Route) Name() string { return r.cfg.Name }

// Kind returns how often requests may run and whether the answer is a stream.
func (r *Route) Kind() Kind { return r.cfg.Kind }

// Timeout returns the longest time to the end of the answer, or 0 if the route
// states none.
func (r *Route) Timeout() time.Duration { return r.cfg.Timeout }

// TargetLatency returns the time to the answer, or to a stream's first event, that
// callers expect.
func (r *Route) TargetLatency() time.Duration { return r.cfg.TargetLatency }

// TargetGap returns the longest pause between events that callers expect.
func (r *Route) TargetGap() time.Duration { return r.cfg.TargetGap }

// Priority returns the priority of the route; 0 is the most urgent.
func (r *Route) Priority() int { return r.cfg.Priority }

// Attempts returns the number of backend servers that a request may be sent to.
func (r *Route) Attempts() int { return max(r.cfg.Attempts, 1) }

// Public reports whether requests need no key.
func (r *Route) Public() bool { return r.cfg.Public }

// Resumable reports whether a stream may continue at another backend server.
func (r *Route) Resumable() bool { return r.cfg.Resumable }

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.cfg.Kind == Idempotent || (r.cfg.Kind == Stream && r.cfg.Resumable)
}

// LeadsTo reports whether requests of the route may go to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.cfg.Services, func(s WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// PickService picks the service of a request by weight. The random number is at least
// 0 and below 1. It returns an empty name if the route has no services.
func (r *Route) PickService(random float64) string {
	total := 0
	for _, s := range r.cfg.Services {
		total += s.Weight
	}
	remaining := random * float64(total)
	for _, s := range r.cfg.Services {
		if remaining -= float64(s.Weight); remaining < 0 && s.Weight > 0 {
			return s.Service
		}
	}
	if len(r.cfg.Services) == 0 {
		return ""
	}
	return r.cfg.Services[0].Service
}

// Accelerator describes a kind of accelerator.
type Accelerator struct {
	Name          string
	Memory        float64 // MB
	StepFactor    float64 // factor on the time of a decoding step; larger is slower
	PrefillFactor float64 // factor on the time of processing a prompt; larger is slower
}

// Engine describes the model engines of a service. Times are those of all layers of the
// model on an accelerator whose factors are 1.
type Engine struct {
	Model               string
	Slots               int           // requests that one engine accepts at the same time as the first of a path
	Layers              int           // of the model; 0 if each engine holds the whole model
	LayerMemory         float64       // MB of the weights of one layer
	TokenMemory         float64       // bytes of KV cache for one token in all layers
	StepTime            time.Duration // of one decoding step
	StepTimePerRequest  time.Duration // added to a step for each request that is decoding
	StepTimePerContext  time.Duration // added to a step for each 1,000 tokens of context of these requests
	PrefillRate         float64       // prompt tokens processed in a second
	PrefillTimePerPairs time.Duration // added for each million pairs of a prompt token and an earlier one
	PrefillChunk        int           // prompt tokens processed in one step at most
	Stride              int           // decoding steps in one pass
	ActivationBytes     float64       // bytes passed to the next engine for each token
	LinkMbps            float64       // bandwidth of an engine's network link in Mbit/s
	InterDomainMbps     float64       // bandwidth between two failure domains in Mbit/s
	LoadTime            time.Duration // of the whole model from the weight store
	LoadsAtOnce         int           // concurrent loads above this number slow each other down
	ReportLag           time.Duration // age of a load report
	MeanPromptTokens    float64
	MeanAnswerTokens    float64
	Accelerators        map[string]Accelerator      // by name
	Delays              map[[2]string]time.Duration // one-way delay between two failure domains
}

// Delay returns the one-way delay between two failure domains. A delay that is configured
// for one direction only applies to both.
func (e *Engine) Delay(from, to string) time.Duration {
	if d, ok := e.Delays[[2]string{from, to}]; ok {
		return d
	}
	return e.Delays[[2]string{to, from}]
}

// Service is a set of interchangeable backend servers. Engine is nil unless they are model
// engines.
type Service struct {
	Name           string
	HealthPath     string // path of the health check
	MaxConnections int    // that one backend server accepts from all its clients together
	Engine         *Engine
	Urgencies      []Urgency // of its streams, most urgent first; set by New
}

// Urgency orders streams: first by the priority of the client account, then by that of the route. 0 is the most
// urgent. An account without a priority has that of the route.
type Urgency struct{ Account, Route int }

// urgencyOf returns the urgency of a stream of an account, which may be nil, on a route.
func urgencyOf(a *Account, route int) Urgency {
	if a != nil && a.HasPriority {
		return Urgency{Account: a.Priority, Route: route}
	}
	return Urgency{Account: route, Route: route}
}

func compareUrgencies(a, b Urgency) int {
	return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Route, b.Route))
}

// Competing reports whether the streaming routes of the service differ in priority, so that streams compete
// for its engines by urgency.
func (s Service) Competing() bool {
	return slices.ContainsFunc(s.Urgencies, func(u Urgency) bool { return u.Route != s.Urgencies[0].Route })
}

// Rank returns the number of urgencies of the service's streams that come before that of an account, which may
// be nil, on a route.
func (s Service) Rank(a *Account, r *Route) int {
	rank, _ := slices.BinarySearchFunc(s.Urgencies, urgencyOf(a, r.Priority()), compareUrgencies)
	return rank
}

// AccountRank returns the rank of the most urgent streams of an account, which may be nil.
func (s Service) AccountRank(a *Account) int {
	if a == nil || !a.HasPriority {
		return 0
	}
	rank, _ := slices.BinarySearchFunc(s.Urgencies, Urgency{Account: a.Priority, Route: math.MinInt}, compareUrgencies)
	return rank
}

// unevenRatio is the ratio of step factors from which the accelerators of a service count as uneven.
const unevenRatio = 8

// Uneven reports whether the step factors of the service's accelerators differ at least eightfold.
// Factors that are not positive don't count.
func (s Service) Uneven() bool {
	if s.Engine == nil {
		return false
	}
	least, most := math.Inf(1), 0.0
	for _, a := range s.Engine.Accelerators {
		if a.StepFactor > 0 {
			least, most = min(least, a.StepFactor), max(most, a.StepFactor)
		}
	}
	return most >= unevenRatio*least
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // for the whole header
	IdleTimeout   time.Duration // of a connection between two requests
}

// Account is a client account.
type Account struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // Priority overrides the priority of a route
}

// Content is the content of a Config.
type Content struct {
	Version  uint64
	Routes   []*Route
	Services []Service
	Limits   Limits
	Accounts []Account
}

// Config is one version of the configuration, indexed for lookups.
type Config struct {
	version  uint64
	limits   Limits
	routes   map[string][]*Route // by host in lower case; longest prefix first
	services map[string]Service
	keys     map[string]*Account
	accounts int
}

// New returns a Config. It fails if the path prefix of a route doesn't begin and end with
// a slash.
func New(content Content) (*Config, error) {
	c := &Config{version: content.Version, limits: content.Limits, routes: map[string][]*Route{}, services: map[string]Service{}, keys: map[string]*Account{}}
	for _, s := range content.Services {
		s.Urgencies = urgencies(s.Name, content)
		c.services[s.Name] = s
	}
	for _, r := range content.Routes {
		if !hasSlashes(r.cfg.Prefix) {
			return nil, fmt.Errorf("route %q: prefix %q does not begin and end with a slash", r.cfg.Name, r.cfg.Prefix)
		}
		host := strings.ToLower(r.cfg.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, routes := range c.routes {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].cfg.Prefix) > len(routes[j].cfg.Prefix) })
	}
	for i := range content.Accounts {
		a := &content.Accounts[i]
		c.accounts++
		for _, key := range a.Keys {
			c.keys[key] = a
		}
	}
	return c, nil
}

// urgencies returns the different urgencies of the streams of a service, most urgent first. Routes that list it
// with weight 0 count too, so that a change of weights does not switch the behaviour of the service.
func urgencies(service string, content Content) []Urgency {
	var out []Urgency
	for _, r := range content.Routes {
		if r.Kind() != Stream || !slices.ContainsFunc(r.cfg.Services, func(s WeightedService) bool { return s.Service == service }) {
			continue
		}
		if u := urgencyOf(nil, r.Priority()); r.Public() || len(content.Accounts) == 0 {
			out = appendNew(out, u)
		}
		for i := range content.Accounts {
			out = appendNew(out, urgencyOf(&content.Accounts[i], r.Priority()))
		}
	}
	slices.SortFunc(out, compareUrgencies)
	return out
}

// appendNew appends an urgency unless it is in the list.
func appendNew(list []Urgency, u Urgency) []Urgency {
	if slices.Contains(list, u) {
		return list
	}
	return append(list, u)
}

// hasSlashes reports whether a path prefix begins and ends with a slash.
func hasSlashes(prefix string) bool {
	return strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/")
}

// Version returns the version of the configuration.
func (c *Config) Version() uint64 { return c.version }

// Limits returns the limits on what a caller may send.
func (c *Config) Limits() Limits { return c.limits }

// Service returns a service by name, and whether it exists.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services by name. The caller must not change the map.
func (c *Config) Services() map[string]Service { return c.services }

// HasAccounts reports whether there are client accounts. Without any, no request needs a
// key.
func (c *Config) HasAccounts() bool { return c.accounts > 0 }

// Account returns the client account with a key, or nil.
func (c *Config) Account(key string) *Account { return c.keys[key] }

// Match returns the route with the longest prefix of a path, or nil. The port of the host
// is ignored unless a route names it.
func (c *Config) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := c.routes[host]
	if !ok {
		if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
			routes = c.routes[host[:colon]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.cfg.Prefix) {
			return r
		}
	}
	return nil
}
