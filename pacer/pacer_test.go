package pacer_test

import (
	"flag"
	"fmt"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/pacer"
)

func init() {
	testing.Init()
	_ = flag.Set("rapid.seed", "20261204") // fixed, so that a failure can be reproduced
}

const testServer = 7

// Guards against named rates that leave no trace in the logs.
func TestNamedRatesAreLogged(t *testing.T) {
	var log strings.Builder
	p := pacer.New(pacer.Config{Log: zerolog.New(&log)})
	p.Observe(pacer.Statement{Server: testServer, ID: "a", Named: true, Rate: 5, SentAt: pacer.Now()})
	assert.Assert(t, strings.Contains(log.String(), "backend server names a rate"), log.String())
	assert.Equal(t, p.Limited(), 1)
	p.Observe(pacer.Statement{Server: testServer, ID: "a", Unreadable: "many", SentAt: pacer.Now() + time.Second})
	assert.Assert(t, strings.Contains(log.String(), `"value":"many"`), log.String())
	assert.Equal(t, p.Limited(), 1)
	p.Observe(pacer.Statement{Server: testServer, ID: "a", SentAt: pacer.Now() + time.Second})
	assert.Assert(t, strings.Contains(log.String(), "names no rate any more"), log.String())
	assert.Equal(t, p.Limited(), 0)
}

// processNames returns n names of processes, spread over failure domains.
func processNames(n, domains int) (names []string, byDomain [][]string) {
	byDomain = make([][]string, domains)
	for i := range n {
		name := fmt.Sprintf("front-%d", i)
		names = append(names, name)
		byDomain[i%domains] = append(byDomain[i%domains], name)
	}
	return names, byDomain
}

// Guards against shares that together exceed the rate, or leave most of it unused, and against more
// processes with saved-up requests than the rate bears.
func TestSharesAddUpToTheRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		domains := rapid.IntRange(1, 9).Draw(rt, "domains")
		n := rapid.IntRange(domains, 120).Draw(rt, "processes")
		rate := rapid.Float64Range(0.1, 300).Draw(rt, "rate")
		server := rapid.Uint64().Draw(rt, "server")
		_, byDomain := processNames(n, domains)
		var domainNames []string
		for d := range domains {
			domainNames = append(domainNames, fmt.Sprint("domain-", d))
		}
		sum, sharers := 0.0, 0
		for d, members := range byDomain {
			for _, self := range members {
				f := pacer.Fleet{Self: self, Domain: domainNames[d], Members: members, Domains: domainNames, Size: n}
				if x := f.Share(server, rate); x > 0 {
					sum, sharers = sum+x, sharers+1
				}
			}
		}
		assert.Assert(rt, sum <= 1.5*rate+1e-9 && sum >= 0.5*rate, "%v of %v", sum, rate)
		if domains <= 4 {
			assert.Assert(rt, sum <= rate+1e-9 && sum >= rate-1e-9, "%v of %v", sum, rate)
		}
		// Within 4 s a server may get one and a half times its rate and 5 requests.
		assert.Assert(rt, 4*sum+float64(sharers) <= 6*rate+5+1e-9, "%d processes share %v", sharers, rate)
	})
}

// Guards against a process that has not heard from the others yet and takes the whole rate.
func TestUnknownFleetHasNoShare(t *testing.T) {
	p := pacer.New(pacer.Config{Log: zerolog.Nop(), Fleet: func() pacer.Fleet { return pacer.Fleet{} }})
	name(p, 10)
	assert.Equal(t, p.Wait(testServer), pacer.Never)
}

// name makes a server name a rate now.
func name(p *pacer.Pacer, rate float64) {
	p.Observe(pacer.Statement{Server: testServer, ID: "a", Named: true, Rate: rate, SentAt: pacer.Now()})
}

// unname makes a server answer without a rate to a request that was sent at a time.
func unname(p *pacer.Pacer, sentAt time.Duration) {
	p.Observe(pacer.Statement{Server: testServer, ID: "a", SentAt: sentAt})
}

func runVirtual(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		t.Cleanup(clock.Replace(func() time.Duration { return time.Since(base) + time.Hour }))
		f(t)
	})
}

// sent returns how many requests may be sent within a time, one each 10 ms at most.
func sent(p *pacer.Pacer, d time.Duration) int {
	n := 0
	for begun := time.Now(); time.Since(begun) < d; time.Sleep(10 * time.Millisecond) {
		if _, ok := p.Reserve(testServer, 0); ok {
			n++
		}
	}
	return n
}

// Guards against a process that sends at once what it did not send for a while, such as one that was
// frozen.
func TestUnusedShareIsNotSavedUp(t *testing.T) {
	runVirtual(t, func(t *testing.T) {
		p := pacer.New(pacer.Config{Log: zerolog.Nop()})
		name(p, 2)
		time.Sleep(30 * time.Second)
		assert.Equal(t, sent(p, 4*time.Second), 8) // one saved up, and seven within the 4 s
	})
}

// Guards against a limit that outlives the statement of the server, and one that is ended by an
// answer to an older request or by a statement that another process passed on late.
func TestNewestStatementCounts(t *testing.T) {
	runVirtual(t, func(t *testing.T) {
		p := pacer.New(pacer.Config{Log: zerolog.Nop()})
		before := pacer.Now()
		time.Sleep(time.Second)
		name(p, 2)
		unname(p, before)
		assert.Equal(t, p.Limited(), 1)
		p.Merge([]pacer.Record{{Server: testServer, At: before}})
		assert.Equal(t, p.Limited(), 1)
		time.Sleep(time.Second)
		unname(p, pacer.Now())
		assert.Equal(t, p.Limited(), 0)
		assert.Equal(t, p.Wait(testServer), time.Duration(0))
		p.Merge([]pacer.Record{{Server: testServer, Rate: 2, At: before}})
		assert.Equal(t, p.Limited(), 0)
		p.Merge([]pacer.Record{{Server: testServer, Rate: 2, At: pacer.Now() + time.Hour}})
		assert.Equal(t, p.Limited(), 1)
		time.Sleep(time.Second)
		unname(p, pacer.Now()) // a time in the future does not keep the limit
		assert.Equal(t, p.Limited(), 0)
	})
}

// Guards against a limit that never ends because no process of a failure domain may ask the server.
func TestLimitLapsesWithoutAnswers(t *testing.T) {
	runVirtual(t, func(t *testing.T) {
		const size = 10
		members := make([]string, size)
		for i := range members {
			members[i] = fmt.Sprint("p", i)
		}
		without := 0
		for _, self := range members {
			p := pacer.New(pacer.Config{Log: zerolog.Nop(), Fleet: func() pacer.Fleet {
				return pacer.Fleet{Self: self, Domain: "d", Members: members, Domains: []string{"d"}, Size: size}
			}})
			name(p, 1)
			if sent(p, 20*time.Second) > 0 {
				continue
			}
			without++
			time.Sleep(time.Minute)
			n := sent(p, 40*time.Second)
			assert.Assert(t, n >= 3 && n <= 5, n)
		}
		assert.Equal(t, without, 5) // one request a second for five processes
	})
}

// Guards against records from other processes that no server could have named.
func TestMergeIgnoresWhatNoServerNames(t *testing.T) {
	p := pacer.New(pacer.Config{Log: zerolog.Nop()})
	for _, rate := range []float64{math.NaN(), math.Inf(1), -1} {
		p.Merge([]pacer.Record{{Server: testServer, Rate: rate, At: pacer.Now()}})
	}
	assert.Equal(t, p.Limited(), 0)
}
