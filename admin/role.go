package admin

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/spec"
)

// caller is who holds the credential of a request. The root operator may do
// everything, an operator of a team may change the documents of that team, and
// a reader may only read.
type caller struct {
	hash  string
	root  bool
	teams []spec.TeamRole
}

const callerKey = "caller"

func callerOf(c *gin.Context) *caller { return c.MustGet(callerKey).(*caller) }

// identify finds out who sent a request and refuses unknown credentials.
func (h *Handler) identify(c *gin.Context) {
	token, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	id := &caller{hash: spec.HashKey(token)}
	id.root = id.hash == h.cfg.RootCredentialHash
	id.teams = h.cfg.Store.Tree().TeamRoles(id.hash)
	if !ok || !id.root && len(id.teams) == 0 {
		fail(c, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unauthorized, Reason: "the operator's credential is missing or wrong"}))
		return
	}
	c.Set(callerKey, id)
}

// operatorOnly refuses readers, and notes that they tried.
func (h *Handler) operatorOnly(c *gin.Context) {
	id := callerOf(c)
	if id.root || slices.ContainsFunc(id.teams, func(t spec.TeamRole) bool { return t.Operator }) {
		return
	}
	rq := change.Request{Author: id.author(c.Query("author"))}
	fail(c, h.publisher.Refuse(c.Request.Context(), rq, forbidden("%s %s: this credential may only read", c.Request.Method, c.Request.URL.Path)))
}

func forbidden(format string, args ...any) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Forbidden, Reason: fmt.Sprintf(format, args...)})
}

// author returns the name for the audit trail: what the caller says, which is
// not proved, and after the @ the teams of the credential, which are.
func (id *caller) author(said string) string {
	said = strings.Map(func(r rune) rune {
		if r < ' ' || r == '@' {
			return '_'
		}
		return r
	}, said)
	names := make([]string, 0, len(id.teams))
	for _, t := range id.teams {
		names = append(names, t.Team)
	}
	if id.root {
		names = []string{"root"}
	}
	return said[:min(len(said), 64)] + "@" + strings.Join(names, "+")
}

// allow tells whether the caller may make a change in a tree. The teams are
// those of that tree, so a credential that was withdrawn before the
// publication is committed no longer counts.
func (id *caller) allow(t *spec.Tree, old, next *spec.Document) error {
	if id.root {
		return nil
	}
	for _, d := range []*spec.Document{old, next} {
		switch {
		case d == nil:
		case d.Kind() == spec.KindTeam:
			return fmt.Errorf("%s: only the root operator changes teams", d.ID())
		case !id.owns(t, d):
			return fmt.Errorf("%s belongs to team %q, of which this credential is no operator", d.ID(), d.Team())
		}
	}
	return nil
}

func (id *caller) owns(t *spec.Tree, d *spec.Document) bool {
	for _, c := range t.TeamRoles(id.hash) {
		if c.Operator && c.Team == d.Team() {
			return true
		}
	}
	return id.root
}

func invalid(format string, args ...any) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: fmt.Sprintf(format, args...)})
}

// fail answers an error as a problem document. Operators see the text of every
// error.
func fail(c *gin.Context, err error) {
	p := fault.ProblemOf(err)
	if e := (*fault.Error)(nil); !errors.As(err, &e) {
		p.Detail = err.Error()
	}
	if s, ok := fault.RetryAfter(err); ok {
		c.Header("Retry-After", strconv.Itoa(s))
	}
	c.Header("Content-Type", "application/problem+json")
	c.AbortWithStatusJSON(p.Status, p)
}
