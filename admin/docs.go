package admin

import (
	"io"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/change"
	"github.com/cranberrybay/cranberrybay/spec"
)

// Document is one document in an answer.
type Document struct {
	change.Doc
	Name string `json:"name"`
	Team string `json:"team,omitempty"`
}

// Documents is one page of documents, ordered by name.
type Documents struct {
	Version   uint64     `json:"version"` // of the tree, to be sent as base of a change
	Documents []Document `json:"documents"`
	Next      string     `json:"next,omitempty"` // the parameter after of the next page
}

// list answers one page of the documents of a kind, without their text.
func (h *Handler) list(kind spec.Kind) gin.HandlerFunc {
	return func(c *gin.Context) {
		limit, err := limitOf(c)
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
			out.Documents = append(out.Documents, h.document(d))
		}
		c.JSON(http.StatusOK, out)
	}
}

func (h *Handler) document(d *spec.Document) Document {
	o, _ := h.cfg.Store.Origin(d.ID())
	return Document{Doc: o, Name: d.Name(), Team: d.Team()}
}

// show answers one document with its text. Hashes are masked for callers who
// may not change the document.
func (h *Handler) show(kind spec.Kind) gin.HandlerFunc {
	return func(c *gin.Context) {
		t := h.cfg.Store.Tree()
		d := t.Document(string(kind) + "/" + c.Param("name"))
		if d == nil {
			fail(c, unknown(kind, c.Param("name")))
			return
		}
		out := h.document(d)
		if out.Text = string(d.Text()); callerOf(c).allow(t, d, d) != nil {
			out.Text = spec.MaskHashes(out.Text)
		}
		c.JSON(http.StatusOK, out)
	}
}

// request returns the publication of one document that the query describes.
func request(c *gin.Context) (change.Request, error) {
	rq := change.Request{Source: c.Query("source"), Partial: true}
	var err error
	if rq.Base, err = strconv.ParseUint(c.DefaultQuery("base", "0"), 10, 64); err != nil {
		return rq, invalid("base %q, want the version of the tree that you saw", c.Query("base"))
	}
	for key, into := range map[string]*bool{"dry": &rq.Dry, "adopt": &rq.Adopt} {
		if *into, err = strconv.ParseBool(c.DefaultQuery(key, "false")); err != nil {
			return rq, invalid("%s %q, want true or false", key, c.Query(key))
		}
	}
	return rq, nil
}

// put publishes the document in the body.
func (h *Handler) put(kind spec.Kind) gin.HandlerFunc {
	return func(c *gin.Context) {
		rq, err := request(c)
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
		h.apply(c, c.Query("author"), rq)
	}
}

// remove publishes the removal of a document.
func (h *Handler) remove(kind spec.Kind) gin.HandlerFunc {
	return func(c *gin.Context) {
		rq, err := request(c)
		if err != nil {
			fail(c, err)
			return
		}
		id := string(kind) + "/" + c.Param("name")
		if _, ever := h.cfg.Store.Origin(id); !ever {
			fail(c, unknown(kind, c.Param("name")))
			return
		}
		rq.Remove = []string{id}
		h.apply(c, c.Query("author"), rq)
	}
}
