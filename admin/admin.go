// Package admin is the HTTP listener for operators: publish, status, audit and
// drain. It has its own credentials.
package admin

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/spec"
	"github.com/cranberrybay/cranberrybay/table"
)

// Publication is the body of POST /publish.
type Publication struct {
	Author string        `json:"author"`
	Dry    bool          `json:"dry"`
	Files  []change.File `json:"files"`
}

// Status is the answer to GET /status.
type Status struct {
	Name    string        `json:"name"`
	Domain  string        `json:"domain"`
	Version uint64        `json:"version"` // configuration in force
	Checked time.Time     `json:"checked"` // last time the table confirmed the version
	Servers []fleet.State `json:"servers"`
}

// Config holds the parts of a Handler.
type Config struct {
	Name   string
	Domain string
	Token  string // hash of the operators' credential, as made by spec.HashKey
	Store  *change.Store
	Table  *table.Client
	Fleet  *fleet.Table
	Drain  func()
	// Metrics writes the metrics of the process; nil for none.
	Metrics func(io.Writer)
	Log     zerolog.Logger
}

// Handler serves operators.
type Handler struct {
	cfg    Config
	engine *gin.Engine
}

// New returns a handler.
func New(cfg Config) *Handler {
	gin.SetMode(gin.ReleaseMode)
	h := &Handler{cfg: cfg, engine: gin.New()}
	h.engine.Use(gin.Recovery(), h.operator)
	h.engine.POST("/publish", h.publish)
	h.engine.GET("/status", h.status)
	h.engine.GET("/audit", h.audit)
	if cfg.Metrics != nil {
		h.engine.GET("/metrics", func(c *gin.Context) { cfg.Metrics(c.Writer) })
	}
	h.engine.POST("/drain", func(c *gin.Context) { cfg.Drain(); c.JSON(http.StatusAccepted, gin.H{}) })
	return h
}

// Server returns the HTTP server of the handler.
func (h *Handler) Server() *http.Server {
	return &http.Server{Handler: h.engine, ReadHeaderTimeout: 5 * time.Second}
}

func (h *Handler) operator(c *gin.Context) {
	token, ok := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
	if !ok || spec.HashKey(token) != h.cfg.Token {
		c.AbortWithStatusJSON(http.StatusUnauthorized, gin.H{"detail": "the operator's credential is missing or wrong", "verdict": fault.NotRun.String()})
	}
}

func (h *Handler) publish(c *gin.Context) {
	var p Publication
	if err := c.ShouldBindJSON(&p); err != nil {
		fail(c, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: err.Error()}))
		return
	}
	res, err := change.Publish(c.Request.Context(), h.cfg.Table, p.Author, p.Files)
	if err != nil {
		fail(c, err)
		return
	}
	if err := h.cfg.Store.Refresh(c.Request.Context()); err != nil {
		h.cfg.Log.Warn().Err(err).Msg("refresh after publishing failed")
	}
	c.JSON(http.StatusOK, res)
}

func (h *Handler) status(c *gin.Context) {
	c.JSON(http.StatusOK, Status{
		Name: h.cfg.Name, Domain: h.cfg.Domain, Version: h.cfg.Store.Version(),
		Checked: h.cfg.Store.Checked(), Servers: h.cfg.Fleet.All(),
	})
}

func (h *Handler) audit(c *gin.Context) {
	rows, err := h.cfg.Table.ScanAll(c.Request.Context(), "audit/")
	if err != nil {
		fail(c, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "table service does not answer", Cause: err}))
		return
	}
	out := []string{}
	for _, r := range rows {
		out = append(out, string(r.Value()))
	}
	c.Data(http.StatusOK, "application/json", []byte("["+strings.Join(out, ",")+"]"))
}

func fail(c *gin.Context, err error) {
	code := http.StatusInternalServerError
	detail := err.Error()
	var e *fault.Error
	if errors.As(err, &e) {
		detail = e.Reason()
		switch e.Code() {
		case fault.Invalid:
			code = http.StatusBadRequest
		case fault.Conflict:
			code = http.StatusConflict
		case fault.Unavailable:
			code = http.StatusServiceUnavailable
		}
	}
	c.AbortWithStatusJSON(code, gin.H{"detail": detail, "verdict": fault.Of(err).String()})
}
