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

// Credentials of the demo.
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
				d.help()
				<-ctx.Done()
				return nil
			}
			return d.tour(ctx)
		},
	}
	c.Flags().BoolVar(&stay, "stay", false, "leave the system running and print what to try")
	return c
}

// demo is a whole system in one process.
type demo struct {
	out      io.Writer
	platform *fakes.Platform
	certs    *fakes.Authority
	engines  map[string]*fakes.Engine
	service  *fakes.Service
	servers  []*http.Server
	nodes    []node.Settings
	apps     []*fx.App
}

// domains are the failure domains of the demo.
var domains = []string{"thamel", "patan", "bhaktapur"}

func (d *demo) say(format string, args ...any) {
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

func (d *demo) start(ctx context.Context) error {
	platform, err := d.serve(d.platform.Handler())
	if err != nil {
		return err
	}
	if d.certs, err = fakes.NewAuthority(); err != nil {
		return err
	}
	if err := d.startServers(); err != nil {
		return err
	}
	for i, domain := range domains {
		if err := d.startNode(ctx, i, domain, platform); err != nil {
			return err
		}
	}
	if err := d.publish(); err != nil {
		return err
	}
	return d.waitReady(ctx)
}

// startServers starts two engines for each of three layer ranges and one
// plain service.
func (d *demo) startServers() error {
	for r := range 3 {
		for copied := range 2 {
			name := fmt.Sprintf("engine-%d-%c", r, 'a'+copied)
			e, _, h := fakes.NewManagedEngine(
				fakes.EngineConfig{Kind: "a", Model: "lights", Version: "1", First: r * 8, Last: r*8 + 8, Pace: 3 * time.Millisecond},
				fakes.PartManagerConfig{Memory: 8000, Fenced: true, Weights: d.platform.Weights(), FirstPartSize: 8 * 400},
			)
			address, err := d.serve(h)
			if err != nil {
				return err
			}
			d.engines[name] = e
			d.platform.SetVM(plat.VM{Name: name, Address: address, Domain: domains[(r+copied)%3], Service: "assistant"})
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

func (d *demo) startNode(ctx context.Context, i int, domain, platform string) error {
	s := node.Settings{
		Name: fmt.Sprintf("entry-%d", i+1), Domain: domain, Region: "bagmati", Token: spec.HashKey(demoToken),
		Platform: node.PlatformSettings{Address: platform},
	}
	certificate, key, err := d.certs.Issue(s.Name)
	if err != nil {
		return err
	}
	s.Peer.Authority, s.Peer.Certificate, s.Peer.Key = string(d.certs.PEM()), string(certificate), string(key)
	for _, a := range []*string{&s.Listen.Callers, &s.Listen.Admin, &s.Peer.Listen} {
		free, err := fakes.FreeAddress()
		if err != nil {
			return err
		}
		*a = free
	}
	app := node.New(s, io.Discard)
	if err := app.Start(ctx); err != nil {
		return err
	}
	d.nodes, d.apps = append(d.nodes, s), append(d.apps, app)
	return nil
}

func (d *demo) publish() error {
	docs, err := examples.Documents()
	if err != nil {
		return err
	}
	var files []change.File
	for _, doc := range docs {
		files = append(files, change.File{Path: doc.Path(), Text: string(doc.Text())})
	}
	a := api{address: d.nodes[0].Listen.Admin, token: demoToken}
	var res change.Result
	if err := a.call("POST", "/publish", admin.Publication{Author: "demo", Files: files}, &res); err != nil {
		return err
	}
	d.say("published %d documents, accepted as version %d", len(res.Changes), res.Version)
	return nil
}

// waitReady waits until every node serves the published version and knows
// every backend server.
func (d *demo) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(10 * time.Second)
	for _, n := range d.nodes {
		a := api{address: n.Listen.Admin, token: demoToken}
		for !nodeReady(a) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("%s was not ready within 10s", n.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.say("3 entry processes in %s are ready", strings.Join(domains, ", "))
	for _, n := range d.nodes {
		for !knowsAll(n.Listen.Callers) {
			if time.Now().After(deadline) || ctx.Err() != nil {
				return fmt.Errorf("%s did not list 3 addresses within 10s", n.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.say("each of them lists the addresses of all 3")
	return nil
}

// knowsAll tells whether a node lists all nodes to callers.
func knowsAll(address string) bool {
	rs, err := http.Get("http://" + address + "/addresses")
	if err != nil {
		return false
	}
	defer rs.Body.Close()
	var l entry.Addresses
	return json.NewDecoder(rs.Body).Decode(&l) == nil && len(l.Addresses) == len(domains)
}

func nodeReady(a api) bool {
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

func (d *demo) help() {
	for _, n := range d.nodes {
		d.say("%s in %s: callers http://%s, operators http://%s", n.Name, n.Domain, n.Listen.Callers, n.Listen.Admin)
	}
	d.say("API key %s, operator's credential %s", demoKey, demoToken)
	n := d.nodes[0]
	d.say("try: curl -s http://%s/addresses", n.Listen.Callers)
	d.say(`try: curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"assistant","stream":true,"messages":[{"role":"user","content":"the tube flickers"}]}'`, n.Listen.Callers, demoKey)
	d.say(`try: curl -s http://%s/services/desk/orders -H 'Authorization: Bearer %s' -H 'Idempotency-Key: 1' -d 'refill'`, n.Listen.Callers, demoKey)
	d.say("try: cranberrybay status --address %s --token %s", n.Listen.Admin, demoToken)
}

// tour shows an answer, an order under a key used twice, and a stage that
// fails in mid-answer.
func (d *demo) tour(ctx context.Context) error {
	if err := d.tourAnswer(ctx); err != nil {
		return err
	}
	if err := d.tourOrder(ctx); err != nil {
		return err
	}
	return d.tourFailure(ctx)
}

func (d *demo) tourAnswer(ctx context.Context) error {
	text, err := d.ask(ctx, 0, "the tube flickers", func(int) {})
	if err != nil {
		return err
	}
	return d.compare("streamed an answer", text, "the tube flickers")
}

// compare checks an answer against the one that the model gives.
func (d *demo) compare(what, text, content string) error {
	want := fakes.ExpectedAnswer("lights", "user: "+content+"\n", 24, 16384)
	if text != want {
		return fmt.Errorf("%s: got %d bytes, want %d", what, len(text), len(want))
	}
	d.say("%s of %d tokens, whole", what, len(strings.Fields(text)))
	return nil
}

func (d *demo) tourOrder(ctx context.Context) error {
	for i := range 2 {
		rq, err := http.NewRequestWithContext(ctx, "POST", "http://"+d.nodes[i].Listen.Callers+"/services/desk/orders", strings.NewReader("refill for the hotel"))
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
			return fmt.Errorf("order at %s: status %d", d.nodes[i].Name, rs.StatusCode)
		}
	}
	if n := len(d.service.Orders()); n != 1 {
		return fmt.Errorf("the order ran %d times, want 1", n)
	}
	d.say("placed one order at two entry processes under one key, it ran once")
	return nil
}

func (d *demo) tourFailure(ctx context.Context) error {
	content := "a long diagnosis, words=300"
	text, err := d.ask(ctx, 2, content, func(n int) {
		if n == 50 {
			d.engines[d.busiest("engine-1")].SetFaults(fakes.EngineFaults{Dead: true})
		}
	})
	if err != nil {
		return err
	}
	return d.compare("killed a stage in mid-answer, the answer finished with all", text, content)
}

// busiest returns the engine of a range that runs requests.
func (d *demo) busiest(prefix string) string {
	if d.engines[prefix+"-a"].ComputedPositions() >= d.engines[prefix+"-b"].ComputedPositions() {
		return prefix + "-a"
	}
	return prefix + "-b"
}

// ask streams an answer from a node and calls each with the number of tokens
// received so far.
func (d *demo) ask(ctx context.Context, n int, content string, each func(int)) (string, error) {
	body, err := json.Marshal(map[string]any{"model": "assistant", "stream": true, "messages": []map[string]string{{"role": "user", "content": content}}})
	if err != nil {
		return "", err
	}
	rq, err := http.NewRequestWithContext(ctx, "POST", "http://"+d.nodes[n].Listen.Callers+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	rq.Header.Set("Authorization", "Bearer "+demoKey)
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return "", err
	}
	defer rs.Body.Close()
	return readEvents(rs.Body, each)
}
