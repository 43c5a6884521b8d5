// Package admin implements the HTTP administration API of an entry process:
// publish documents, read and change single documents, show the status and the
// audit trail, wait for a version, and drain the process. Its credentials are
// those of the root operator and of teams, not the API keys of client accounts.
package admin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/table"
)

// Publication is the body of POST /publish. Its fields are those of
// change.Request with the same names.
type Publication struct {
	ID     string        `json:"id,omitempty"`
	Author string        `json:"author"`
	Source string        `json:"source,omitempty"`
	Base   uint64        `json:"base"`
	Adopt  bool          `json:"adopt,omitempty"`
	Dry    bool          `json:"dry,omitempty"`
	Files  []change.File `json:"files"`
}

// LiveProcess is a live entry process with the version that it has in effect.
type LiveProcess struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// Status is the answer to GET /status.
type Status struct {
	Name    string               `json:"name"`
	Domain  string               `json:"domain"`
	Version uint64               `json:"version"` // configuration in effect
	Checked time.Time            `json:"checked"` // last time when the version was confirmed to be the newest
	Health  change.VersionStatus `json:"health"`
	Time    time.Time            `json:"time"` // of the answer; the age of a report is relative to it
	Live    []LiveProcess        `json:"live"`
	Servers []fleet.State        `json:"servers"`
}

// Config holds the settings and dependencies of a Handler.
type Config struct {
	Name               string
	Domain             string
	RootCredentialHash string // hash of the root operator's credential, as made by spec.HashKey
	Store              *change.Store
	Table              *table.Client
	Fleet              *fleet.Table
	Drain              func()
	// Metrics writes the metrics that are not in the global set; nil for none.
	Metrics func(io.Writer)
	Log     zerolog.Logger
	// Live returns the live entry processes and their versions. If it is nil,
	// only this process is listed.
	Live func() []LiveProcess
	// Engines returns the memory of the known engines, against which placement
	// wishes are checked. If it is nil, they are not checked.
	Engines func() []spec.EngineCapacity
}

// Handler serves the administration API.
type Handler struct {
	cfg       Config
	engine    *gin.Engine
	publisher *change.Publisher
}

// maxBodyBytes bounds a request body. A publication of 10,000 accounts has about
// 3 MB.
const maxBodyBytes = 32 << 20

const (
	// maxHeaderBytes bounds a request's header. A credential has under 100 bytes.
	maxHeaderBytes = 16 << 10
	// idleTimeout bounds how long a connection waits for a further request.
	idleTimeout = time.Minute
)

// New returns a handler with all routes.
func New(cfg Config) *Handler {
	gin.SetMode(gin.ReleaseMode)
	h := &Handler{cfg: cfg, engine: gin.New(), publisher: change.NewPublisher(change.PublisherConfig{
		Store: cfg.Store, Table: cfg.Table, Node: cfg.Name, Engines: cfg.Engines, Log: cfg.Log,
	})}
	h.engine.Use(gin.Recovery(), h.authenticate, func(c *gin.Context) {
		c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxBodyBytes)
	})
	h.engine.GET("/status", h.status)
	h.engine.GET("/audit", h.audit)
	h.engine.GET("/wait", h.wait)
	h.engine.GET("/metrics", func(c *gin.Context) {
		metrics.WritePrometheus(c.Writer, true)
		if cfg.Metrics != nil {
			cfg.Metrics(c.Writer)
		}
	})
	op := h.engine.Group("/", h.requireOperator)
	op.POST("/publish", h.publish)
	op.POST("/drain", func(c *gin.Context) {
		cfg.Log.Info().Str("author", callerOf(c).auditName("")).Msg("drain ordered")
		cfg.Drain()
		c.JSON(http.StatusAccepted, gin.H{})
	})
	for path, kind := range map[string]spec.Kind{"services": spec.KindService, "accounts": spec.KindAccount, "wishes": spec.KindWish, "teams": spec.KindTeam} {
		h.engine.GET("/"+path, h.listDocuments(kind))
		h.engine.GET("/"+path+"/:name", h.showDocument(kind))
		op.PUT("/"+path+"/:name", h.putDocument(kind))
		op.DELETE("/"+path+"/:name", h.removeDocument(kind))
	}
	return h
}

// Server returns the HTTP server of the handler.
func (h *Handler) Server() *http.Server {
	return &http.Server{Handler: h.engine, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func (h *Handler) publish(c *gin.Context) {
	var p Publication
	if err := c.ShouldBindJSON(&p); err != nil {
		fail(c, invalid("%v", err))
		return
	}
	h.publishAs(c, p.Author, change.Request{ID: p.ID, Source: p.Source, Base: p.Base, Adopt: p.Adopt, DryRun: p.Dry, Files: p.Files})
}

// publishAs publishes on behalf of the caller and sends the result.
func (h *Handler) publishAs(c *gin.Context, author string, rq change.Request) {
	cl := callerOf(c)
	rq.Author, rq.Allow = cl.auditName(author), cl.mayChange
	res, err := h.publisher.Publish(c.Request.Context(), rq)
	if err != nil {
		fail(c, err)
		return
	}
	c.JSON(http.StatusOK, res)
}

// liveProcesses returns the live entry processes, or only this one.
func (h *Handler) liveProcesses() []LiveProcess {
	if h.cfg.Live != nil {
		return h.cfg.Live()
	}
	return []LiveProcess{{Name: h.cfg.Name, Version: h.cfg.Store.Version()}}
}

// status answers GET /status with the configuration version of this process, the
// live entry processes and the backend servers. Checked and Health.ConfirmedAt are
// the same time.
func (h *Handler) status(c *gin.Context) {
	health := h.cfg.Store.VersionStatus()
	c.JSON(http.StatusOK, Status{
		Name: h.cfg.Name, Domain: h.cfg.Domain, Version: health.Version, Checked: health.ConfirmedAt,
		Health: health, Time: time.Now(), Live: h.liveProcesses(), Servers: h.cfg.Fleet.All(),
	})
}

// WaitResult is the answer to GET /wait. The version is in effect everywhere
// when Lagging is empty.
type WaitResult struct {
	Version uint64        `json:"version"`
	Live    int           `json:"live"`
	Lagging []LiveProcess `json:"lagging"` // live processes with an older version
}

// maxWait bounds the duration of one GET /wait. Clients repeat the call.
const maxWait = 10 * time.Second

// wait answers as soon as every live process has the requested version in
// effect, at the latest after the requested duration.
func (h *Handler) wait(c *gin.Context) {
	version, err := strconv.ParseUint(c.Query("version"), 10, 64)
	if err != nil {
		fail(c, invalid("version %q, want a number", c.Query("version")))
		return
	}
	d, err := time.ParseDuration(c.DefaultQuery("for", maxWait.String()))
	if err != nil || d < 0 {
		fail(c, invalid("for %q, want a duration such as 5s", c.Query("for")))
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), min(d, maxWait))
	defer cancel()
	for {
		l := newWaitResult(version, h.liveProcesses())
		if len(l.Lagging) == 0 || ctx.Err() != nil {
			c.JSON(http.StatusOK, l)
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// newWaitResult selects the processes with an older version.
func newWaitResult(version uint64, live []LiveProcess) WaitResult {
	l := WaitResult{Version: version, Live: len(live), Lagging: []LiveProcess{}}
	for _, p := range live {
		if p.Version < version {
			l.Lagging = append(l.Lagging, p)
		}
	}
	return l
}

func (h *Handler) audit(c *gin.Context) {
	f := change.AuditFilter{Name: c.Query("name"), Author: c.Query("author"), ID: c.Query("id"), After: c.Query("after")}
	var err error
	if f.Limit, err = pageSize(c); err != nil {
		fail(c, err)
		return
	}
	for key, at := range map[string]*time.Time{"since": &f.Since, "until": &f.Until} {
		if v := c.Query(key); v != "" {
			if *at, err = time.Parse(time.RFC3339, v); err != nil {
				fail(c, invalid("%s %q, want a time such as 2026-01-02T15:04:05Z", key, v))
				return
			}
		}
	}
	h.publisher.Flush(c.Request.Context())
	page, err := change.ReadAudit(c.Request.Context(), h.cfg.Table, f)
	if err != nil {
		fail(c, err)
		return
	}
	c.JSON(http.StatusOK, page)
}

// Number of entries on a page of a list.
const (
	defaultPageSize = 100
	maxPageSize     = 1000
)

// pageSize returns the parameter limit of a request.
func pageSize(c *gin.Context) (int, error) {
	n, err := strconv.Atoi(c.DefaultQuery("limit", strconv.Itoa(defaultPageSize)))
	if err != nil || n < 1 || n > maxPageSize {
		return 0, invalid("limit %q, want 1 to %d", c.Query("limit"), maxPageSize)
	}
	return n, nil
}

// notPublished returns the error for a document that does not exist.
func notPublished(kind spec.Kind, name string) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.NotFound, Reason: string(kind) + " " + strconv.Quote(name) + " is not published"})
}
