package relay

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/admit"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/path"
	"github.com/cranberrybay/cranberrybay/server"
	"github.com/cranberrybay/cranberrybay/spread"
)

const (
	// nearTransferSeconds is the time that the activations of a token take to the next engine of
	// the same failure domain.
	nearTransferSeconds = 0.15e-3
	// domainJitter is the largest random addition to the step times of a failure domain, relative
	// to them.
	domainJitter = 0.15
	// engineJitter is the largest random addition to the times of a single engine, relative to
	// them, after engines have died. All streams over the dead engines choose new paths within
	// milliseconds, and an engine takes 100 to 200 ms to read the prompts of 70 streams.
	engineJitter = 1.0
	// expectedAnswerShare is the share of the largest allowed answer that a stream is expected to
	// write if the caller gives no estimate.
	expectedAnswerShare = 0.5
)

// expectedAnswerTokens estimates the length of the answer in tokens.
func (req *Request) expectedAnswerTokens(e *config.Engine) float64 {
	if req.AnswerTokensHint > 0 {
		return float64(req.AnswerTokensHint)
	}
	if req.MaxAnswerTokens > 0 {
		return expectedAnswerShare * float64(req.MaxAnswerTokens)
	}
	return e.MeanAnswerTokens
}

// choosePath chooses a path for a stream, adds the stream to the load of its engines, and takes one
// request from this process's share of the first engine's rate. The stream may be sent at sendAt of
// the path, at most maxWait from now.
func (r *Relay) choosePath(req *Request, excluded map[string]bool, maxWait time.Duration, c *choice) (*activePath, bool) {
	for range maxChoices {
		t, ok := r.searchPath(req, excluded, maxWait, c)
		if !ok || t.first == nil {
			return t, ok
		}
		if t.sendAt, ok = r.reserve(c, t.first, maxWait); ok {
			return t, true
		}
		t.release()
	}
	return nil, false
}

// searchPath is choosePath without the rates. It avoids the failure domains of excluded engines if
// it can, and starts at an engine without free slots only if there is no other path.
func (r *Relay) searchPath(req *Request, excluded map[string]bool, maxWait time.Duration, c *choice) (*activePath, bool) {
	all := r.candidates(req.Service.Name)
	e := req.Service.Engine
	if e == nil || e.Layers == 0 {
		return r.chooseSingleEngine(req, all, excluded, maxWait, c)
	}
	ps := r.newPathSearch(req, all, len(excluded) > 0)
	ps.addWaits(maxWait, c)
	want := path.Request{To: e.Layers, Domain: ps.domains[r.cfg.Domain], NextDomain: path.NoDomain, Excluded: ps.domainPeers(excluded)}
	hops, ok := ps.choose(want)
	if !ok && len(excluded) > 0 {
		want.Excluded = excluded
		hops, ok = ps.choose(want)
	}
	if !ok && ps.ignoreSlots() {
		hops, ok = ps.choose(want)
	}
	if !ok && ps.swapRivals() {
		hops, ok = ps.choose(want)
	}
	if !ok {
		return nil, false
	}
	t := ps.activate(hops)
	if req.Service.Competing() {
		t.load = ps.load(e, hops)
	}
	return t, true
}

// detour returns the path with the hops over dead engines replaced. The other hops stay, so that
// their engines keep the tokens that they have read. With near set, a hop is replaced only by
// engines of the failure domain of the hop before it: otherwise the activations of all tokens so
// far cross the link between failure domains, which takes 15 ms per stream.
func (r *Relay) detour(req *Request, t *activePath, dead map[string]bool, near bool) (*activePath, bool) {
	ps := r.newPathSearch(req, r.cfg.Servers.Servers(req.Service.Name), true)
	excluded := map[string]bool{}
	for address := range dead {
		excluded[address] = true
	}
	old := t.currentHops()
	for _, h := range old {
		excluded[h.Address] = true
	}
	var hops []Hop
	for i, h := range old {
		if !dead[h.Address] {
			hops = append(hops, h)
			if s := t.serverAt(h.Address); s != nil {
				ps.chosen[h.Address] = s
			}
			continue
		}
		if i == 0 {
			return nil, false // the first engine of a path can't be replaced
		}
		want := path.Request{From: h.From, To: h.To, Domain: ps.domainAt(old[i-1].Address), NextDomain: path.NoDomain, Excluded: excluded}
		if i+1 < len(old) {
			want.NextDomain = ps.domainAt(old[i+1].Address)
		}
		if near {
			want.Excluded = ps.including(excluded, func(e path.Engine) bool { return e.Domain != want.Domain })
		}
		replacement, ok := ps.choose(want)
		if !ok {
			return nil, false
		}
		for _, p := range replacement {
			excluded[p.Address] = true
		}
		hops = append(hops, replacement...)
	}
	return ps.activate(hops), true
}

// pathSearch holds the candidate engines for one choice of a path.
type pathSearch struct {
	relay   *Relay
	req     *Request
	servers []*server.Server
	engines []path.Engine
	domains map[string]int
	links   path.LinkCosts
	chosen  map[string]*server.Server // by address
	rivals  []rival
	view    *spread.View // of the load of the other processes; nil if their reports are taken as they are
}

// rival is a candidate that was dropped because another one has the same address.
type rival struct {
	engine          path.Engine
	index, believed int // indices of its server and of the other one
}

// newPathSearch describes the engines as candidates. With jitterEngines set, streams that choose
// at the same time are spread over engines with similar times.
func (r *Relay) newPathSearch(req *Request, all []*server.Server, jitterEngines bool) *pathSearch {
	e := req.Service.Engine
	ps := &pathSearch{relay: r, req: req, servers: all, engines: make([]path.Engine, len(all)), chosen: map[string]*server.Server{}}
	var names []string
	ps.domains, names = indexDomains(all, r.cfg.Domain)
	ps.links = pathLinks(e, names)
	ps.view = r.loadView(req.Service, all)
	// Processes that choose at the same time do not see each other's choices.
	jitter := make([]float64, len(names))
	for i := range jitter {
		jitter[i] = 1 + domainJitter*rand.Float64()
	}
	for i, s := range all {
		ps.engines[i] = r.candidate(s, ps)
		ps.engines[i].LayerSeconds *= jitter[ps.engines[i].Domain]
		if jitterEngines {
			factor := 1 + engineJitter*rand.Float64()
			ps.engines[i].LayerSeconds *= factor
			ps.engines[i].LayerPrefill *= factor
		}
	}
	ps.dropRivals()
	return ps
}

// dropRivals leaves one candidate for each address: a path must not pass through an engine twice.
func (ps *pathSearch) dropRivals() {
	usable := map[string]int{}
	for i, s := range ps.servers {
		if ps.engines[i].To <= ps.engines[i].From || len(ps.relay.cfg.Servers.Rivals(s)) == 0 {
			continue
		}
		other, ok := usable[s.Address()]
		if ok && ps.servers[other].IsBelieved(s) {
			other, i = i, other
		}
		usable[s.Address()] = i
		if ok {
			ps.rivals = append(ps.rivals, rival{engine: ps.engines[other], index: other, believed: i})
			ps.engines[other] = path.Engine{Name: s.Address()}
		}
	}
}

// swapRivals takes the dropped candidates instead of those that were left for their addresses, and reports
// whether there are any.
func (ps *pathSearch) swapRivals() bool {
	for _, v := range ps.rivals {
		ps.engines[v.index], ps.engines[v.believed] = v.engine, path.Engine{Name: v.engine.Name}
	}
	return len(ps.rivals) > 0
}

// addWaits adds the time that a stream waits for each engine as the first one because of the rate that it
// names. Engines for which that is longer than maxWait, and those at rest, can't be the first one.
func (ps *pathSearch) addWaits(maxWait time.Duration, c *choice) {
	*c = choice{}
	for i, s := range ps.servers {
		rests := ps.req.canBeFirst(s) && ps.relay.passesOver(c, s)
		if wait := ps.relay.waitForRate(s); wait > maxWait || rests {
			ps.engines[i].FirstWait = math.Inf(1)
		} else {
			ps.engines[i].FirstWait = wait.Seconds()
		}
	}
}

// domainAt returns the failure domain of the engine at an address, or that of this process if
// there is none.
func (ps *pathSearch) domainAt(address string) int {
	for i, s := range ps.servers {
		if s.Address() == address {
			return ps.engines[i].Domain
		}
	}
	return ps.domains[ps.relay.cfg.Domain]
}

// including returns a copy of set to which the engines are added for which match returns true.
func (ps *pathSearch) including(set map[string]bool, match func(e path.Engine) bool) map[string]bool {
	out := maps.Clone(set)
	for _, e := range ps.engines {
		if match(e) {
			out[e.Name] = true
		}
	}
	return out
}

// ignoreSlots lets engines without free slots be the first of a path, as engines queue a few
// streams beyond their slots. It reports whether there were such engines.
func (ps *pathSearch) ignoreSlots() bool {
	full := false
	for i := range ps.engines {
		e := &ps.engines[i]
		full = full || (e.Slots > 0 && e.FirstStreams >= e.Slots)
		e.FirstStreams = 0
	}
	return full
}

// domainPeers returns the excluded engines and all others in their failure domains. Engines of a
// domain often fail together, while the first refusal names only one of them.
func (ps *pathSearch) domainPeers(excluded map[string]bool) map[string]bool {
	if len(excluded) == 0 {
		return excluded
	}
	domains := map[int]bool{}
	for _, e := range ps.engines {
		if excluded[e.Name] {
			domains[e.Domain] = true
		}
	}
	return ps.including(excluded, func(e path.Engine) bool { return domains[e.Domain] })
}

// choose returns the best path for the request that satisfies want.
func (ps *pathSearch) choose(want path.Request) ([]Hop, bool) {
	want.Prompt, want.Answer = float64(ps.req.PromptTokens), ps.req.expectedAnswerTokens(ps.req.Service.Engine)
	want.Local, want.Corrected = ps.staysLocal(want), ps.view != nil
	found, _, ok := path.Choose(want, ps.engines, ps.links)
	if !ok && want.Local {
		want.Local = false
		found, _, ok = path.Choose(want, ps.engines, ps.links)
	}
	if !ok {
		return nil, false
	}
	hops := make([]Hop, 0, len(found))
	for _, h := range found {
		s := ps.servers[h.Engine]
		ps.chosen[s.Address()] = s
		hops = append(hops, Hop{Address: s.Address(), From: h.From, To: h.To})
	}
	return hops, true
}

// listedServer returns the listed server for a hop at an address: the one that was chosen, or nil if
// the registry has dropped it since; or else any that is listed for the address.
func (ps *pathSearch) listedServer(address string) *server.Server {
	if s := ps.chosen[address]; s != nil {
		return ps.relay.cfg.Servers.ByID(s.ID())
	}
	return ps.relay.cfg.Servers.ByAddress(address)
}

// activate adds the stream to the load of the engines of a path. The registry may have dropped
// engines since the choice; without its first engine the path has no first server.
func (ps *pathSearch) activate(hops []Hop) *activePath {
	tokens := float64(ps.req.PromptTokens) + ps.req.expectedAnswerTokens(ps.req.Service.Engine)
	t := &activePath{hops: hops}
	ps.recordBegin()
	for i, h := range hops {
		s := ps.listedServer(h.Address)
		if s == nil {
			continue // the engine was removed since
		}
		if i == 0 {
			t.first = s
		}
		t.servers = append(t.servers, s)
		t.releases = append(t.releases, s.Begin(int64(tokens*float64(h.To-h.From))))
	}
	return t
}

// chooseSingleEngine chooses an engine that holds the whole model.
func (r *Relay) chooseSingleEngine(req *Request, all []*server.Server, excluded map[string]bool, maxWait time.Duration, c *choice) (*activePath, bool) {
	tried := map[string]bool{}
	for _, s := range all {
		if excluded[s.Address()] {
			tried[s.ID()] = true
		}
	}
	s := r.pickServer(req, tried, maxWait, c)
	if s == nil {
		return nil, false
	}
	return &activePath{first: s, releases: []func(){s.Begin(0)}}, true
}

// indexDomains returns the failure domains of the servers and of this process in sorted order,
// and the index of each.
func indexDomains(all []*server.Server, self string) (map[string]int, []string) {
	seen := map[string]bool{self: true}
	names := []string{self}
	for _, s := range all {
		if !seen[s.Domain()] {
			seen[s.Domain()] = true
			names = append(names, s.Domain())
		}
	}
	sort.Strings(names)
	index := make(map[string]int, len(names))
	for i, name := range names {
		index[name] = i
	}
	return index, names
}

// pathLinks returns the costs of transfers between engines.
func pathLinks(e *config.Engine, names []string) path.LinkCosts {
	out := path.LinkCosts{SameDomain: nearTransferSeconds}
	if e.InterDomainMbps > 0 {
		out.LinkPerToken = e.ActivationBytes * 8 / (e.InterDomainMbps * 1e6)
	}
	for _, from := range names {
		row := make([]float64, len(names))
		for i, to := range names {
			if from != to {
				row[i] = e.Delay(from, to).Seconds()
			}
		}
		out.CrossDomain = append(out.CrossDomain, row)
	}
	return out
}

// candidate describes an engine with the load that all entry processes have on it.
func (r *Relay) candidate(s *server.Server, ps *pathSearch) path.Engine {
	entry, e := s.Entry(), ps.req.Service.Engine
	acc, ok := e.Accelerators[entry.Accelerator]
	if !ok || entry.From < 0 || entry.To <= entry.From || entry.To > e.Layers {
		return path.Engine{Name: s.Address()}
	}
	streams, tokens := r.cfg.PeerLoad(s.ID())
	layers := float64(entry.To - entry.From)
	unseen := ps.unseenLoad(s, streams, tokens, layers)
	streams += s.Inflight()
	tokens += s.ReservedTokens()
	expected := max(float64(streams)+unseen.Streams, 0)
	tokensPerLayer := 0.0
	if expected > 0 {
		tokensPerLayer = max(float64(tokens)+unseen.Tokens, 0) / layers // tokens of all streams per layer
	}
	step := e.StepTime.Seconds() + expected*e.StepTimePerRequest.Seconds() + tokensPerLayer/1000*e.StepTimePerContext.Seconds()
	out := path.Engine{
		Name: s.Address(), Domain: ps.domains[entry.Domain], From: entry.From, To: entry.To,
		LayerSeconds: step * acc.StepFactor / float64(e.Layers),
		Capacity:     KVCapacity(e, acc, entry.To-entry.From),
		Used:         float64(tokens),
		Unseen:       unseen.Tokens,
		Slots:        max(entry.Slots, 1),
		Suspect:      s.IsAvoided() || r.waitForRest(s) > 0,
	}
	if entry.From == 0 {
		out.FirstStreams = streams // paths begin at the first layer
	}
	if e.PrefillRate > 0 {
		out.LayerPrefill = acc.PrefillFactor / e.PrefillRate / float64(e.Layers)
	}
	return out
}

// KVCapacity returns how many layer tokens of KV cache fit on an accelerator beside the weights of
// so many layers; 0 if the cache size of a token is unknown. A layer token is the cache of one
// token on one layer.
func KVCapacity(e *config.Engine, acc config.Accelerator, layers int) float64 {
	if e.TokenMemory <= 0 {
		return 0
	}
	free := acc.Memory - float64(layers)*e.LayerMemory
	return max(free*1e6/(e.TokenMemory/float64(e.Layers)), 1)
}

// PathRejectedError reports that an engine of a new path lacks the layers or the memory for its
// part.
type PathRejectedError struct{ Address string }

func (e *PathRejectedError) Error() string {
	return "engine " + e.Address + " can't take its part of the path"
}

// activePath is a path in use, which counts as load on its engines.
type activePath struct {
	first  *server.Server
	hops   []Hop
	sendAt time.Time  // when the first engine takes the stream
	load   admit.Load // when the path was chosen; set if streams compete for the engines

	mu       sync.Mutex
	servers  []*server.Server
	releases []func()
}

// recordProgress records that an event passed through every engine of the path. It logs those that
// were found dead before.
func (t *activePath) recordProgress(log *zerolog.Logger) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		if silence, wasDead := s.RecordProgress(); wasDead {
			log.Info().Str("server", s.ID()).Dur("silence", silence).Msg("backend server that was found dead goes on")
		}
	}
}

// leavingEngines returns the engines of the path that are leaving, and those that have given up
// layers which the path runs on them, by address.
func (t *activePath) leavingEngines(all *server.Table) (leaving, gaveUp map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		if s.Leaving() {
			leaving = addAddress(leaving, s.Address())
		}
		listed := all.ByID(s.ID())
		for _, h := range t.hops {
			if h.Address == s.Address() && listed != nil && !listed.Holds(h.From, h.To) {
				gaveUp = addAddress(gaveUp, h.Address)
			}
		}
	}
	return leaving, gaveUp
}

// serverAt returns the server of the path at an address, or nil.
func (t *activePath) serverAt(address string) *server.Server {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.servers {
		if s.Address() == address {
			return s
		}
	}
	return nil
}

// addAddress adds address to set, which it allocates if it is nil.
func addAddress(set map[string]bool, address string) map[string]bool {
	if set == nil {
		set = map[string]bool{}
	}
	set[address] = true
	return set
}

// knownDead returns the engines of the path that were found dead within avoidDeadFor and through
// which no stream has had an event within maxLiveEventAge, by address; nil if there are none.
func (t *activePath) knownDead() map[string]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[string]bool
	for _, s := range t.servers {
		if s.FoundDead(avoidDeadFor) && s.SilentFor() > maxLiveEventAge {
			out = addAddress(out, s.Address())
		}
	}
	return out
}

// silentHops returns the hops whose engines have passed no event within maxAge.
func (t *activePath) silentHops(maxAge time.Duration) []Hop {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Hop
	for _, h := range t.hops {
		if !slices.ContainsFunc(t.servers, func(s *server.Server) bool { return s.Address() == h.Address && s.SilentFor() <= maxAge }) {
			out = append(out, h)
		}
	}
	return out
}

// release removes the stream from the load of the engines.
func (t *activePath) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, release := range t.releases {
		release()
	}
	t.releases = nil
}

// currentHops returns the hops, which replace may change.
func (t *activePath) currentHops() []Hop {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hops
}

// String returns the hops as address=from-to, separated by commas.
func (t *activePath) String() string {
	var b strings.Builder
	for i, h := range t.currentHops() {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s=%d-%d", h.Address, h.From, h.To)
	}
	return b.String()
}

// replace takes over the path and the load of another activePath.
func (t *activePath) replace(by *activePath) {
	t.release()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hops, t.servers, t.releases = by.hops, by.servers, by.releases
}
