package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Class tells what a finding means.
type Class string

// Classes of findings.
const (
	Invalid       Class = "error"         // the configuration, or a part of it, doesn't take effect as written
	Unreachable   Class = "unreachable"   // an entry that can never match or be used
	Contradiction Class = "contradiction" // values that exclude each other
)

// Rules of findings. Scripts rely on the values.
const (
	RulePrefix    = "prefix"    // a prefix that does not begin and end with a slash
	RuleService   = "service"   // a route leads to a service that does not exist
	RuleVersion   = "version"   // not higher than the version in force
	RuleHost      = "host"      // a host that no request names
	RuleHidden    = "hidden"    // another entry is used instead
	RuleDuplicate = "duplicate" // a name or a key is given twice
	RuleWeight    = "weight"    // a weight of zero
	RuleUnused    = "unused"    // no route leads to a service
	RuleKeyless   = "keyless"   // an account without keys
	RuleShared    = "shared"    // two accounts hold one key
	RuleLatency   = "latency"   // a target latency above the timeout
	RuleGap       = "gap"       // a target gap above the timeout
	RuleHeader    = "header"    // a header time-out above the idle time-out
	RuleAttempts  = "attempts"  // less than one attempt
	RuleResumable = "resumable" // a route that can't be resumed
	RuleFactor    = "factor"    // a step factor of zero
	RuleMemory    = "memory"    // an accelerator without memory
	RuleFit       = "fit"       // a layer does not fit on an accelerator
)

// Finding is a fault of a configuration.
type Finding struct {
	Class Class
	Rule  string
	Place Place
	Other *Place // of the entry that Text names beside that of Place, or nil
	Text  string
}

// Check returns the faults of a configuration that can be seen without the deployment. If
// current is not nil, it is the configuration in force, and the version has to be higher. The
// configuration need not be one that New accepts.
func Check(next, current *Content) []Finding {
	c := &checker{next: next}
	c.checkVersion(current)
	c.checkRoutes()
	c.checkServices()
	c.checkLimits()
	c.checkAccounts()
	return c.findings
}

// checker collects the findings of a configuration.
type checker struct {
	next     *Content
	findings []Finding
}

func (c *checker) add(class Class, rule string, place Place, format string, args ...any) {
	c.findings = append(c.findings, Finding{Class: class, Rule: rule, Place: place, Text: fmt.Sprintf(format, args...)})
}

// addPair adds a finding about two entries.
func (c *checker) addPair(class Class, rule string, place, other Place, format string, args ...any) {
	c.add(class, rule, place, format, args...)
	c.findings[len(c.findings)-1].Other = &other
}

// checkVersion finds a version that processes would not apply. The same content under the same
// version is no fault.
func (c *checker) checkVersion(current *Content) {
	if current == nil || c.next.Version > current.Version {
		return
	}
	if c.next.Version < current.Version || len(Compare(current, c.next)) > 0 {
		c.add(Invalid, RuleVersion, Place{Part: PartVersion}, "%d is not higher than %d, the version in force", c.next.Version, current.Version)
	}
}

func (c *checker) checkRoutes() {
	names, matches := map[string]int{}, map[[2]string]int{}
	for i, r := range c.next.Routes {
		place := Place{Part: PartRoute, Index: i, Field: FieldName}
		if first, ok := names[r.cfg.Name]; ok {
			c.addPair(Contradiction, RuleDuplicate, place, Place{Part: PartRoute, Index: first, Field: FieldName}, "another route has the name %q", r.cfg.Name)
		} else {
			names[r.cfg.Name] = i
		}
		c.checkMatch(i, r, matches)
		c.checkTimes(i, r)
		c.checkRouteServices(i, r)
	}
}

// checkMatch finds prefixes and hosts that no request has, and a route that another one hides: New takes
// the longest prefix, and the first of routes with the same one. Matches holds the routes before.
func (c *checker) checkMatch(i int, r *Route, matches map[[2]string]int) {
	place := Place{Part: PartRoute, Index: i, Field: FieldPrefix}
	prefix := r.cfg.Prefix
	if !hasSlashes(prefix) {
		c.add(Invalid, RulePrefix, place, "prefix %q of route %q does not begin and end with a slash", prefix, r.cfg.Name)
	}
	host := strings.ToLower(r.cfg.Host)
	if host == "" || strings.ContainsAny(host, "/ \t*") {
		c.add(Unreachable, RuleHost, Place{Part: PartRoute, Index: i, Field: FieldHost}, "no request to route %q names the host %q", r.cfg.Name, r.cfg.Host)
	}
	match := [2]string{host, prefix}
	if first, ok := matches[match]; ok {
		c.addPair(Unreachable, RuleHidden, place, Place{Part: PartRoute, Index: first, Field: FieldPrefix},
			"route %q never matches, as route %q before it has the same host and prefix", r.cfg.Name, c.next.Routes[first].cfg.Name)
		return
	}
	matches[match] = i
}

// checkTimes finds target times that end after the request, and numbers of attempts and properties that the
// kind of the route excludes. Several attempts are allowed for each kind: a request that a server refused
// as not run is sent to another one.
func (c *checker) checkTimes(i int, r *Route) {
	at := func(f Field) Place { return Place{Part: PartRoute, Index: i, Field: f} }
	if r.cfg.Timeout > 0 && r.cfg.TargetLatency > r.cfg.Timeout {
		c.add(Contradiction, RuleLatency, at(FieldTargetLatency), "target latency %v of route %q is above its timeout, %v", r.cfg.TargetLatency, r.cfg.Name, r.cfg.Timeout)
	}
	if r.cfg.Timeout > 0 && r.cfg.TargetGap > r.cfg.Timeout {
		c.add(Contradiction, RuleGap, at(FieldTargetGap), "target gap %v of route %q is above its timeout, %v", r.cfg.TargetGap, r.cfg.Name, r.cfg.Timeout)
	}
	if r.cfg.Attempts < 1 {
		c.add(Contradiction, RuleAttempts, at(FieldAttempts), "route %q has %d attempts, 1 is used", r.cfg.Name, r.cfg.Attempts)
	}
	if r.cfg.Resumable && r.cfg.Kind != Stream {
		c.add(Contradiction, RuleResumable, at(FieldResumable), "route %q can't be resumed, as its answers are no streams", r.cfg.Name)
	}
}

func (c *checker) checkRouteServices(i int, r *Route) {
	total := 0
	for _, s := range r.cfg.Services {
		total += max(s.Weight, 0)
	}
	for k, s := range r.cfg.Services {
		if !slices.ContainsFunc(c.next.Services, func(x Service) bool { return x.Name == s.Service }) {
			c.add(Invalid, RuleService, Place{Part: PartRoute, Index: i, Field: FieldService, Item: k}, "route %q leads to service %q, which does not exist", r.cfg.Name, s.Service)
		}
		place := Place{Part: PartRoute, Index: i, Field: FieldWeight, Item: k}
		switch {
		case s.Weight > 0:
		case total == 0 && k == 0:
			c.add(Unreachable, RuleWeight, place, "all weights of route %q are 0, so that service %q gets all of its requests", r.cfg.Name, s.Service)
		default:
			c.add(Unreachable, RuleWeight, place, "service %q gets no request of route %q, as its weight is %d", s.Service, r.cfg.Name, s.Weight)
		}
	}
}

func (c *checker) checkServices() {
	last := map[string]int{}
	for i, s := range c.next.Services {
		last[s.Name] = i
	}
	for i, s := range c.next.Services {
		place := Place{Part: PartService, Index: i, Field: FieldName}
		if k := last[s.Name]; k != i {
			c.addPair(Unreachable, RuleHidden, place, Place{Part: PartService, Index: k, Field: FieldName}, "service %q is never used, as a later one has the same name", s.Name)
			continue
		}
		if !slices.ContainsFunc(c.next.Routes, func(r *Route) bool { return r.PickService(0) == s.Name || r.LeadsTo(s.Name) }) {
			c.add(Unreachable, RuleUnused, place, "no route leads to service %q", s.Name)
		}
		if s.Engine != nil {
			c.checkEngine(i, &s)
		}
	}
}

// checkEngine finds accelerators without speed or memory, and layers that fit on none.
func (c *checker) checkEngine(i int, s *Service) {
	e := s.Engine
	fits := false
	var small []Finding
	for _, name := range slices.Sorted(maps.Keys(e.Accelerators)) {
		a := e.Accelerators[name]
		at := func(f Field) Place { return Place{Part: PartService, Index: i, Field: f, Name: name} }
		if a.StepFactor == 0 {
			c.add(Contradiction, RuleFactor, at(FieldStepFactor), "accelerator %q of service %q has a step factor of 0", name, s.Name)
		}
		switch {
		case a.Memory == 0:
			c.add(Contradiction, RuleMemory, at(FieldMemory), "accelerator %q of service %q has no memory", name, s.Name)
		case e.Layers > 0 && a.Memory < e.LayerMemory:
			small = append(small, Finding{Class: Unreachable, Rule: RuleFit, Place: at(FieldMemory), Text: fmt.Sprintf(
				"no layer of service %q fits on accelerator %q: %v MB, and a layer has %v MB", s.Name, name, a.Memory, e.LayerMemory)})
		default:
			fits = true
		}
	}
	if e.Layers > 0 && !fits {
		c.add(Contradiction, RuleFit, Place{Part: PartService, Index: i, Field: FieldLayerMemory}, "a layer of service %q has %v MB and fits on no accelerator", s.Name, e.LayerMemory)
		return
	}
	c.findings = append(c.findings, small...)
}

func (c *checker) checkLimits() {
	l := c.next.Limits
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.add(Contradiction, RuleHeader, Place{Part: PartLimits, Field: FieldHeaderTimeout}, "header time-out %v is above the idle time-out, %v", l.HeaderTimeout, l.IdleTimeout)
	}
}

func (c *checker) checkAccounts() {
	names, owners := map[string]int{}, map[string]Place{}
	for i, a := range c.next.Accounts {
		place := Place{Part: PartAccount, Index: i, Field: FieldName}
		if first, ok := names[a.Name]; ok {
			c.addPair(Contradiction, RuleDuplicate, place, Place{Part: PartAccount, Index: first, Field: FieldName}, "another account has the name %q", a.Name)
		} else {
			names[a.Name] = i
		}
		if len(a.Keys) == 0 {
			c.add(Unreachable, RuleKeyless, place, "account %q has no key, so that no request belongs to it", a.Name)
		}
		for k, key := range a.Keys {
			c.checkKey(Place{Part: PartAccount, Index: i, Field: FieldKeys, Item: k}, key, owners)
		}
	}
}

// checkKey finds an empty key and one that is given before. Owners holds the keys before.
func (c *checker) checkKey(place Place, key string, owners map[string]Place) {
	name := c.next.Accounts[place.Index].Name
	if key == "" {
		c.add(Unreachable, RuleKeyless, place, "a key of account %q is empty", name)
		return
	}
	first, ok := owners[key]
	switch {
	case !ok:
		owners[key] = place
	case first.Index == place.Index:
		c.addPair(Contradiction, RuleDuplicate, place, first, "account %q lists key %s twice", name, KeyHash(key))
	default:
		c.addPair(Contradiction, RuleShared, place, first, "accounts %q and %q hold key %s", c.next.Accounts[first.Index].Name, name, KeyHash(key))
	}
}
