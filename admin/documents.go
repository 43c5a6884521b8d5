package admin

import (
	"io"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/spec"
)

// Document is a published document in an answer, with its origin.
type Document struct {
	change.StoredDocument
	Name string `json:"name"`
	Team string `json:"team,omitempty"`
}

// Documents is one page of documents, ordered by name.
type Documents struct {
	Version   uint64     `json:"version"` // of the tree; the value of the parameter base of a change
	Documents []Document `json:"documents"`
	Next      string     `json:"next,omitempty"` // value of the parameter after for the next page; empty on the last one
}

// listDocuments returns a handler that sends one page of the documents of a
// kind, without their text.
func (h *Handler) listDocuments(kind spec.Kind) gin.HandlerFunc {
	return func(c *gin.Context) {
		limit, err := pageSize(c)
		if err != nil {
			fail(c, err)
			return
		}
		out := Documents{Version: h.cfg.Store.Version(), Documents: []Document{}}
		for _, d := range h.cfg.Store.Tree().Documents() {
			if d.Kind() != kind || d.Name() <= c.Query("after") || c.Query("team") != "" && d.Team() != c.Query("team") {
				continue
			}
			if len(out.Documents) == limit {
				out.Next = out.Documents[limit-1].Name
				break
			}
			out.Documents = append(out.Documents, h.describe(d))
		}
		c.JSON(http.StatusOK, out)
	}
}

func (h *Handler) describe(d *spec.Document) Document {
	o, _ := h.cfg.Store.LastChange(d.ID())
	return Document{StoredDocument: o, Name: d.Name(), Team: d.Team()}
}

// showDocument returns a handler that sends one document with its text. Hashes
// are masked for callers who may not change the document.
func (h *Handler) showDocument(kind spec.Kind) gin.HandlerFunc {
	return func(c *gin.Context) {
		t := h.cfg.Store.Tree()
		d := t.Document(string(kind) + "/" + c.Param("name"))
		if d == nil {
			fail(c, notPublished(kind, c.Param("name")))
			return
		}
		out := h.describe(d)
		if out.Text = string(d.Text()); callerOf(c).mayChange(t, d, d) != nil {
			out.Text = spec.MaskHashes(out.Text)
		}
		c.JSON(http.StatusOK, out)
	}
}

// requestFromQuery returns the request for a publication of one document, with
// the parameters of the query.
func requestFromQuery(c *gin.Context) (change.Request, error) {
	rq := change.Request{Source: c.Query("source"), Partial: true}
	var err error
	if rq.Base, err = strconv.ParseUint(c.DefaultQuery("base", "0"), 10, 64); err != nil {
		return rq, invalid("base %q, want the version of the tree that you saw", c.Query("base"))
	}
	for key, into := range map[string]*bool{"dry": &rq.DryRun, "adopt": &rq.Adopt} {
		if *into, err = strconv.ParseBool(c.DefaultQuery(key, "false")); err != nil {
			return rq, invalid("%s %q, want true or false", key, c.Query(key))
		}
	}
	return rq, nil
}

// putDocument returns a handler that publishes the document in the body.
func (h *Handler) putDocument(kind spec.Kind) gin.HandlerFunc {
	return func(c *gin.Context) {
		rq, err := requestFromQuery(c)
		if err != nil {
			fail(c, err)
			return
		}
		text, err := io.ReadAll(c.Request.Body)
		if err != nil {
			fail(c, invalid("read body: %v", err))
			return
		}
		path := string(kind) + "-" + c.Param("name") + spec.Suffix
		if d, err := spec.Parse(path, text); err == nil && (d.Kind() != kind || d.Name() != c.Param("name")) {
			fail(c, invalid("the body is %s, want %s/%s", d.ID(), kind, c.Param("name")))
			return
		}
		rq.Files = []change.File{{Path: path, Text: string(text)}}
		h.publishAs(c, c.Query("author"), rq)
	}
}

// removeDocument returns a handler that publishes the removal of a document.
func (h *Handler) removeDocument(kind spec.Kind) gin.HandlerFunc {
	return func(c *gin.Context) {
		rq, err := requestFromQuery(c)
		if err != nil {
			fail(c, err)
			return
		}
		id := string(kind) + "/" + c.Param("name")
		if _, known := h.cfg.Store.LastChange(id); !known {
			fail(c, notPublished(kind, c.Param("name")))
			return
		}
		rq.Remove = []string{id}
		h.publishAs(c, c.Query("author"), rq)
	}
}
