package config_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
)

// newContent returns a configuration without faults: two routes, a service of model engines and a plain one.
func newContent() *draft {
	return &draft{
		version: 7,
		routes: []config.RouteConfig{
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: config.Stream, Timeout: 20 * time.Second, TargetLatency: time.Second, TargetGap: time.Second, Attempts: 2, Resumable: true, Services: split("lights", 1)},
			{Name: "desk", Host: "h", Prefix: "/desk/", Timeout: 2 * time.Second, TargetLatency: time.Second, Attempts: 2, Services: split("desk", 1)},
		},
		services: []config.Service{
			{Name: "lights", Engine: &config.Engine{Layers: 8, LayerMemory: 900, Accelerators: map[string]config.Accelerator{"l4": {Name: "l4", Memory: 22_000, StepFactor: 16}}}},
			{Name: "desk", MaxConnections: 10},
		},
		limits:   config.Limits{HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		accounts: []config.Account{{Name: "hotel", Keys: []string{"secret1"}}, {Name: "inn", Keys: []string{"secret2"}}},
	}
}

// draft is a configuration that tests change before its content is taken.
type draft struct {
	version  uint64
	routes   []config.RouteConfig
	services []config.Service
	limits   config.Limits
	accounts []config.Account
}

func (d *draft) content() *config.Content {
	c := &config.Content{Version: d.version, Services: d.services, Limits: d.limits, Accounts: d.accounts}
	for _, r := range d.routes {
		c.Routes = append(c.Routes, config.NewRoute(r))
	}
	return c
}

// split returns services with their weights.
func split(all ...any) (out []config.WeightedService) {
	for i := 0; i < len(all); i += 2 {
		out = append(out, config.WeightedService{Service: all[i].(string), Weight: all[i+1].(int)})
	}
	return out
}

// assertFindings checks the class, the rule and the place of all findings, written one after the other.
func assertFindings(t *testing.T, found []config.Finding, want string) {
	t.Helper()
	var all []string
	for _, f := range found {
		all = append(all, fmt.Sprintf("%s %s %s[%d] %s", f.Class, f.Rule, f.Place.Part, f.Place.Index, f.Place.Field))
		assert.Assert(t, !strings.Contains(f.Text, "secret"), f.Text)
	}
	assert.Equal(t, strings.Join(all, "; "), want)
}

// Guards against faults of a configuration that are not found, and against findings in one without faults.
func TestCheck(t *testing.T) {
	lights := func(d *draft, a ...config.Accelerator) {
		d.services[0].Engine.Accelerators = map[string]config.Accelerator{}
		for _, x := range a {
			d.services[0].Engine.Accelerators[x.Name] = x
		}
	}
	for name, tc := range map[string]struct {
		change func(d *draft)
		want   string
	}{
		"no fault":             {func(*draft) {}, ""},
		"prefix":               {func(d *draft) { d.routes[0].Prefix = "/chat" }, "error prefix route[0] prefix"},
		"no prefix":            {func(d *draft) { d.routes[0].Prefix = "" }, "error prefix route[0] prefix"},
		"longer prefix":        {func(d *draft) { d.routes[0].Prefix = "/desk/chat/" }, ""},
		"host":                 {func(d *draft) { d.routes[1].Host = "http://h" }, "unreachable host route[1] host"},
		"same host and prefix": {func(d *draft) { d.routes[1].Host, d.routes[1].Prefix = "H", "/chat/" }, "unreachable hidden route[1] prefix"},
		"another port":         {func(d *draft) { d.routes[1].Host, d.routes[1].Prefix = "h:8080", "/chat/" }, ""},
		"route name":           {func(d *draft) { d.routes[1].Name = "chat" }, "contradiction duplicate route[1] name"},
		"unknown service":      {func(d *draft) { d.routes[1].Services = split("desk", 1, "x", 1) }, "error service route[1] service"},
		"weight":               {func(d *draft) { d.routes[1].Services = split("desk", 1, "lights", 0) }, "unreachable weight route[1] weight"},
		"all weights":          {func(d *draft) { d.routes[1].Services = split("desk", 0, "lights", 0) }, "unreachable weight route[1] weight; unreachable weight route[1] weight"},
		"unused service":       {func(d *draft) { d.routes = d.routes[:1] }, "unreachable unused service[1] name"},
		"service name":         {func(d *draft) { d.services = append(d.services, config.Service{Name: "desk"}) }, "unreachable hidden service[1] name"},
		"latency":              {func(d *draft) { d.routes[1].TargetLatency = 3 * time.Second }, "contradiction latency route[1] target latency"},
		"latency, no timeout":  {func(d *draft) { d.routes[1].Timeout = 0 }, ""},
		"gap":                  {func(d *draft) { d.routes[0].TargetGap = time.Minute }, "contradiction gap route[0] target gap"},
		"attempts":             {func(d *draft) { d.routes[1].Attempts = 0 }, "contradiction attempts route[1] attempts"},
		"resumable":            {func(d *draft) { d.routes[1].Resumable = true }, "contradiction resumable route[1] resumable"},
		"step factor":          {func(d *draft) { lights(d, config.Accelerator{Name: "l4", Memory: 22_000}) }, "contradiction factor service[0] step factor"},
		"memory": {
			func(d *draft) {
				lights(d, config.Accelerator{Name: "l4", StepFactor: 1}, config.Accelerator{Name: "t4", Memory: 900, StepFactor: 1})
			},
			"contradiction memory service[0] memory",
		},
		"one does not fit": {
			func(d *draft) {
				lights(d, config.Accelerator{Name: "l4", Memory: 899, StepFactor: 1}, config.Accelerator{Name: "t4", Memory: 900, StepFactor: 1})
			},
			"unreachable fit service[0] memory",
		},
		"none fits":      {func(d *draft) { lights(d, config.Accelerator{Name: "l4", Memory: 899, StepFactor: 1}) }, "contradiction fit service[0] layer memory"},
		"no accelerator": {func(d *draft) { lights(d) }, "contradiction fit service[0] layer memory"},
		"header":         {func(d *draft) { d.limits.IdleTimeout = 2 * time.Second }, "contradiction header limits[0] header time-out"},
		"default idle":   {func(d *draft) { d.limits.IdleTimeout = 0 }, ""},
		"no key":         {func(d *draft) { d.accounts[1].Keys = nil }, "unreachable keyless account[1] name"},
		"empty key":      {func(d *draft) { d.accounts[1].Keys = []string{""} }, "unreachable keyless account[1] keys"},
		"key twice":      {func(d *draft) { d.accounts[1].Keys = []string{"secret2", "secret2"} }, "contradiction duplicate account[1] keys"},
		"shared key":     {func(d *draft) { d.accounts[1].Keys = []string{"secret1"} }, "contradiction shared account[1] keys"},
		"account name":   {func(d *draft) { d.accounts[1].Name = "hotel" }, "contradiction duplicate account[1] name"},
	} {
		t.Run(name, func(t *testing.T) {
			d := newContent()
			tc.change(d)
			assertFindings(t, config.Check(d.content(), nil), tc.want)
		})
	}
}

// Guards against a new version that no process applies, as it is not higher, and against a finding in a
// configuration that is in force already.
func TestCheckVersion(t *testing.T) {
	const want = "error version version[0] "
	changed := newContent()
	changed.limits.BodyBytes = 5
	assertFindings(t, config.Check(newContent().content(), newContent().content()), "")
	assertFindings(t, config.Check(changed.content(), newContent().content()), want)
	changed.version = 6
	assertFindings(t, config.Check(changed.content(), newContent().content()), want)
	changed.version = 8
	assertFindings(t, config.Check(changed.content(), newContent().content()), "")
}

// assertCompare checks the differences of a changed configuration, one a line, with the fields behind.
func assertCompare(t *testing.T, change func(d *draft), want string) {
	t.Helper()
	d := newContent()
	change(d)
	var all []string
	for _, x := range config.Compare(newContent().content(), d.content()) {
		text := fmt.Sprintf("%s %s %s at %d:", x.Change, x.Part, x.Name, x.Place.Index)
		for _, f := range x.Fields {
			text += fmt.Sprintf(" %s[%s] %v>%v", f.Field, f.Item, f.Old, f.New)
		}
		all = append(all, text)
	}
	got := strings.Join(all, "\n")
	assert.Assert(t, !strings.Contains(got, "secret"), got)
	assert.Equal(t, got, want)
}

// Guards against differences that are not told, that are told of equal configurations, and that hold keys.
func TestCompare(t *testing.T) {
	assertCompare(t, func(*draft) {}, "")
	assertCompare(t, func(d *draft) { d.version = 8; d.limits.BodyBytes = 5 }, "changed version  at 0: [] 7>8\nchanged limits  at 0: body bytes[] 0>5")
	assertCompare(t, func(d *draft) { d.routes[0].Timeout = time.Second; d.routes[0].Kind = config.Idempotent }, "changed route chat at 0: kind[] stream>idempotent timeout[] 20s>1s")
	assertCompare(t, func(d *draft) { d.routes[0], d.routes[1] = d.routes[1], d.routes[0] }, "")
	assertCompare(t, func(d *draft) { d.routes[1].Services = split("desk", 9, "lights", 1) }, "changed route desk at 1: weight[desk] <nil>>9 weight[lights] <nil>>1 service[] desk><nil>")
	assertCompare(t, func(d *draft) { d.routes[1].Services = split("desk", 9) }, "")
	assertCompare(t, func(d *draft) { d.routes[1] = config.RouteConfig{Name: "new", Host: "g", Prefix: "/"} },
		"added route new at 1: host[] <nil>>g prefix[] <nil>>/ kind[] <nil>>once priority[] <nil>>0\n"+
			"removed route desk at 1: host[] h><nil> prefix[] /desk/><nil> kind[] once><nil> timeout[] 2s><nil> target latency[] 1s><nil> priority[] 0><nil> attempts[] 2><nil> service[] desk><nil>")
	assertCompare(t, func(d *draft) { d.routes = append(d.routes, d.routes[1]); d.routes[2].Prefix = "/x/" },
		"added route desk at 2: host[] <nil>>h prefix[] <nil>>/x/ kind[] <nil>>once timeout[] <nil>>2s target latency[] <nil>>1s priority[] <nil>>0 attempts[] <nil>>2 service[] <nil>>desk")
	assertCompare(t, func(d *draft) { d.services[1].Engine = &config.Engine{Slots: 3} }, "changed service desk at 1: engine[] false>true slots[] <nil>>3")
	assertCompare(t, func(d *draft) {
		d.services[0].Engine.Accelerators["l4"] = config.Accelerator{Name: "l4", Memory: 22_000, StepFactor: 8}
		d.services[0].Engine.Delays = map[[2]string]time.Duration{{"p", "q"}: time.Second}
	}, "changed service lights at 0: step factor[l4] 16>8 delay[p q] <nil>>1s")
	assertCompare(t, func(d *draft) { d.accounts[1].HasPriority = true; d.accounts[1].Keys = []string{"secret3"} },
		fmt.Sprintf("changed account inn at 1: priority[] <nil>>0 keys[] <nil>>%s keys[] %s><nil>", config.KeyHash("secret3"), config.KeyHash("secret2")))
}
