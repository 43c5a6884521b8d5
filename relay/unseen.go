package relay

import (
	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/path"
	"github.com/cranberrybay/cranberrybay/server"
	"github.com/cranberrybay/cranberrybay/spread"
)

// loadView returns what this process assumes about the load of the others on the servers of a service, or nil if
// their reports are taken as they are: for services whose accelerators are alike and whose streams don't compete.
func (r *Relay) loadView(s config.Service, all []*server.Server) *spread.View {
	if r.cfg.PeerReport == nil || !(s.Uneven() || s.Competing()) {
		return nil
	}
	var report spread.Report
	report.Age, report.Processes = r.cfg.PeerReport()
	for _, srv := range all {
		streams, _ := r.cfg.PeerLoad(srv.ID())
		report.Own += float64(srv.Inflight())
		report.Others += float64(streams)
	}
	v := r.spread.View(s.Name, clock.Now(), report)
	return &v
}

// unseenLoad returns what the choice adds to the load of a server. streams and tokens are those that the other
// processes reported, and layers is the number of layers that the server holds.
func (ps *pathSearch) unseenLoad(s *server.Server, streams int, tokens int64, layers float64) spread.Load {
	if ps.view == nil {
		return spread.Load{}
	}
	own := spread.Load{Streams: float64(s.Inflight()), Tokens: float64(s.ReservedTokens())}
	streamTokens := (float64(ps.req.PromptTokens) + ps.req.expectedAnswerTokens(ps.req.Service.Engine)) * layers
	return ps.view.Correction(own, spread.Load{Streams: float64(streams), Tokens: float64(tokens)}, streamTokens)
}

// recordBegin records that this process begins a stream.
func (ps *pathSearch) recordBegin() {
	if ps.view != nil {
		ps.relay.spread.Begin(ps.req.Service.Name, clock.Now())
	}
}

// staysLocal reports whether a path within one failure domain is searched first. Corrected loads differ by more than
// the transfers between failure domains cost: in the simulation of package spread, random additions sent a tenth of the
// paths across them with reports of 0.5 s, and two fifths with 2 s. A replaced part of a path has to fit the hops
// around it instead.
func (ps *pathSearch) staysLocal(want path.Request) bool {
	return ps.view != nil && want.From == 0 && want.NextDomain == path.NoDomain
}
