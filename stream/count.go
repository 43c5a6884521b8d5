package stream

import "github.com/VictoriaMetrics/metrics"

// Counters of the package.
var (
	countRequests  = metrics.NewCounter(`cranberrybay_answers`)
	countGiveUps   = metrics.NewCounter(`cranberrybay_giveups`)
	countGone      = metrics.NewCounter(`cranberrybay_gone`)
	countBudget    = metrics.NewCounter(`cranberrybay_budget_empty`)
	countCrossed   = metrics.NewCounter(`cranberrybay_frames_dropped{why="crossed"}`)
	countLate      = metrics.NewCounter(`cranberrybay_frames_dropped{why="late"}`)
	countDuplicate = metrics.NewCounter(`cranberrybay_frames_dropped{why="duplicate"}`)
	countEarly     = metrics.NewCounter(`cranberrybay_frames_held`)
	countRefused   = metrics.NewCounter(`cranberrybay_frames_refused`) // broke invariant I1
	countImports   = metrics.NewCounter(`cranberrybay_imports`)
	countSilences  = metrics.NewCounter(`cranberrybay_silences`)
	countMoves     = metrics.NewCounter(`cranberrybay_moves`) // routes left because they were slow
	recoveryTime   = metrics.NewSummary(`cranberrybay_recovery_seconds`)
)

// recovered counts a recovery by its cause.
func recovered(why string) {
	metrics.GetOrCreateCounter(`cranberrybay_recoveries{why="` + why + `"}`).Inc()
}
