package cmds_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/examples"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/plat"
	"github.com/cranberrybay/cranberrybay/spec"
)

// waitTimeout bounds the wait for conditions that hold within a few seconds on
// an idle machine.
const waitTimeout = time.Minute

// cluster runs entry processes that are peers of each other, with six engines
// and a plain service.
type cluster struct {
	*processSession
	authority *fakes.Authority
	seeds     map[string]string
	members   map[string]*process
	engines   map[string]*exec.Cmd // by address
	orders    string               // address of the plain service
	tree      string
}

func (c *cluster) waitFor(what string, ok func() bool) {
	c.t.Helper()
	begin := time.Now()
	for !ok() {
		assert.Assert(c.t, time.Since(begin) < waitTimeout, "waited %s: %s", waitTimeout, what)
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Logf("%s after %s", what, time.Since(begin).Round(10*time.Millisecond))
}

// startMember starts an entry process. A restarted one keeps its addresses.
func (c *cluster) startMember(name string) *process {
	c.t.Helper()
	p := c.members[name]
	if p == nil {
		p = &process{name: name, callers: freeAddress(c.t), admin: freeAddress(c.t)}
		c.members[name] = p
	}
	certificate, key, err := c.authority.Issue(name)
	assert.NilError(c.t, err)
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\ndomain = \"thamel\"\nregion = \"bagmati\"\ntoken = %q\n", name, spec.HashKey(processToken))
	fmt.Fprintf(&b, "[listen]\ncallers = %q\nadmin = %q\nlinger = \"300ms\"\n[platform]\naddress = %q\n", p.callers, p.admin, c.platform)
	fmt.Fprintf(&b, "[peer]\nlisten = %q\nauthority = %q\ncertificate = %q\nkey = %q\n[peer.seeds]\n", c.seeds[name], c.authority.PEM(), certificate, key)
	for n, a := range c.seeds {
		if n != name {
			fmt.Fprintf(&b, "%s = %q\n", n, a)
		}
	}
	path := filepath.Join(c.dir, name+".toml")
	assert.NilError(c.t, os.WriteFile(path, []byte(b.String()), 0o600))
	p.cmd, _ = c.start("serve", "--config", path)
	return p
}

func newCluster(t *testing.T) *cluster {
	dir := t.TempDir()
	c := &cluster{
		processSession: &processSession{t: t, dir: dir, program: filepath.Join(dir, "cranberrybay")}, tree: t.TempDir(),
		seeds: map[string]string{}, members: map[string]*process{}, engines: map[string]*exec.Cmd{},
	}
	out, err := exec.Command("go", "build", "-o", c.program, "../cmd/cranberrybay").CombinedOutput()
	assert.NilError(t, err, string(out))
	assert.NilError(t, os.CopyFS(c.tree, examples.Files))
	c.authority, err = fakes.NewAuthority()
	assert.NilError(t, err)
	c.platform = c.startStandin("platform")
	vm := func(name, address, service string) {
		c.putJSON(c.platform, "/vms", plat.VM{Name: name, Address: address, Domain: "thamel", Service: service})
	}
	for i := range 6 {
		address := freeAddress(t)
		first := i / 2 * 8
		c.engines[address], _ = c.start("standin", "engine", "--model", "lights", "--pace", "5ms",
			"--first", fmt.Sprint(first), "--last", fmt.Sprint(first+8), "--listen", address)
		vm(fmt.Sprintf("engine-%d-%c", i/2, 'a'+i%2), address, "assistant")
	}
	c.orders = c.startStandin("service")
	vm("desk-1", c.orders, "desk")
	for i := range 3 {
		c.seeds[fmt.Sprintf("entry-%d", i+1)] = freeAddress(t)
	}
	for name := range c.seeds {
		c.startMember(name)
	}
	return c
}

// listsExactly reports whether the answer to GET /addresses consists of exactly
// the named processes.
func (c *cluster) listsExactly(p *process, names ...string) bool {
	rs, err := p.request("GET", "/addresses", "", "")
	if err != nil {
		return false
	}
	defer rs.Body.Close()
	var got entry.Addresses
	if json.NewDecoder(rs.Body).Decode(&got) != nil {
		return false
	}
	var want []string
	for _, n := range names {
		want = append(want, c.members[n].callers)
	}
	slices.Sort(got.Addresses)
	slices.Sort(want)
	return slices.Equal(got.Addresses, want)
}

// waitListed waits until each of the named processes lists exactly these
// processes.
func (c *cluster) waitListed(what string, names ...string) {
	c.t.Helper()
	c.waitFor(what, func() bool {
		return !slices.ContainsFunc(names, func(n string) bool { return !c.listsExactly(c.members[n], names...) })
	})
}

func (c *cluster) status(p *process) string {
	out, _ := exec.Command(c.program, "status", "--address", p.admin, "--token", processToken).CombinedOutput()
	return string(out)
}

// hasVersion reports whether a process has the version in effect.
func (c *cluster) hasVersion(p *process, version int) bool {
	return strings.Contains(c.status(p), fmt.Sprintf("in thamel: version %d,", version))
}

// publishRate publishes the account with a new rate and returns the output.
func (c *cluster) publishRate(p *process, rate int, args ...string) (string, error) {
	path := filepath.Join(c.tree, "desk", "hotel.bay.toml")
	files, err := filepath.Glob(filepath.Join(c.tree, "*", "*"+spec.Suffix))
	assert.NilError(c.t, err)
	for _, f := range files {
		if text, _ := os.ReadFile(f); bytes.Contains(text, []byte("[account]")) {
			path = f
		}
	}
	text, err := os.ReadFile(path)
	assert.NilError(c.t, err)
	var lines []string
	for _, l := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(l, "rate = ") {
			l = fmt.Sprintf("rate = %d", rate)
		}
		lines = append(lines, l)
	}
	assert.NilError(c.t, os.WriteFile(path, []byte(strings.Join(lines, "\n")), 0o600))
	full := append([]string{"publish", "--address", p.admin, "--token", processToken, "--author", "operator", c.tree}, args...)
	out, err := exec.Command(c.program, full...).CombinedOutput()
	return string(out), err
}

// newTicket requests a ticket, which is an idempotency key. Its holder is the
// incarnation of the process that issued it.
func (c *cluster) newTicket(p *process) (key, incarnation string, ok bool) {
	rs, err := p.request("POST", "/tickets", "", "")
	if err != nil {
		return "", "", false
	}
	defer rs.Body.Close()
	var got entry.Tickets
	if rs.StatusCode != http.StatusCreated || json.NewDecoder(rs.Body).Decode(&got) != nil {
		return "", "", false
	}
	holder, ok := claim.TicketHolder(got.Tickets[0])
	return got.Tickets[0], holder, ok
}

// orderResult places an order and returns the status, the header
// Idempotent-Replayed and the body.
func (c *cluster) orderResult(p *process, body, key string) string {
	rs, err := p.request("POST", "/services/desk/orders", body, key)
	if err != nil {
		return err.Error()
	}
	defer rs.Body.Close()
	b, _ := io.ReadAll(rs.Body)
	return fmt.Sprintf("%d %s %s", rs.StatusCode, rs.Header.Get("Idempotent-Replayed"), b)
}

// orderCount returns how many times the service ran an order.
func (c *cluster) orderCount(body string) int {
	c.t.Helper()
	rs, err := http.Get("http://" + c.orders + "/orders")
	assert.NilError(c.t, err)
	defer rs.Body.Close()
	var all []fakes.OrderRecord
	assert.NilError(c.t, json.NewDecoder(rs.Body).Decode(&all))
	n := 0
	for _, o := range all {
		if string(o.Body) == body {
			n++
		}
	}
	return n
}

// leaseHolder returns the incarnation and the fencing number in the table row of
// the placement lease.
func (c *cluster) leaseHolder() (name string, fence uint64) {
	c.t.Helper()
	rs, err := http.Post("http://"+c.platform+"/table/get", "application/json", strings.NewReader(`{"keys":["lease/place"]}`))
	assert.NilError(c.t, err)
	defer rs.Body.Close()
	var rows plat.RowsReply
	assert.NilError(c.t, json.NewDecoder(rs.Body).Decode(&rows))
	var row struct {
		Holder string `json:"holder"`
		Fence  uint64 `json:"fence"`
	}
	if len(rows.Rows) == 1 && len(rows.Rows[0].Value) > 0 {
		assert.NilError(c.t, json.Unmarshal(rows.Rows[0].Value, &row))
	}
	return row.Holder, row.Fence
}

// killBusyEngine kills an engine of the middle layer range that runs a request.
func (c *cluster) killBusyEngine() {
	c.t.Helper()
	for address, cmd := range c.engines {
		rs, err := http.Get("http://" + address + "/load")
		assert.NilError(c.t, err)
		var l engine.LoadReport
		err = json.NewDecoder(rs.Body).Decode(&l)
		_ = rs.Body.Close()
		assert.NilError(c.t, err)
		if l.First == 8 && l.Running > 0 {
			assert.NilError(c.t, cmd.Process.Kill())
			return
		}
	}
	c.t.Fatal("no engine of the middle range runs a request")
}

// TestPeers guards against failures between entry processes: membership, the
// propagation of versions, tickets used at another process, and the placement
// lease, while processes are paused, killed and replaced and the platform is
// down.
func TestPeers(t *testing.T) {
	c := newCluster(t)
	one, two, three := c.members["entry-1"], c.members["entry-2"], c.members["entry-3"]
	c.waitListed("three processes list each other", "entry-1", "entry-2", "entry-3")

	out, err := c.publishRate(one, 201, "--wait")
	assert.NilError(t, err, out)
	assert.Assert(t, strings.Contains(out, "in effect on all live entry processes (3)"), out)
	for _, p := range c.members {
		assert.Assert(t, c.hasVersion(p, 1), "%s after publish --wait: %s", p.name, c.status(p))
		c.waitFor(p.name+" knows every server", func() bool { return strings.Count(c.status(p), "ready true") == 7 })
	}

	key, _, ok := c.newTicket(one)
	assert.Assert(t, ok)
	first := c.orderResult(two, "forwarded", key)
	assert.Assert(t, strings.HasPrefix(first, "201  "), first)
	assert.Equal(t, c.orderResult(three, "forwarded", key), strings.Replace(first, "201  ", "201 true ", 1))
	assert.Equal(t, c.orderCount("forwarded"), 1)

	c.streamAnswer(two, "a long diagnosis, words=200", c.killBusyEngine)
	assert.Assert(t, strings.HasSuffix(c.log.String(), "200 tokens, whole\n"), c.log.String())

	c.checkPausedHolder()
	c.checkOutage()
	c.checkStop()
}

// checkPausedHolder pauses the holder of the placement lease, with an order in
// flight, until another process has taken the lease over. By then every shorter
// lease and deadline has expired too.
func (c *cluster) checkPausedHolder() {
	t := c.t
	var paused *process
	var incarnation string
	var before uint64
	c.waitFor("a live process holds the lease", func() bool {
		incarnation, before = c.leaseHolder()
		for _, p := range c.members {
			if _, i, ok := c.newTicket(p); ok && i == incarnation {
				paused = p
			}
		}
		return paused != nil
	})
	var others []string
	for n := range c.members {
		if n != paused.name {
			others = append(others, n)
		}
	}
	c.putJSON(c.orders, "/faults", fakes.ServiceFaults{Delay: time.Second})
	answered := make(chan string, 1)
	go func() { answered <- c.orderResult(paused, "paused", "order-paused") }()
	c.waitFor("the order is at the service or ran", func() bool {
		rs, err := http.Get("http://" + c.orders + "/load")
		if err != nil {
			return false
		}
		defer rs.Body.Close()
		var l engine.LoadReport
		return json.NewDecoder(rs.Body).Decode(&l) == nil && l.Running > 0 || c.orderCount("paused") > 0
	})
	assert.NilError(t, paused.cmd.Process.Signal(syscall.SIGSTOP))
	c.waitListed("the paused process is not listed", others...)
	out, err := c.publishRate(c.members[others[0]], 202, "--wait")
	assert.NilError(t, err, out)
	assert.Assert(t, strings.Contains(out, "in effect on all live entry processes (2)"), out)
	// Callers with an outdated address list wait at the paused process. One of
	// them has already sent the same key to another process.
	assert.Assert(t, strings.HasPrefix(c.orderResult(c.members[others[0]], "waiting", "order-waiting"), "201  "))
	late := make(chan string, 2)
	go func() { late <- c.orderResult(paused, "waiting", "order-waiting") }()
	go func() { late <- c.orderResult(paused, "unheard", "order-unheard") }()
	var next string
	var fence uint64
	c.waitFor("another process takes the lease over", func() bool { next, fence = c.leaseHolder(); return next != incarnation })
	assert.Assert(t, fence > before, "fencing number %d after %d", fence, before)
	c.putJSON(c.orders, "/faults", fakes.ServiceFaults{})

	assert.NilError(t, paused.cmd.Process.Signal(syscall.SIGCONT))
	t.Logf("answers of the resumed process: in flight %q, late %q, %q", <-answered, <-late, <-late)
	c.waitListed("the resumed process is listed again", "entry-1", "entry-2", "entry-3")
	c.waitFor("the resumed process has the version of the others", func() bool { return c.hasVersion(paused, 2) })
	after, now := c.leaseHolder()
	assert.Equal(t, after, next)
	assert.Equal(t, now, fence)
	t.Logf("the same order at another process: %s", c.orderResult(c.members[others[0]], "paused", "order-paused"))
	assert.Equal(t, c.orderCount("paused"), 1)
	assert.Equal(t, c.orderCount("waiting"), 1)
	for _, p := range c.members {
		t.Logf("the late order again: %s", c.orderResult(p, "unheard", "order-unheard"))
	}
	assert.Assert(t, c.orderCount("unheard") <= 1)
}

// checkOutage kills a process, restarts it while the platform is down, and
// publishes during the outage and while replies of the platform are lost.
func (c *cluster) checkOutage() {
	t := c.t
	one, three := c.members["entry-1"], c.members["entry-3"]
	assert.NilError(t, three.cmd.Process.Kill())
	c.waitListed("the killed process is not listed", "entry-1", "entry-2")
	c.putJSON(c.platform, "/faults", fakes.PlatformFaults{Down: true})
	out, err := c.publishRate(one, 203)
	assert.Assert(t, err != nil, out)
	assert.Assert(t, strings.Contains(out, "not-run") || strings.Contains(out, "not run"), out)
	c.startMember("entry-3")
	c.waitFor("the process started in an outage has its version from a peer", func() bool { return c.hasVersion(three, 2) })
	_, _, ok := c.newTicket(three)
	assert.Assert(t, ok, "the process started in an outage knows no account")
	c.putJSON(c.platform, "/faults", fakes.PlatformFaults{})
	c.waitListed("the restarted process is listed", "entry-1", "entry-2", "entry-3")
	assert.Assert(t, c.hasVersion(one, 2), c.status(one))

	// The fault also hits commits other than the publication, so a small number
	// of lost replies might not reach it.
	c.putJSON(c.platform, "/faults", fakes.PlatformFaults{LostReplies: 1000})
	out, err = c.publishRate(one, 204)
	c.putJSON(c.platform, "/faults", fakes.PlatformFaults{})
	assert.NilError(t, err, out)
	assert.Assert(t, strings.Contains(out, "accepted as version 3"), out)
	c.waitFor("all have the version whose reply was lost", func() bool {
		return c.hasVersion(one, 3) && c.hasVersion(c.members["entry-2"], 3) && c.hasVersion(three, 3)
	})
	audit := c.runCommand("audit", "--address", one.admin, "--token", processToken)
	assert.Equal(t, strings.Count(audit, "accepted as version"), 3, audit)
}

// checkStop sends SIGTERM to a process while an answer streams through it. The
// process must finish the answer, leave the address list and exit without an
// error.
func (c *cluster) checkStop() {
	t := c.t
	two := c.members["entry-2"]
	c.waitFor("entry-2 knows the servers", func() bool { return strings.Count(c.status(two), "ready true") >= 6 })
	c.streamAnswer(two, "a long diagnosis, words=300", func() {
		assert.NilError(t, two.cmd.Process.Signal(syscall.SIGTERM))
		c.waitListed("the draining process is not listed", "entry-1", "entry-3")
	})
	assert.Assert(t, strings.HasSuffix(c.log.String(), "300 tokens, whole\n"), c.log.String())
	assert.NilError(t, two.cmd.Wait())
	c.startMember("entry-2")
	c.waitListed("the replaced process is listed", "entry-1", "entry-2", "entry-3")
}
