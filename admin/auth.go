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

// caller holds the identity and the roles of the credential of a request. The
// root operator may do everything, an operator of a team may change the
// documents of that team, and a reader may only read.
type caller struct {
	hash  string
	root  bool
	teams []spec.TeamRole
}

// callerKey is the key of the caller in a gin.Context.
const callerKey = "caller"

func callerOf(c *gin.Context) *caller { return c.MustGet(callerKey).(*caller) }

// authenticate is the middleware that stores the caller of a request in its
// context and refuses unknown credentials.
func (h *Handler) authenticate(c *gin.Context) {
	token, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	cl := &caller{hash: spec.HashKey(token)}
	cl.root = cl.hash == h.cfg.RootCredentialHash
	cl.teams = h.cfg.Store.Tree().TeamRoles(cl.hash)
	if !ok || !cl.root && len(cl.teams) == 0 {
		fail(c, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unauthorized, Reason: "the operator's credential is missing or wrong"}))
		return
	}
	c.Set(callerKey, cl)
}

// requireOperator is the middleware that refuses readers and records the refusal
// in the audit trail.
func (h *Handler) requireOperator(c *gin.Context) {
	cl := callerOf(c)
	if cl.root || slices.ContainsFunc(cl.teams, func(t spec.TeamRole) bool { return t.Operator }) {
		return
	}
	rq := change.Request{Author: cl.auditName(c.Query("author"))}
	fail(c, h.publisher.Refuse(c.Request.Context(), rq, forbidden("%s %s: this credential may only read", c.Request.Method, c.Request.URL.Path)))
}

func forbidden(format string, args ...any) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Forbidden, Reason: fmt.Sprintf(format, args...)})
}

// auditName returns the author for the audit trail: the name that the caller
// claims, which is not verified, an @, and the teams of the verified credential.
func (cl *caller) auditName(claimed string) string {
	claimed = strings.Map(func(r rune) rune {
		if r < ' ' || r == '@' {
			return '_'
		}
		return r
	}, claimed)
	names := make([]string, 0, len(cl.teams))
	for _, t := range cl.teams {
		names = append(names, t.Team)
	}
	if cl.root {
		names = []string{"root"}
	}
	return claimed[:min(len(claimed), 64)] + "@" + strings.Join(names, "+")
}

// mayChange returns an error unless the caller may replace the document old with
// next; either is nil for an added or a removed document. The roles are those in
// the given tree, so a credential that was revoked before the publication is
// committed is refused.
func (cl *caller) mayChange(t *spec.Tree, old, next *spec.Document) error {
	if cl.root {
		return nil
	}
	for _, d := range []*spec.Document{old, next} {
		switch {
		case d == nil:
		case d.Kind() == spec.KindTeam:
			return fmt.Errorf("%s: only the root operator changes teams", d.ID())
		case !cl.isOperatorOf(t, d):
			return fmt.Errorf("%s belongs to team %q, of which this credential is no operator", d.ID(), d.Team())
		}
	}
	return nil
}

// isOperatorOf reports whether the caller is an operator of the team that owns a
// document, according to the tree, or the root operator.
func (cl *caller) isOperatorOf(t *spec.Tree, d *spec.Document) bool {
	for _, c := range t.TeamRoles(cl.hash) {
		if c.Operator && c.Team == d.Team() {
			return true
		}
	}
	return cl.root
}

func invalid(format string, args ...any) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: fmt.Sprintf(format, args...)})
}

// fail sends an error as a problem document and aborts the request. Operators
// see the text of every error, also of internal ones.
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
