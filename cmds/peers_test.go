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

// eventually is the deadline of conditions that hold within a few seconds on
// an idle machine.
const eventually = time.Minute

// cluster is three entry processes that are peers of each other.
type cluster struct {
	*session
	certs   *fakes.Authority
	seeds   map[string]string
	members map[string]*process
	engines map[string]*exec.Cmd // by address
	orders  string               // address of the plain service
	tree    string
}

func (c *cluster) await(what string, ok func() bool) {
	c.t.Helper()
	begin := time.Now()
	for !ok() {
		assert.Assert(c.t, time.Since(begin) < eventually, "waited %s: %s", eventually, what)
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Logf("%s after %s", what, time.Since(begin).Round(10*time.Millisecond))
}

// launch starts an entry process with the addresses it had before.
func (c *cluster) launch(name string) *process {
	c.t.Helper()
	p := c.members[name]
	if p == nil {
		p = &process{name: name, callers: free(c.t), admin: free(c.t)}
		c.members[name] = p
	}
	certificate, key, err := c.certs.Issue(name)
	assert.NilError(c.t, err)
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\ndomain = \"thamel\"\nregion = \"bagmati\"\ntoken = %q\n", name, spec.HashKey(processToken))
	fmt.Fprintf(&b, "[listen]\ncallers = %q\nadmin = %q\nlinger = \"300ms\"\n[platform]\naddress = %q\n", p.callers, p.admin, c.platform)
	fmt.Fprintf(&b, "[peer]\nlisten = %q\nauthority = %q\ncertificate = %q\nkey = %q\n[peer.seeds]\n", c.seeds[name], c.certs.PEM(), certificate, key)
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
		session: &session{t: t, dir: dir, program: filepath.Join(dir, "cranberrybay")}, tree: t.TempDir(),
		seeds: map[string]string{}, members: map[string]*process{}, engines: map[string]*exec.Cmd{},
	}
	out, err := exec.Command("go", "build", "-o", c.program, "../cmd/cranberrybay").CombinedOutput()
	assert.NilError(t, err, string(out))
	assert.NilError(t, os.CopyFS(c.tree, examples.Tree))
	c.certs, err = fakes.NewAuthority()
	assert.NilError(t, err)
	c.platform = c.standin("platform")
	vm := func(name, address, service string) {
		c.put(c.platform, "/vms", plat.VM{Name: name, Address: address, Domain: "thamel", Service: service})
	}
	for i := range 6 {
		address := free(t)
		first := i / 2 * 8
		c.engines[address], _ = c.start("standin", "engine", "--model", "lights", "--pace", "5ms",
			"--first", fmt.Sprint(first), "--last", fmt.Sprint(first+8), "--listen", address)
		vm(fmt.Sprintf("engine-%d-%c", i/2, 'a'+i%2), address, "assistant")
	}
	c.orders = c.standin("service")
	vm("desk-1", c.orders, "desk")
	for i := range 3 {
		c.seeds[fmt.Sprintf("entry-%d", i+1)] = free(t)
	}
	for name := range c.seeds {
		c.launch(name)
	}
	return c
}

// lists tells whether the process answers GET /addresses with exactly these
// processes.
func (c *cluster) lists(p *process, names ...string) bool {
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

// listed waits until each of the processes lists exactly them.
func (c *cluster) listed(what string, names ...string) {
	c.t.Helper()
	c.await(what, func() bool {
		return !slices.ContainsFunc(names, func(n string) bool { return !c.lists(c.members[n], names...) })
	})
}

func (c *cluster) status(p *process) string {
	out, _ := exec.Command(c.program, "status", "--address", p.admin, "--token", processToken).CombinedOutput()
	return string(out)
}

// serves tells whether a process has a version in effect.
func (c *cluster) serves(p *process, version int) bool {
	return strings.Contains(c.status(p), fmt.Sprintf("in thamel: version %d,", version))
}

// publish publishes a new rate of the account and returns the output.
func (c *cluster) publish(p *process, rate int, args ...string) (string, error) {
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

// ticket gets a ticket; its holder is the incarnation of the process.
func (c *cluster) ticket(p *process) (key, incarnation string, ok bool) {
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

// place places an order and returns status, replay mark and body.
func (c *cluster) place(p *process, body, key string) string {
	rs, err := p.request("POST", "/services/desk/orders", body, key)
	if err != nil {
		return err.Error()
	}
	defer rs.Body.Close()
	b, _ := io.ReadAll(rs.Body)
	return fmt.Sprintf("%d %s %s", rs.StatusCode, rs.Header.Get("Idempotent-Replayed"), b)
}

// ran returns how often the service ran an order.
func (c *cluster) ran(body string) int {
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

// holder returns the incarnation that the row of the placement lease names.
func (c *cluster) holder() (name string, fence uint64) {
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

// killBusy kills an engine of the middle range that runs a request.
func (c *cluster) killBusy() {
	c.t.Helper()
	for address, cmd := range c.engines {
		rs, err := http.Get("http://" + address + "/load")
		assert.NilError(c.t, err)
		var l engine.Load
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

// TestPeers guards what entry processes do for each other: membership, the
// spread of versions, tickets at another process, and the placement lease,
// while processes are paused, killed and replaced and the platform fails.
func TestPeers(t *testing.T) {
	c := newCluster(t)
	one, two, three := c.members["entry-1"], c.members["entry-2"], c.members["entry-3"]
	c.listed("three processes list each other", "entry-1", "entry-2", "entry-3")

	out, err := c.publish(one, 201, "--wait")
	assert.NilError(t, err, out)
	assert.Assert(t, strings.Contains(out, "in effect on all live entry processes (3)"), out)
	for _, p := range c.members {
		assert.Assert(t, c.serves(p, 1), "%s after publish --wait: %s", p.name, c.status(p))
		c.await(p.name+" knows every server", func() bool { return strings.Count(c.status(p), "ready true") == 7 })
	}

	key, _, ok := c.ticket(one)
	assert.Assert(t, ok)
	first := c.place(two, "forwarded", key)
	assert.Assert(t, strings.HasPrefix(first, "201  "), first)
	assert.Equal(t, c.place(three, "forwarded", key), strings.Replace(first, "201  ", "201 true ", 1))
	assert.Equal(t, c.ran("forwarded"), 1)

	c.ask(two, "a long diagnosis, words=200", c.killBusy)
	assert.Assert(t, strings.HasSuffix(c.log.String(), "200 tokens, whole\n"), c.log.String())

	c.pauseHolder()
	c.outage()
	c.stop()
}

// pauseHolder pauses the holder of the placement lease, with an order in
// flight, until another process has the lease. That takes longer than every
// other lease and deadline of the settings.
func (c *cluster) pauseHolder() {
	t := c.t
	var paused *process
	var incarnation string
	var before uint64
	c.await("a live process holds the lease", func() bool {
		incarnation, before = c.holder()
		for _, p := range c.members {
			if _, i, ok := c.ticket(p); ok && i == incarnation {
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
	c.put(c.orders, "/faults", fakes.ServiceFaults{Delay: time.Second})
	answered := make(chan string, 1)
	go func() { answered <- c.place(paused, "paused", "order-paused") }()
	c.await("the order is at the service or ran", func() bool {
		rs, err := http.Get("http://" + c.orders + "/load")
		if err != nil {
			return false
		}
		defer rs.Body.Close()
		var l engine.Load
		return json.NewDecoder(rs.Body).Decode(&l) == nil && l.Running > 0 || c.ran("paused") > 0
	})
	assert.NilError(t, paused.cmd.Process.Signal(syscall.SIGSTOP))
	c.listed("the paused process is not listed", others...)
	out, err := c.publish(c.members[others[0]], 202, "--wait")
	assert.NilError(t, err, out)
	assert.Assert(t, strings.Contains(out, "in effect on all live entry processes (2)"), out)
	// Callers with an old address list wait at the paused process, and one of
	// them has already asked another process under the same key.
	assert.Assert(t, strings.HasPrefix(c.place(c.members[others[0]], "waiting", "order-waiting"), "201  "))
	late := make(chan string, 2)
	go func() { late <- c.place(paused, "waiting", "order-waiting") }()
	go func() { late <- c.place(paused, "unheard", "order-unheard") }()
	var next string
	var fence uint64
	c.await("another process takes the lease over", func() bool { next, fence = c.holder(); return next != incarnation })
	assert.Assert(t, fence > before, "fencing number %d after %d", fence, before)
	c.put(c.orders, "/faults", fakes.ServiceFaults{})

	assert.NilError(t, paused.cmd.Process.Signal(syscall.SIGCONT))
	t.Logf("answers of the woken process: in flight %q, late %q, %q", <-answered, <-late, <-late)
	c.listed("the woken process is listed again", "entry-1", "entry-2", "entry-3")
	c.await("the woken process has the version of the others", func() bool { return c.serves(paused, 2) })
	after, now := c.holder()
	assert.Equal(t, after, next)
	assert.Equal(t, now, fence)
	t.Logf("the same order at another process: %s", c.place(c.members[others[0]], "paused", "order-paused"))
	assert.Equal(t, c.ran("paused"), 1)
	assert.Equal(t, c.ran("waiting"), 1)
	for _, p := range c.members {
		t.Logf("the late order again: %s", c.place(p, "unheard", "order-unheard"))
	}
	assert.Assert(t, c.ran("unheard") <= 1)
}

// outage kills a process, starts it again while the platform is down, and
// publishes during the outage and while replies are lost.
func (c *cluster) outage() {
	t := c.t
	one, three := c.members["entry-1"], c.members["entry-3"]
	assert.NilError(t, three.cmd.Process.Kill())
	c.listed("the killed process is not listed", "entry-1", "entry-2")
	c.put(c.platform, "/faults", fakes.PlatformFaults{Down: true})
	out, err := c.publish(one, 203)
	assert.Assert(t, err != nil, out)
	assert.Assert(t, strings.Contains(out, "not-run") || strings.Contains(out, "not run"), out)
	c.launch("entry-3")
	c.await("the process started in an outage has its version from a peer", func() bool { return c.serves(three, 2) })
	_, _, ok := c.ticket(three)
	assert.Assert(t, ok, "the process started in an outage knows no account")
	c.put(c.platform, "/faults", fakes.PlatformFaults{})
	c.listed("the restarted process is listed", "entry-1", "entry-2", "entry-3")
	assert.Assert(t, c.serves(one, 2), c.status(one))

	// Other commits lose their replies too, so that the count is not exact.
	c.put(c.platform, "/faults", fakes.PlatformFaults{LostReplies: 1000})
	out, err = c.publish(one, 204)
	c.put(c.platform, "/faults", fakes.PlatformFaults{})
	assert.NilError(t, err, out)
	assert.Assert(t, strings.Contains(out, "accepted as version 3"), out)
	c.await("all have the version whose reply was lost", func() bool {
		return c.serves(one, 3) && c.serves(c.members["entry-2"], 3) && c.serves(three, 3)
	})
	audit := c.command("audit", "--address", one.admin, "--token", processToken)
	assert.Equal(t, strings.Count(audit, "accepted as version"), 3, audit)
}

// stop stops a process in mid-answer, which must end the answer, leave the
// list and exit without an error.
func (c *cluster) stop() {
	t := c.t
	two := c.members["entry-2"]
	c.await("entry-2 knows the servers", func() bool { return strings.Count(c.status(two), "ready true") >= 6 })
	c.ask(two, "a long diagnosis, words=300", func() {
		assert.NilError(t, two.cmd.Process.Signal(syscall.SIGTERM))
		c.listed("the draining process is not listed", "entry-1", "entry-3")
	})
	assert.Assert(t, strings.HasSuffix(c.log.String(), "300 tokens, whole\n"), c.log.String())
	assert.NilError(t, two.cmd.Wait())
	c.launch("entry-2")
	c.listed("the replaced process is listed", "entry-1", "entry-2", "entry-3")
}
