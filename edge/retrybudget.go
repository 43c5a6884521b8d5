package edge

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cranberrybay/cranberrybay/retry"
)

const (
	// budgetFraction is the part of the platform's bound on retries that all entry
	// processes may use together. The rest is a reserve: for seconds, processes
	// disagree on how many of them there are.
	budgetFraction = 0.7
	// initialProcesses is the number of processes that share the bound before the
	// others are known.
	initialProcesses = 8
)

// retryBudgets holds this process's share of the retries of each service.
type retryBudgets struct {
	ratio, slack float64

	mu        sync.Mutex
	processes int
	services  map[string]*retry.Budget
}

func newRetryBudgets(s Settings) *retryBudgets {
	return &retryBudgets{ratio: s.Bounds.RetryRatio * budgetFraction, slack: s.Bounds.RetrySlack * budgetFraction, processes: initialProcesses, services: map[string]*retry.Budget{}}
}

// of returns the budget of a service, which it creates on first use.
func (r *retryBudgets) of(service string) *retry.Budget {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.services[service]
	if b == nil {
		burst := r.slack / float64(r.processes)
		b = retry.New(retry.Config{RetriesPerRequest: r.ratio, Burst: burst, Initial: burst})
		r.services[service] = b
	}
	return b
}

// resize sets the number of entry processes. The shares never grow while a process
// runs, because a process that left may come back.
func (r *retryBudgets) resize(processes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if processes <= r.processes {
		return
	}
	r.processes = processes
	for _, b := range r.services {
		b.SetBurst(r.slack / float64(processes))
	}
}

// writeMetrics writes the number of retries that each service may still make now.
func (r *retryBudgets) writeMetrics(w io.Writer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, b := range r.services {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("cranberrybay_budget_left{service=%q}", service), b.Available())
	}
}
