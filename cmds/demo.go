package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/cranberrybay/cranberrybay/admin"
	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/examples"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/node"
	"github.com/cranberrybay/cranberrybay/plat"
	"github.com/cranberrybay/cranberrybay/spec"
)

// Credentials of the demo. demoKey is the API key of the account in
// examples/desk.
const (
	demoKey   = "demo-key"
	demoToken = "demo-token"
)

func newDemo() *cobra.Command {
	var stay bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole system in one process and show what it does",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			d := &demo{out: c.OutOrStdout(), platform: fakes.NewPlatform(), engines: map[string]*fakes.Engine{}}
			defer d.close()
			if err := d.start(ctx); err != nil {
				return fmt.Errorf("start demo: %w", err)
			}
			if stay {
				d.printHints()
				<-ctx.Done()
				return nil
			}
			return d.runChecks(ctx)
		},
	}
	c.Flags().BoolVar(&stay, "stay", false, "leave the system running and print what to try")
	return c
}

// demo runs three entry processes, six engines, a plain service and a fake
// platform in one process.
type demo struct {
	out       io.Writer
	platform  *fakes.Platform
	authority *fakes.Authority
	engines   map[string]*fakes.Engine
	service   *fakes.Service
	servers   []*http.Server
	entries   []node.Settings
	apps      []*fx.App
}

// domains are the failure domains of the demo, with one entry process each.
var domains = []string{"thamel", "patan", "bhaktapur"}

func (d *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

// serve starts an HTTP server on a free loopback port and returns its address.
func (d *demo) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// start starts all parts of the system, publishes the example documents and
// waits until every entry process is ready.
func (d *demo) start(ctx context.Context) error {
	platformAddress, err := d.serve(d.platform.Handler())
	if err != nil {
		return err
	}
	if d.authority, err = fakes.NewAuthority(); err != nil {
		return err
	}
	if err := d.startServers(); err != nil {
		return err
	}
	for i, domain := range domains {
		if err := d.startEntry(ctx, i, domain, platformAddress); err != nil {
			return err
		}
	}
	if err := d.publish(); err != nil {
		return err
	}
	return d.waitUntilReady(ctx)
}

// startServers starts two engines for each of three layer ranges, in different
// failure domains, and one plain service.
func (d *demo) startServers() error {
	for r := range 3 {
		for replica := range 2 {
			name := fmt.Sprintf("engine-%d-%c", r, 'a'+replica)
			e, _, h := fakes.NewManagedEngine(
				fakes.EngineConfig{Kind: "a", Model: "lights", Version: "1", First: r * 8, Last: r*8 + 8, Pace: 3 * time.Millisecond},
				fakes.PartManagerConfig{Memory: 8000, Fenced: true, Weights: d.platform.Weights(), FirstPartSize: 8 * 400},
			)
			address, err := d.serve(h)
			if err != nil {
				return err
			}
			d.engines[name] = e
			d.platform.SetVM(plat.VM{Name: name, Address: address, Domain: domains[(r+replica)%3], Service: "assistant"})
		}
	}
	d.service = fakes.NewService()
	address, err := d.serve(d.service.Handler())
	if err != nil {
		return err
	}
	d.platform.SetVM(plat.VM{Name: "desk-1", Address: address, Domain: domains[0], Service: "desk"})
	return nil
}

func (d *demo) startEntry(ctx context.Context, i int, domain, platformAddress string) error {
	s := node.Settings{
		Name: fmt.Sprintf("entry-%d", i+1), Domain: domain, Region: "bagmati", Token: spec.HashKey(demoToken),
		Platform: node.PlatformSettings{Address: platformAddress},
	}
	certificate, key, err := d.authority.Issue(s.Name)
	if err != nil {
		return err
	}
	s.Peer.Authority, s.Peer.Certificate, s.Peer.Key = string(d.authority.PEM()), string(certificate), string(key)
	for _, a := range []*string{&s.Listen.Callers, &s.Listen.Admin, &s.Peer.Listen} {
		address, err := fakes.FreeAddress()
		if err != nil {
			return err
		}
		*a = address
	}
	app := node.New(s, io.Discard)
	if err := app.Start(ctx); err != nil {
		return err
	}
	d.entries, d.apps = append(d.entries, s), append(d.apps, app)
	return nil
}

// publish publishes the example documents through the first entry process.
func (d *demo) publish() error {
	docs, err := examples.Documents()
	if err != nil {
		return err
	}
	var files []change.File
	for _, doc := range docs {
		files = append(files, change.File{Path: doc.Path(), Text: string(doc.Text())})
	}
	a := apiClient{address: d.entries[0].Listen.Admin, token: demoToken}
	var res change.Result
	if err := a.call("POST", "/publish", admin.Publication{Author: "demo", Files: files}, &res); err != nil {
		return err
	}
	d.printf("published %d documents, accepted as version %d", len(res.Changes), res.Version)
	return nil
}

// waitUntilReady waits until every entry process has the published version in
// effect, sees every backend server as ready, and lists the addresses of all
// entry processes to callers.
func (d *demo) waitUntilReady(ctx context.Context) error {
	deadline := time.Now().Add(10 * time.Second)
	for _, n := range d.entries {
		a := apiClient{address: n.Listen.Admin, token: demoToken}
		for !serversReady(a) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("%s was not ready within 10s", n.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.printf("3 entry processes in %s are ready", strings.Join(domains, ", "))
	for _, n := range d.entries {
		for !listsAllAddresses(n.Listen.Callers) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("%s did not list 3 addresses within 10s", n.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.printf("each of them lists the addresses of all 3")
	return nil
}

// listsAllAddresses reports whether the entry process at the address lists all
// entry processes to callers.
func listsAllAddresses(address string) bool {
	rs, err := http.Get("http://" + address + "/addresses")
	if err != nil {
		return false
	}
	defer rs.Body.Close()
	var l entry.Addresses
	return json.NewDecoder(rs.Body).Decode(&l) == nil && len(l.Addresses) == len(domains)
}

// serversReady reports whether an entry process has a version in effect and
// sees all 7 backend servers as ready.
func serversReady(a apiClient) bool {
	var s admin.Status
	if err := a.call("GET", "/status", nil, &s); err != nil || s.Version == 0 || len(s.Servers) < 7 {
		return false
	}
	for _, sv := range s.Servers {
		if !sv.Ready {
			return false
		}
	}
	return true
}

func (d *demo) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for _, a := range d.apps {
		_ = a.Stop(ctx)
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
}

// printHints prints the addresses, the credentials and commands to try.
func (d *demo) printHints() {
	for _, n := range d.entries {
		d.printf("%s in %s: callers http://%s, operators http://%s", n.Name, n.Domain, n.Listen.Callers, n.Listen.Admin)
	}
	d.printf("API key %s, operator's credential %s", demoKey, demoToken)
	n := d.entries[0]
	d.printf("try: curl -s http://%s/addresses", n.Listen.Callers)
	d.printf(`try: curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"the tube flickers"}]}'`, n.Listen.Callers, demoKey)
	d.printf(`try: curl -s http://%s/services/desk/orders -H 'Authorization: Bearer %s' -H 'Idempotency-Key: 1' -d 'refill'`, n.Listen.Callers, demoKey)
	d.printf("try: cranberrybay status --address %s --token %s", n.Listen.Admin, demoToken)
}

// runChecks streams an answer, places an order twice under one idempotency key,
// and kills an engine while an answer streams through it. It fails when a
// result is not the expected one.
func (d *demo) runChecks(ctx context.Context) error {
	if err := d.checkStreaming(ctx); err != nil {
		return err
	}
	if err := d.checkIdempotency(ctx); err != nil {
		return err
	}
	return d.checkEngineFailure(ctx)
}

func (d *demo) checkStreaming(ctx context.Context) error {
	text, err := d.streamAnswer(ctx, 0, "the tube flickers", func(int) {})
	if err != nil {
		return err
	}
	return d.checkAnswer("streamed an answer", text, "the tube flickers")
}

// checkAnswer compares an answer with the text that the fake model generates
// for the prompt.
func (d *demo) checkAnswer(what, text, content string) error {
	want := fakes.ExpectedAnswer("lights", "user: "+content+"\n", 24, 16384)
	if text != want {
		return fmt.Errorf("%s: got %d bytes that differ from the expected %d bytes", what, len(text), len(want))
	}
	d.printf("%s of %d tokens, whole", what, len(strings.Fields(text)))
	return nil
}

func (d *demo) checkIdempotency(ctx context.Context) error {
	for i := range 2 {
		rq, err := http.NewRequestWithContext(ctx, "POST", "http://"+d.entries[i].Listen.Callers+"/services/desk/orders", strings.NewReader("refill for the hotel"))
		if err != nil {
			return err
		}
		rq.Header.Set("Authorization", "Bearer "+demoKey)
		rq.Header.Set("Idempotency-Key", "order-1")
		rs, err := http.DefaultClient.Do(rq)
		if err != nil {
			return err
		}
		_ = rs.Body.Close()
		if rs.StatusCode != http.StatusCreated {
			return fmt.Errorf("order at %s: status %d", d.entries[i].Name, rs.StatusCode)
		}
	}
	if n := len(d.service.Orders()); n != 1 {
		return fmt.Errorf("the service ran the order %d times, want 1", n)
	}
	d.printf("placed one order at two entry processes under one key, it ran once")
	return nil
}

func (d *demo) checkEngineFailure(ctx context.Context) error {
	content := "a long diagnosis, words=300"
	text, err := d.streamAnswer(ctx, 2, content, func(n int) {
		if n == 50 {
			d.engines[d.busierEngine("engine-1")].SetFaults(fakes.EngineFaults{Dead: true})
		}
	})
	if err != nil {
		return err
	}
	return d.checkAnswer("killed a stage in mid-answer, the answer finished with all", text, content)
}

// busierEngine returns the one of the two engines of a layer range that has
// computed more positions.
func (d *demo) busierEngine(prefix string) string {
	if d.engines[prefix+"-a"].ComputedPositions() >= d.engines[prefix+"-b"].ComputedPositions() {
		return prefix + "-a"
	}
	return prefix + "-b"
}

// streamAnswer requests a streamed answer from an entry process, given by its
// index, and calls onToken with the number of tokens received so far.
func (d *demo) streamAnswer(ctx context.Context, process int, content string, onToken func(int)) (string, error) {
	body, err := json.Marshal(map[string]any{"model": "assistant", "stream": true, "messages": []map[string]string{{"role": "user", "content": content}}})
	if err != nil {
		return "", err
	}
	rq, err := http.NewRequestWithContext(ctx, "POST", "http://"+d.entries[process].Listen.Callers+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	rq.Header.Set("Authorization", "Bearer "+demoKey)
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return "", err
	}
	defer rs.Body.Close()
	return readCompletionStream(rs.Body, onToken)
}
