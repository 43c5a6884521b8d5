package cmds

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/cranberrybay/cranberrybay/admin"
	"github.com/cranberrybay/cranberrybay/fault"
)

// api calls the administration API of an entry process.
type api struct {
	address string
	token   string
	json    bool
}

const tokenVariable = "CRANBERRYBAY_TOKEN"

func (a *api) flags(c *cobra.Command) {
	c.Flags().StringVar(&a.address, "address", "127.0.0.1:8081", "administration address of any entry process")
	c.Flags().StringVar(&a.token, "token", os.Getenv(tokenVariable), "operator's credential (default $"+tokenVariable+")")
	c.Flags().BoolVar(&a.json, "json", false, "print JSON")
}

// call does one exchange. Its error carries whether the call may have run.
func (a *api) call(method, path string, body, into any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	rq, err := http.NewRequest(method, "http://"+a.address+path, bytes.NewReader(b))
	if err != nil {
		return usageError{err}
	}
	rq.Header.Set("Authorization", "Bearer "+a.token)
	rq.Header.Set("Content-Type", "application/json")
	hc := &http.Client{Timeout: 30 * time.Second}
	rs, err := hc.Do(rq)
	if err != nil {
		cfg := fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "no answer from " + a.address, Cause: err}
		var oe *net.OpError
		if errors.As(err, &oe) && oe.Op == "dial" {
			cfg.Verdict = fault.NotRun
		}
		return fault.New(cfg)
	}
	defer rs.Body.Close()
	text, err := io.ReadAll(rs.Body)
	if err != nil {
		return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "the answer was cut off", Cause: err})
	}
	if rs.StatusCode >= 300 {
		return refusal(rs.StatusCode, text)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// refusal turns an error answer into an error with its verdict.
func refusal(status int, text []byte) error {
	var p struct {
		Detail  string `json:"detail"`
		Verdict string `json:"verdict"`
	}
	cfg := fault.Config{Verdict: fault.MayHaveRun, Code: fault.Internal, Reason: fmt.Sprintf("status %d", status)}
	if json.Unmarshal(text, &p) == nil && p.Detail != "" {
		cfg.Reason = p.Detail
		if p.Verdict == fault.NotRun.String() {
			cfg.Verdict = fault.NotRun
		}
	}
	return fault.New(cfg)
}

// print writes v as JSON or as text for people.
func (a *api) print(c *cobra.Command, v any, text func() string) error {
	if a.json {
		return json.NewEncoder(c.OutOrStdout()).Encode(v)
	}
	_, err := io.WriteString(c.OutOrStdout(), text())
	return err
}

func newStatus() *cobra.Command {
	var a api
	c := &cobra.Command{
		Use:   "status",
		Short: "Show the version in force and the backend servers",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var s admin.Status
			if err := a.call("GET", "/status", nil, &s); err != nil {
				return err
			}
			return a.print(c, s, func() string {
				var b strings.Builder
				fmt.Fprintf(&b, "%s in %s: version %d, confirmed %s\n", s.Name, s.Domain, s.Version, s.Checked.Format(time.RFC3339))
				for _, sv := range s.Servers {
					fmt.Fprintf(&b, "  %-16s %-12s %-14s layers %d-%d running %d waiting %d ready %t leaving %t\n", sv.Name, sv.Domain, sv.Service, sv.First, sv.Last, sv.Running, sv.Waiting, sv.Ready, sv.Leaving)
				}
				return b.String()
			})
		},
	}
	a.flags(c)
	return c
}

func newAudit() *cobra.Command {
	var a api
	c := &cobra.Command{
		Use:   "audit",
		Short: "Show who changed what and when",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var entries []json.RawMessage
			if err := a.call("GET", "/audit", nil, &entries); err != nil {
				return err
			}
			return a.print(c, entries, func() string {
				var b strings.Builder
				for _, e := range entries {
					fmt.Fprintf(&b, "%s\n", e)
				}
				return b.String()
			})
		},
	}
	a.flags(c)
	return c
}

func newDrain() *cobra.Command {
	var a api
	c := &cobra.Command{
		Use:   "drain",
		Short: "Make an entry process refuse new requests and finish those in flight",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var r struct{}
			if err := a.call("POST", "/drain", nil, &r); err != nil {
				return err
			}
			return a.print(c, r, func() string { return "draining\n" })
		},
	}
	a.flags(c)
	return c
}
