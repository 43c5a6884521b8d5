package stream

import "github.com/VictoriaMetrics/metrics"

// Counters of the package.
var (
	countRequests  = metrics.NewCounter(`bay_answers`)
	countGiveUps   = metrics.NewCounter(`bay_giveups`)
	countGone      = metrics.NewCounter(`bay_gone`)
	countBudget    = metrics.NewCounter(`bay_budget_empty`)
	countCrossed   = metrics.NewCounter(`bay_frames_dropped{why="crossed"}`)
	countLate      = metrics.NewCounter(`bay_frames_dropped{why="late"}`)
	countDuplicate = metrics.NewCounter(`bay_frames_dropped{why="duplicate"}`)
	countEarly     = metrics.NewCounter(`bay_frames_held`)
	countRefused   = metrics.NewCounter(`bay_frames_refused`) // broke invariant I1
	countImports   = metrics.NewCounter(`bay_imports`)
	countSilences  = metrics.NewCounter(`bay_silences`)
	countMoves     = metrics.NewCounter(`bay_moves`) // routes left because they were slow
	recoveryTime   = metrics.NewSummary(`bay_recovery_seconds`)
)

// recovered counts a recovery by its cause.
func recovered(why string) {
	metrics.GetOrCreateCounter(`bay_recoveries{why="` + why + `"}`).Inc()
}
