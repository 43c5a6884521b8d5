package config_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/config"
)

func build(t *testing.T, version uint64) *config.Config {
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

func checkRoute(t *testing.T, c *config.Config, host, path, want string) {
	t.Helper()
	r := c.Match(host, path)
	if want == "" {
		assert.Assert(t, r == nil)
		return
	}
	assert.Assert(t, r != nil)
	assert.Equal(t, r.Name(), want)
}

// Guards against a request that takes a route other than the longest prefix.
func TestMatch(t *testing.T) {
	c := build(t, 1)
	checkRoute(t, c, "a.example", "/x/1", "short")
	checkRoute(t, c, "a.example:8080", "/x/y/1", "long")
	checkRoute(t, c, "a.example", "/x/y", "short")
	checkRoute(t, c, "a.example", "/z/", "")
	checkRoute(t, c, "b.example", "/x/1", "")
}

// Guards against weights that send no or all requests to one service.
func TestShares(t *testing.T) {
	r := build(t, 1).Match("a.example", "/x/y/")
	assert.Equal(t, r.PickService(0), "one")
	assert.Equal(t, r.PickService(0.89), "one")
	assert.Equal(t, r.PickService(0.91), "two")
}

// Guards against a key that outlives the version that took it away.
func TestKeys(t *testing.T) {
	c := build(t, 1)
	assert.Equal(t, c.Account("k2").Name, "shop")
	assert.Assert(t, c.Account("k3") == nil)
}

// Guards against a process that goes back to an older version.
func TestHolderNeverGoesBack(t *testing.T) {
	var h config.Tracker
	assert.Assert(t, h.Current() == nil)
	assert.Assert(t, h.Apply(build(t, 7)))
	assert.Assert(t, !h.Apply(build(t, 6)))
	assert.Assert(t, !h.Apply(build(t, 7)))
	assert.Equal(t, h.Current().Version(), uint64(7))
	assert.Assert(t, h.Apply(build(t, 8)))
}

// Guards against an age that a late confirmation of an early time lowers.
func TestHolderAge(t *testing.T) {
	var h config.Tracker
	now := clock.Now()
	h.Confirm(now)
	h.Confirm(now - time.Second)
	assert.Assert(t, h.Age() < time.Second)
}
