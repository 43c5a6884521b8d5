package config_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/config"
)

// newConfig returns a version of a configuration with two routes, whose prefixes overlap.
func newConfig(t *testing.T, version uint64) *config.Config {
	t.Helper()
	c, err := config.New(config.Content{
		Version: version,
		Routes: []*config.Route{
			config.NewRoute(config.RouteConfig{Name: "short", Host: "A.example", Prefix: "/x/", Services: []config.WeightedService{{Service: "one", Weight: 1}}}),
			config.NewRoute(config.RouteConfig{Name: "long", Host: "a.example", Prefix: "/x/y/", Services: []config.WeightedService{{Service: "one", Weight: 90}, {Service: "two", Weight: 10}}}),
		},
		Accounts: []config.Account{{Name: "shop", Keys: []string{"k1", "k2"}}},
	})
	assert.NilError(t, err)
	return c
}

func checkMatch(t *testing.T, c *config.Config, host, path, want string) {
	t.Helper()
	r := c.Match(host, path)
	if want == "" {
		assert.Assert(t, r == nil)
		return
	}
	assert.Assert(t, r != nil)
	assert.Equal(t, r.Name(), want)
}

// A request takes the route with the longest prefix of its path; the port of the host is
// ignored.
func TestMatchPrefersLongestPrefix(t *testing.T) {
	c := newConfig(t, 1)
	checkMatch(t, c, "a.example", "/x/1", "short")
	checkMatch(t, c, "a.example:8080", "/x/y/1", "long")
	checkMatch(t, c, "a.example", "/x/y", "short")
	checkMatch(t, c, "a.example", "/z/", "")
	checkMatch(t, c, "b.example", "/x/1", "")
}

// Requests are distributed over the services of a route by weight, not all to one of them.
func TestPickServiceByWeight(t *testing.T) {
	r := newConfig(t, 1).Match("a.example", "/x/y/")
	assert.Equal(t, r.PickService(0), "one")
	assert.Equal(t, r.PickService(0.89), "one")
	assert.Equal(t, r.PickService(0.91), "two")
}

// An account is found by each of its keys, and by no other key: a key that a version no
// longer lists must not be accepted.
func TestAccountByKey(t *testing.T) {
	c := newConfig(t, 1)
	assert.Equal(t, c.Account("k2").Name, "shop")
	assert.Assert(t, c.Account("k3") == nil)
}

// A process that receives versions out of order must not go back to an older one.
func TestTrackerKeepsNewestVersion(t *testing.T) {
	var tracker config.Tracker
	assert.Assert(t, tracker.Current() == nil)
	assert.Assert(t, tracker.Apply(newConfig(t, 7)))
	assert.Assert(t, !tracker.Apply(newConfig(t, 6)))
	assert.Assert(t, !tracker.Apply(newConfig(t, 7)))
	assert.Equal(t, tracker.Current().Version(), uint64(7))
	assert.Assert(t, tracker.Apply(newConfig(t, 8)))
}

// A confirmation for an earlier time that arrives late must not raise the age.
func TestLateConfirmationKeepsAge(t *testing.T) {
	var tracker config.Tracker
	now := clock.Now()
	tracker.Confirm(now)
	tracker.Confirm(now - time.Second)
	assert.Assert(t, tracker.Age() < time.Second)
}

// Guards against an old configuration that counts as new because the process that takes it from another
// one is younger: such a process ran requests of a key that had been taken away.
func TestConfirmationBeforeStartKeepsAge(t *testing.T) {
	var tracker config.Tracker
	tracker.Confirm(clock.Now() - time.Hour)
	assert.Assert(t, tracker.Age() >= time.Hour, "%v", tracker.Age())
}

// Guards against a configuration that counts as confirmed at the start of the process.
func TestAgeWithoutConfirmation(t *testing.T) {
	var tracker config.Tracker
	assert.Assert(t, tracker.Age() > time.Hour, "%v", tracker.Age())
}

// Guards against the age of a newer configuration that is taken for that of an older one: both are told by one call,
// also while a confirmation arrives.
func TestAgeIsThatOfTheConfiguration(t *testing.T) {
	var tracker config.Tracker
	now := clock.Now()
	assert.Assert(t, tracker.Apply(newConfig(t, 7)))
	tracker.Confirm(now - time.Hour)
	defer clock.Replace(func() time.Duration {
		tracker.Apply(newConfig(t, 8))
		tracker.Confirm(now)
		return now
	})()
	c, age := tracker.Latest()
	assert.Assert(t, c.Version() == 8 || age >= time.Hour, "version %d counts as %v old", c.Version(), age)
}

// Guards against a choice of engines for uneven accelerators that takes effect where they are alike, or
// because of a factor that is not stated.
func TestUneven(t *testing.T) {
	for name, c := range map[string]struct {
		factors []float64
		want    bool
	}{
		"none": {nil, false}, "one": {[]float64{16}, false}, "sevenfold": {[]float64{2.4, 5.6, 16}, false},
		"eightfold": {[]float64{2, 16}, true}, "elevenfold": {[]float64{1.4, 3.1, 16, 15}, true}, "not stated": {[]float64{0, 16}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := config.Service{Engine: &config.Engine{Accelerators: map[string]config.Accelerator{}}}
			for i, f := range c.factors {
				s.Engine.Accelerators[string(rune('a'+i))] = config.Accelerator{StepFactor: f}
			}
			assert.Equal(t, s.Uneven(), c.want)
		})
	}
	assert.Assert(t, !config.Service{}.Uneven())
}

// Guards against admission by priority where the streaming routes of a service have the same one, and
// against its absence where a route leads to the service with a small weight.
func TestCompeting(t *testing.T) {
	route := func(kind config.Kind, priority int, services ...config.WeightedService) *config.Route {
		return config.NewRoute(config.RouteConfig{Host: "a", Prefix: "/", Kind: kind, Priority: priority, Services: services})
	}
	one, other := config.WeightedService{Service: "s", Weight: 99}, config.WeightedService{Service: "o", Weight: 1}
	for name, c := range map[string]struct {
		routes []*config.Route
		want   bool
	}{
		"none":            {nil, false},
		"same priority":   {[]*config.Route{route(config.Stream, 1, one), route(config.Stream, 1, one)}, false},
		"other priority":  {[]*config.Route{route(config.Stream, 0, one), route(config.Stream, 2, other, one)}, true},
		"weight 0":        {[]*config.Route{route(config.Stream, 0, one), route(config.Stream, 2, other, config.WeightedService{Service: "s"})}, true},
		"not a stream":    {[]*config.Route{route(config.Stream, 0, one), route(config.Idempotent, 2, one)}, false},
		"another service": {[]*config.Route{route(config.Stream, 0, one), route(config.Stream, 2, other)}, false},
		"set beforehand":  {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			beforehand := map[string][]config.Urgency{"set beforehand": {{Route: 0}, {Route: 1}}}
			cfg, err := config.New(config.Content{Routes: c.routes, Services: []config.Service{{Name: "s", Urgencies: beforehand[name]}}})
			assert.NilError(t, err)
			s, ok := cfg.Service("s")
			assert.Assert(t, ok)
			assert.Equal(t, s.Competing(), c.want)
		})
	}
}

// Guards against streams whose accounts have one priority and that are then all equally urgent, whatever their
// routes say.
// Guards as well against callers that pass other accounts by stating that they have a part of the stream.
func TestRank(t *testing.T) {
	account := func(priority int) config.Account { return config.Account{Priority: priority, HasPriority: true} }
	route := func(priority int) *config.Route {
		return config.NewRoute(config.RouteConfig{Host: "a", Prefix: "/", Kind: config.Stream, Priority: priority, Services: []config.WeightedService{{Service: "s", Weight: 1}}})
	}
	urgent, late := route(0), route(2)
	for name, c := range map[string]struct {
		accounts []config.Account
		want     [][2]int // ranks of each account on the urgent and on the late route
		first    []int    // rank of the most urgent streams of each account
	}{
		"equal accounts":      {[]config.Account{account(1), account(1)}, [][2]int{{0, 1}, {0, 1}}, []int{0, 0}},
		"account comes first": {[]config.Account{account(0), account(1)}, [][2]int{{0, 1}, {2, 3}}, []int{0, 2}},
		"without a priority":  {[]config.Account{{}, {}}, [][2]int{{0, 1}, {0, 1}}, []int{0, 0}},
		"one without":         {[]config.Account{account(1), {}}, [][2]int{{1, 2}, {0, 3}}, []int{1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			cfg, err := config.New(config.Content{Routes: []*config.Route{urgent, late}, Services: []config.Service{{Name: "s"}}, Accounts: c.accounts})
			assert.NilError(t, err)
			s, _ := cfg.Service("s")
			for i := range c.accounts {
				assert.Equal(t, s.AccountRank(&c.accounts[i]), c.first[i])
				assert.DeepEqual(t, [2]int{s.Rank(&c.accounts[i], urgent), s.Rank(&c.accounts[i], late)}, c.want[i])
			}
		})
	}
}
