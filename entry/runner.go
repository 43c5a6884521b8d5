package entry

import (
	"context"
	"errors"
	"strings"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/guard"
	"github.com/cranberrybay/cranberrybay/retry"
	"github.com/cranberrybay/cranberrybay/route"
	"github.com/cranberrybay/cranberrybay/stream"
)

// RunnerConfig holds the dependencies of a stream.Runner.
type RunnerConfig struct {
	Fleet   *fleet.Table
	Chooser *route.Chooser // nil for a chooser with default settings
	Engines *engine.Client
	Domain  string        // failure domain of this process
	Budget  *retry.Budget // nil for the default retry budget
	Guard   *guard.Guard  // see stream.Config
	// CheckpointInterval is the number of tokens between exports of the KV cache,
	// see stream.Config.
	CheckpointInterval int
}

// NewRunner returns a stream.Runner that takes its routes from the chooser, calls
// the engines over HTTP and reports its measurements to the fleet table.
func NewRunner(cfg RunnerConfig) *stream.Runner {
	engines := cfg.Engines
	if cfg.Chooser == nil {
		cfg.Chooser = route.New(route.Config{Fleet: cfg.Fleet})
	}
	return stream.New(stream.Config{
		Choose: cfg.chooseRoute,
		Generate: func(ctx context.Context, j engine.Job) (*stream.FrameStream, error) {
			frames, err := engines.Generate(ctx, j)
			if err != nil {
				return nil, err
			}
			return &stream.FrameStream{Next: frames.Next, Buffered: frames.HasBufferedFrame, Close: frames.Close}, nil
		},
		Cancel:   engines.Cancel,
		Probe:    cfg.probe,
		Export:   engines.Export,
		Import:   engines.Import,
		Feedback: fleetFeedback(cfg.Fleet),
		Budget:   cfg.Budget, Guard: cfg.Guard, CheckpointInterval: cfg.CheckpointInterval,
	})
}

// probe reads the load report of a stage. Its error wraps engine.ErrGone when the
// fleet table has removed a server that does not answer.
func (c RunnerConfig) probe(ctx context.Context, s route.Stage) (engine.LoadReport, error) {
	load, err := c.Engines.Load(ctx, s.Address)
	if listed, ok := c.Fleet.ByAddress(s.Address); err != nil && (!ok || listed.Name != s.Name) {
		err = errors.Join(err, engine.ErrGone)
	}
	return load, err
}

// chooseRoute returns a route for a request over the servers of its service.
func (c RunnerConfig) chooseRoute(req *stream.Request, constraints stream.RouteConstraints) (route.Route, error) {
	return c.Chooser.Choose(route.Requirements{
		Service: req.Service, Model: req.Model, Version: constraints.Version, Layers: req.Layers, Domain: c.Domain,
		Avoid: constraints.ExcludedServers, AvoidPairs: constraints.ExcludedLinks, CacheHolders: constraints.PreferredServers, PromptTokens: strings.Count(req.Prompt, " ") + constraints.AcceptedTokens, PromptBlocks: req.Blocks,
	})
}

// fleetFeedback returns the callbacks that record in the fleet table what
// answers show about servers and links.
func fleetFeedback(t *fleet.Table) stream.Feedback {
	forEachStage := func(report func(name string)) func(route.Route) {
		return func(r route.Route) {
			for _, s := range r.Stages {
				report(s.Name)
			}
		}
	}
	return stream.Feedback{
		AttemptBegan: forEachStage(t.BeginRequest), AttemptEnded: forEachStage(t.EndRequest),
		ServerWorked: t.RequestSucceeded, ServerFailed: t.RequestFailed, ServerLeaving: t.MarkLeaving,
		TokenTime:   func(s route.Stage, took time.Duration) { t.RecordTokenTime(s.Name, took) },
		PrefillTime: func(s route.Stage, perToken time.Duration) { t.RecordPrefill(s.Name, perToken) },
		LinkTime:    func(from, to route.Stage, rtt time.Duration) { t.RecordRoundTrip(from.Domain, to.Domain, rtt) },
		LoadReported: func(load engine.LoadReport) {
			if s, ok := t.ByAddress(load.Address); ok {
				t.MergeReport(s.Name, FleetState(load))
			}
		},
	}
}

// FleetState converts the load report of an engine to the state that the fleet
// table keeps.
func FleetState(load engine.LoadReport) fleet.State {
	return fleet.State{
		Boot: load.Boot, Kind: load.Kind, Model: load.Model, Version: load.Version, First: load.First, Last: load.Last,
		Slots: load.Slots, Running: load.Running, Waiting: load.Waiting, Ready: load.Ready, Leaving: load.Leaving, Event: load.Event,
	}
}
