package edge

import (
	"fmt"
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cranberrybay/cranberrybay/retry"
)

const (
	// budgetShare is the part of the bound on repeats that the processes use
	// together: their views of how many they are differ for seconds.
	budgetShare = 0.7
	// fewProcesses divides the bound before the others are known.
	fewProcesses = 8
)

// budgets holds this process's share of the repeats of each service.
type budgets struct {
	ratio, slack float64

	mu       sync.Mutex
	size     int
	services map[string]*retry.Budget
}

func newBudgets(s Settings) *budgets {
	return &budgets{ratio: s.Bounds.Ratio * budgetShare, slack: s.Bounds.Slack * budgetShare, size: fewProcesses, services: map[string]*retry.Budget{}}
}

// of returns the budget of a service.
func (u *budgets) of(service string) *retry.Budget {
	u.mu.Lock()
	defer u.mu.Unlock()
	b := u.services[service]
	if b == nil {
		burst := u.slack / float64(u.size)
		b = retry.New(retry.Config{RetriesPerRequest: u.ratio, Burst: burst, Initial: burst})
		u.services[service] = b
	}
	return b
}

// resize takes the number of entry processes. Shares only become smaller while a
// process runs: one that left may come back.
func (u *budgets) resize(size int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if size <= u.size {
		return
	}
	u.size = size
	for _, b := range u.services {
		b.SetBurst(u.slack / float64(size))
	}
}

// write writes the repeats that each service may still make now.
func (u *budgets) write(w io.Writer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for service, b := range u.services {
		metrics.WriteGaugeFloat64(w, fmt.Sprintf("cranberrybay_budget_left{service=%q}", service), b.Available())
	}
}
