package cmds

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/cranberrybay/cranberrybay/admin"
	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
)

// apiClient calls the administration API of an entry process and prints the
// answers.
type apiClient struct {
	address string
	token   string
	json    bool
}

// tokenVariable is the environment variable that sets the default of --token.
const tokenVariable = "CRANBERRYBAY_TOKEN"

func (a *apiClient) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&a.address, "address", "127.0.0.1:8081", "administration address of any entry process")
	c.Flags().StringVar(&a.token, "token", os.Getenv(tokenVariable), "operator's credential (default $"+tokenVariable+")")
	c.Flags().BoolVar(&a.json, "json", false, "print JSON")
}

// call sends body as JSON and decodes the answer into the value that into
// points to. A failed exchange returns a fault.Error whose verdict says whether
// the call may have run.
func (a *apiClient) call(method, path string, body, into any) error {
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
		return responseError(rs.StatusCode, text)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

// responseError converts a problem document into a fault.Error. Without the
// verdict not-run in the answer, the call may have run.
func responseError(status int, text []byte) error {
	var p struct {
		Detail  string `json:"detail"`
		Title   string `json:"title"`
		Verdict string `json:"verdict"`
	}
	cfg := fault.Config{Verdict: fault.MayHaveRun, Code: fault.Internal, Reason: fmt.Sprintf("status %d", status)}
	if json.Unmarshal(text, &p) == nil && p.Detail != "" {
		cfg.Reason = p.Detail
		if p.Title != "" {
			cfg.Code = fault.Code(p.Title)
		}
		if p.Verdict == fault.NotRun.String() {
			cfg.Verdict = fault.NotRun
		}
	}
	return fault.New(cfg)
}

// print writes v as JSON with --json, else the human-readable text.
func (a *apiClient) print(c *cobra.Command, v any, text func() string) error {
	if a.json {
		return json.NewEncoder(c.OutOrStdout()).Encode(v)
	}
	_, err := io.WriteString(c.OutOrStdout(), text())
	return err
}

func newStatus() *cobra.Command {
	var a apiClient
	c := &cobra.Command{
		Use:   "status",
		Short: "Show the version in effect and the backend servers",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var s admin.Status
			if err := a.call("GET", "/status", nil, &s); err != nil {
				return err
			}
			return a.print(c, s, func() string {
				var b strings.Builder
				fmt.Fprintf(&b, "%s in %s: version %d, confirmed %s\n", s.Name, s.Domain, s.Version, s.Checked.Format(time.RFC3339))
				switch {
				case s.Health.Known > s.Version:
					fmt.Fprintf(&b, "  behind: version %d is known\n", s.Health.Known)
				case s.Health.Behind:
					b.WriteString("  may be behind: neither the table service nor a peer has confirmed the version lately\n")
				}
				for _, l := range s.Live {
					fmt.Fprintf(&b, "  %-16s version %d\n", l.Name, l.Version)
				}
				for _, sv := range s.Servers {
					fmt.Fprintf(&b, "  %-16s %-12s %-14s layers %d-%d running %d waiting %d ready %t leaving %t%s\n", sv.Name, sv.Domain, sv.Service, sv.First, sv.Last, sv.Running, sv.Waiting, sv.Ready, sv.Leaving, reportAge(sv, s.Time))
				}
				return b.String()
			})
		},
	}
	a.addFlags(c)
	return c
}

// staleReportAge is the age above which status prints the age of the last load
// report. Each server is polled at least every 6 s.
const staleReportAge = 7 * time.Second

// reportAge returns a note when the last load report of a server is missing or
// stale, else "". The other fields of the line are those of that report.
func reportAge(sv fleet.State, now time.Time) string {
	switch age := now.Sub(sv.Reported); {
	case sv.Reported.IsZero():
		return ", no report yet"
	case age > staleReportAge:
		return fmt.Sprintf(", no report for %s", age.Round(time.Second))
	}
	return ""
}

// auditFlags holds the flags that filter the audit trail.
type auditFlags struct {
	name, author, id, since, until, after string
	limit                                 int
}

func newAudit() *cobra.Command {
	var a apiClient
	var f auditFlags
	c := &cobra.Command{
		Use:   "audit",
		Short: "Show who changed what and when, newest first",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			q, err := f.query(time.Now())
			if err != nil {
				return usageError{err}
			}
			var page change.AuditPage
			if err := a.call("GET", "/audit?"+q, nil, &page); err != nil {
				return err
			}
			return a.print(c, page, func() string { return formatAuditPage(page) })
		},
	}
	a.addFlags(c)
	c.Flags().StringVar(&f.name, "name", "", "only changes of this document, as NAME or KIND/NAME")
	c.Flags().StringVar(&f.author, "author", "", "only changes by this operator, as NAME or NAME@TEAM")
	c.Flags().StringVar(&f.id, "id", "", "only this publication")
	c.Flags().StringVar(&f.since, "since", "", "not before this time (RFC 3339), or this long ago (such as 2h)")
	c.Flags().StringVar(&f.until, "until", "", "before this time (RFC 3339), or this long ago")
	c.Flags().StringVar(&f.after, "after", "", "continue after the page that ended with this value")
	c.Flags().IntVar(&f.limit, "limit", 50, "entries on a page")
	return c
}

// query returns the query string of GET /audit. Durations are converted to
// times relative to now.
func (f auditFlags) query(now time.Time) (string, error) {
	q := url.Values{"limit": {strconv.Itoa(f.limit)}}
	for key, v := range map[string]string{"name": f.name, "author": f.author, "id": f.id, "after": f.after} {
		if v != "" {
			q.Set(key, v)
		}
	}
	for key, v := range map[string]string{"since": f.since, "until": f.until} {
		if v == "" {
			continue
		}
		if d, err := time.ParseDuration(v); err == nil {
			v = now.Add(-d).UTC().Format(time.RFC3339)
		} else if _, err := time.Parse(time.RFC3339, v); err != nil {
			return "", fmt.Errorf("--%s is %q, want a time (RFC 3339) or a duration", key, v)
		}
		q.Set(key, v)
	}
	return q.Encode(), nil
}

// formatAuditPage returns a page of the audit trail as human-readable text.
func formatAuditPage(page change.AuditPage) string {
	var b strings.Builder
	for _, e := range page.Entries {
		what := "accepted as version"
		if !e.Accepted {
			what = "refused at version"
		}
		fmt.Fprintf(&b, "%s %s %s %d, publication %s through %s\n", e.Time.Format(time.RFC3339), e.Author, what, e.Version, e.ID, e.Node)
		if e.Reason != "" {
			fmt.Fprintf(&b, "  %s: %s\n", e.Code, strings.ReplaceAll(e.Reason, "\n", "\n  "))
		}
		for _, ch := range e.Changes {
			fmt.Fprintf(&b, "  %s\n", strings.TrimSpace(ch.Kind+" "+ch.ID))
			for _, l := range ch.DiffLines() {
				fmt.Fprintf(&b, "    %s\n", l)
			}
		}
	}
	if page.Next != "" {
		fmt.Fprintf(&b, "more: --after %s\n", page.Next)
	}
	return b.String()
}

func newDrain() *cobra.Command {
	var a apiClient
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
	a.addFlags(c)
	return c
}
