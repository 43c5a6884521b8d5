package stream

import "github.com/VictoriaMetrics/metrics"

// Metrics of the package.
var (
	countRequests        = metrics.NewCounter(`cranberrybay_answers`)
	countGiveUps         = metrics.NewCounter(`cranberrybay_giveups`)
	countCallersGone     = metrics.NewCounter(`cranberrybay_gone`)
	countBudgetEmpty     = metrics.NewCounter(`cranberrybay_budget_empty`)
	countForeignFrames   = metrics.NewCounter(`cranberrybay_frames_dropped{why="crossed"}`)
	countStaleFrames     = metrics.NewCounter(`cranberrybay_frames_dropped{why="late"}`)
	countDuplicateFrames = metrics.NewCounter(`cranberrybay_frames_dropped{why="duplicate"}`)
	countHeldFrames      = metrics.NewCounter(`cranberrybay_frames_held`)
	countRefusedFrames   = metrics.NewCounter(`cranberrybay_frames_refused`) // layer ranges that violate invariant I1
	countImports         = metrics.NewCounter(`cranberrybay_imports`)
	countTokenTimeouts   = metrics.NewCounter(`cranberrybay_silences`) // token timeouts after which stages were probed
	countReroutes        = metrics.NewCounter(`cranberrybay_moves`)    // moves away from a slow route
	recoveryTime         = metrics.NewSummary(`cranberrybay_recovery_seconds`)
)

// countRecovery counts a recovery by its cause.
func countRecovery(why string) {
	metrics.GetOrCreateCounter(`cranberrybay_recoveries{why="` + why + `"}`).Inc()
}
