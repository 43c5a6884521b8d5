package bench

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/queue"
)

// ScalingCost is a measured cost at one number of accounts.
type ScalingCost struct {
	Accounts           int
	AccountBytes       float64       // bytes for each account: limits, shares, history, fair queueing
	RequestBytes       float64       // bytes for each waiting request, without its caller's goroutine
	WorkerBytes        float64       // bytes for each backend server in one queue
	AdmitTime          time.Duration // processor time of limit and queue for a request that starts at once
	EnqueueTime        time.Duration // the same for a request that joins a queue of slopeQueue
	ReportTime         time.Duration // of sending and answering a report, for each account in it
	ReportAccountBytes float64       // of a report, for each account in it
	ReportMessageBytes int           // bytes of a report of slopeActive accounts
}

const (
	slopeQueue   = 500 // waiting requests
	slopeWorkers = 96  // the bound of the design page for one process
	slopeActive  = 21  // accounts that one process serves in a second at the target size
	slopeTimes   = 20000
)

// MeasureScaling measures the costs for some numbers of accounts. The figures depend on
// the machine.
func MeasureScaling(accounts ...int) []ScalingCost {
	out := make([]ScalingCost, 0, len(accounts))
	for _, n := range accounts {
		out = append(out, slope(n))
	}
	return out
}

// memory returns the bytes in use after a collection.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// slopeRig is one process with queues and limits for n accounts.
type slopeRig struct {
	now    time.Time
	names  []string
	queue  *queue.Queue
	keeper *limit.Limiter
	report limit.Report
}

func newSlopeRig(n int) *slopeRig {
	r := &slopeRig{now: epoch}
	for i := range n {
		r.names = append(r.names, fmt.Sprintf("account-%05d", i))
	}
	clock := func() time.Time { return r.now }
	r.queue = queue.New(queue.Config{Now: clock, Depth: 1 << 20})
	r.keeper = limit.New(limit.Config{
		Self: "entry-1", Incarnation: "entry-1/1", Now: clock,
		Limits: func(string) (limit.Limits, bool) {
			return limit.Limits{Amounts: limit.Amounts{limit.Rate: 1e6, limit.Tokens: 1e9, limit.Inflight: 1e6}, Weight: 1}, true
		},
	})
	return r
}

func (r *slopeRig) work(account string) queue.Request {
	return queue.Request{Account: account, Weight: 1, Shape: queue.Shape{MaxTokens: 256, PromptBytes: 1000}, Deadline: r.now.Add(24 * time.Hour)}
}

// once admits, runs and ends one request.
func (r *slopeRig) once(account string) {
	g, err := r.keeper.Admit(account, r.queue.ExpectedTokens(account, queue.Shape{MaxTokens: 256, PromptBytes: 1000}))
	if err != nil {
		return
	}
	_, err = r.queue.Enqueue(r.work(account), func(s *queue.Slot, err error) {
		if err == nil {
			s.Token()
			s.Done(100)
		}
	})
	if err != nil {
		return
	}
	g.Done(100)
}

func slope(n int) ScalingCost {
	s := ScalingCost{Accounts: n}
	r := newSlopeRig(n)
	before := memory()
	for i := range slopeWorkers {
		r.queue.Observe(queue.Report{Name: fmt.Sprintf("worker-%02d", i), Slots: 16})
	}
	s.WorkerBytes = (memory() - before) / slopeWorkers
	before = memory()
	for _, a := range r.names {
		r.once(a)
	}
	s.AccountBytes = (memory() - before) / float64(n)
	began := time.Now()
	for i := range slopeTimes {
		r.once(r.names[i%n])
	}
	s.AdmitTime = time.Since(began) / slopeTimes
	r.waiting(&s)
	r.reports(&s)
	runtime.KeepAlive(r)
	return s
}

// waiting measures requests that wait, with all slots taken.
func (r *slopeRig) waiting(s *ScalingCost) {
	for i := range slopeWorkers {
		r.queue.Observe(queue.Report{Name: fmt.Sprintf("worker-%02d", i), Slots: 16, Running: 16, Waiting: 16, MeasuredAt: r.now})
	}
	entries := make([]*queue.Entry, 0, slopeQueue)
	enter := func(i int) {
		e, err := r.queue.Enqueue(r.work(r.names[i%len(r.names)]), func(*queue.Slot, error) {})
		if err == nil {
			entries = append(entries, e)
		}
	}
	before := memory()
	for i := range slopeQueue {
		enter(i)
	}
	if len(entries) > 0 {
		s.RequestBytes = (memory() - before) / float64(len(entries))
	}
	began := time.Now()
	for i := range slopeTimes / 10 {
		k := len(entries)
		enter(i)
		if len(entries) > k {
			entries[k].Cancel()
			entries = entries[:k]
		}
	}
	s.EnqueueTime = time.Since(began) / (slopeTimes / 10)
	for _, e := range entries {
		e.Cancel()
	}
}

// reports measures a report of the accounts in use and the home's answer. One
// process is home and reporter, so that both sides are measured.
func (r *slopeRig) reports(s *ScalingCost) {
	active := min(slopeActive, len(r.names))
	for _, a := range r.names[:active] {
		d := limit.Demand{Account: a, Want: limit.Amounts{12.5, 1250, 4}, Running: 4, AppliedShare: 1000}
		r.report.Demands = append(r.report.Demands, d)
	}
	r.report.From, r.report.Incarnation = "entry-2", "entry-2/1"
	s.ReportMessageBytes = r.report.Size()
	s.ReportAccountBytes = float64(s.ReportMessageBytes) / float64(active)
	// A new home waits a term before it gives shares.
	r.now = r.now.Add(10 * time.Second)
	began := time.Now()
	for i := range slopeTimes / 10 {
		r.report.Number = uint64(i + 1)
		r.keeper.HandleReport(r.report)
	}
	s.ReportTime = time.Since(began) / time.Duration(slopeTimes/10*active)
}

// PrintScaling writes one table of slopes.
func PrintScaling(w io.Writer, all []ScalingCost) {
	row := func(name, format string, value func(ScalingCost) any) {
		_, _ = fmt.Fprintf(w, "%-58s", name)
		for _, s := range all {
			_, _ = fmt.Fprintf(w, "%12s", fmt.Sprintf(format, value(s)))
		}
		_, _ = fmt.Fprintln(w)
	}
	row("accounts", "%d", func(s ScalingCost) any { return s.Accounts })
	row("memory of an account, B", "%.0f", func(s ScalingCost) any { return s.AccountBytes })
	row("memory of a waiting request, B", "%.0f", func(s ScalingCost) any { return s.RequestBytes })
	row(fmt.Sprintf("memory of a worker (of %d), B", slopeWorkers), "%.0f", func(s ScalingCost) any { return s.WorkerBytes })
	row("processor time of a request that starts at once", "%v", func(s ScalingCost) any { return s.AdmitTime.Round(10 * time.Nanosecond) })
	row(fmt.Sprintf("processor time of a request that joins %d others", slopeQueue), "%v", func(s ScalingCost) any { return s.EnqueueTime.Round(10 * time.Nanosecond) })
	row("processor time of an account in a share report", "%v", func(s ScalingCost) any { return s.ReportTime.Round(10 * time.Nanosecond) })
	row("bytes of an account in a share report", "%.1f", func(s ScalingCost) any { return s.ReportAccountBytes })
	row(fmt.Sprintf("bytes of a share report of %d accounts or all", slopeActive), "%d", func(s ScalingCost) any { return s.ReportMessageBytes })
}
