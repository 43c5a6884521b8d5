package entry

import (
	"context"
	"strings"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/retry"
	"github.com/cranberrybay/cranberrybay/route"
	"github.com/cranberrybay/cranberrybay/stream"
)

// AnswersConfig holds the parts that answers of models need.
type AnswersConfig struct {
	Fleet   *fleet.Table
	Chooser *route.Chooser // nil for one of its own
	Engines *engine.Client
	Domain  string        // failure domain of this process
	Budget  *retry.Budget // nil for the default retry budget
	// Checkpoint is the number of tokens between exports, see stream.Config.
	Checkpoint int
}

// NewAnswers returns a runner that is connected to the fleet, the chooser and
// the engines.
func NewAnswers(cfg AnswersConfig) *stream.Runner {
	eng := cfg.Engines
	if cfg.Chooser == nil {
		cfg.Chooser = route.New(route.Config{Fleet: cfg.Fleet})
	}
	return stream.New(stream.Config{
		Choose: cfg.choose,
		Generate: func(ctx context.Context, j engine.Job) (*stream.Answer, error) {
			a, err := eng.Generate(ctx, j)
			if err != nil {
				return nil, err
			}
			return &stream.Answer{Next: a.Next, More: a.More, Close: a.Close}, nil
		},
		Cancel: eng.Cancel,
		Probe: func(ctx context.Context, address string) (bool, error) {
			l, err := eng.Load(ctx, address)
			return l.Waiting > 0, err
		},
		Export:   eng.Export,
		Import:   eng.Import,
		Feedback: feedback(cfg.Fleet),
		Budget:   cfg.Budget, Checkpoint: cfg.Checkpoint,
	})
}

// choose returns a route for a request over the servers of its service.
func (c AnswersConfig) choose(rq *stream.Request, a stream.Avoid) (route.Route, error) {
	return c.Chooser.Choose(route.Requirements{
		Service: rq.Service, Model: rq.Model, Version: a.Version, Layers: rq.Layers, Domain: c.Domain,
		Avoid: a.Servers, AvoidPairs: a.Pairs, CacheHolders: a.Keep, PromptTokens: strings.Count(rq.Prompt, " ") + a.Tokens, PromptBlocks: rq.Blocks,
	})
}

// feedback passes what answers show on to the fleet table.
func feedback(t *fleet.Table) stream.Feedback {
	each := func(do func(name string)) func(route.Route) {
		return func(r route.Route) {
			for _, s := range r.Stages {
				do(s.Name)
			}
		}
	}
	return stream.Feedback{
		Began: each(t.BeginRequest), Ended: each(t.EndRequest),
		Worked: t.RequestSucceeded, Failed: t.RequestFailed, Refused: t.MarkLeaving,
		Token:   func(s route.Stage, took time.Duration) { t.RecordStep(s.Name, took) },
		Prefill: func(s route.Stage, perToken time.Duration) { t.RecordPrefill(s.Name, perToken) },
		Hop:     func(from, to route.Stage, rtt time.Duration) { t.RecordRoundTrip(from.Domain, to.Domain, rtt) },
		Reported: func(l engine.Load) {
			if s, ok := t.ByAddress(l.Address); ok {
				t.MergeReport(s.Name, StateOf(l))
			}
		},
	}
}

// StateOf converts a load report.
func StateOf(l engine.Load) fleet.State {
	return fleet.State{
		Boot: l.Boot, Kind: l.Kind, Model: l.Model, Version: l.Version, First: l.First, Last: l.Last,
		Slots: l.Slots, Running: l.Running, Waiting: l.Waiting, Ready: l.Ready, Leaving: l.Leaving, Event: l.Event,
	}
}
