package bench

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/cranberrybay/cranberrybay/limit"
	"github.com/cranberrybay/cranberrybay/queue"
)

// ScalingCost holds the memory and processor time that were measured with a
// number of accounts.
type ScalingCost struct {
	Accounts           int
	AccountBytes       float64       // memory of an account: limits, shares, history, fair queueing
	RequestBytes       float64       // memory of a waiting request, without the goroutine of its caller
	WorkerBytes        float64       // memory of a backend server in one queue
	AdmitTime          time.Duration // processor time of limiter and queue for a request that starts immediately
	EnqueueTime        time.Duration // processor time of the queue for a request that joins scalingQueueLength others
	ReportTime         time.Duration // processor time of handling and answering a share report, per account in it
	ReportAccountBytes float64       // size of a share report, per account in it
	ReportMessageBytes int           // size of a share report of scalingActiveAccounts accounts, or of all if fewer
}

const (
	scalingQueueLength    = 500 // waiting requests
	scalingWorkers        = 96  // the limit of the design page for one entry process
	scalingActiveAccounts = 21  // accounts that one entry process serves per second at the target size
	scalingIterations     = 20000
)

// MeasureScaling measures the costs for each number of accounts. The results
// depend on the machine.
func MeasureScaling(accounts ...int) []ScalingCost {
	out := make([]ScalingCost, 0, len(accounts))
	for _, n := range accounts {
		out = append(out, measureCosts(n))
	}
	return out
}

// heapInUse returns the bytes of heap in use after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// scalingFixture is the queue and the limiter of an entry process with a number
// of accounts.
type scalingFixture struct {
	now     time.Time
	names   []string
	queue   *queue.Queue
	limiter *limit.Limiter
	report  limit.Report
}

// newScalingFixture returns a fixture with n accounts and no servers.
func newScalingFixture(n int) *scalingFixture {
	f := &scalingFixture{now: epoch}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("account-%05d", i))
	}
	clock := func() time.Time { return f.now }
	f.queue = queue.New(queue.Config{Now: clock, Depth: 1 << 20})
	f.limiter = limit.New(limit.Config{
		Self: "entry-1", Incarnation: "entry-1/1", Now: clock,
		Limits: func(string) (limit.Limits, bool) {
			return limit.Limits{Amounts: limit.Amounts{limit.Rate: 1e6, limit.Tokens: 1e9, limit.Inflight: 1e6}, Weight: 1}, true
		},
	})
	return f
}

// newRequest returns a request that does not expire during the measurement.
func (f *scalingFixture) newRequest(account string) queue.Request {
	return queue.Request{Account: account, Weight: 1, Shape: queue.Shape{MaxTokens: 256, PromptBytes: 1000}, Deadline: f.now.Add(24 * time.Hour)}
}

// runRequest admits, runs and completes a request.
func (f *scalingFixture) runRequest(account string) {
	grant, err := f.limiter.Admit(account, f.queue.ExpectedTokens(account, queue.Shape{MaxTokens: 256, PromptBytes: 1000}))
	if err != nil {
		return
	}
	_, err = f.queue.Enqueue(f.newRequest(account), func(s *queue.Slot, err error) {
		if err == nil {
			s.Token()
			s.Done(100)
		}
	})
	if err != nil {
		return
	}
	grant.Done(100)
}

// measureCosts measures the costs with n accounts.
func measureCosts(n int) ScalingCost {
	s := ScalingCost{Accounts: n}
	f := newScalingFixture(n)
	before := heapInUse()
	for i := range scalingWorkers {
		f.queue.Observe(queue.Report{Name: fmt.Sprintf("worker-%02d", i), Slots: 16})
	}
	s.WorkerBytes = (heapInUse() - before) / scalingWorkers
	before = heapInUse()
	for _, a := range f.names {
		f.runRequest(a)
	}
	s.AccountBytes = (heapInUse() - before) / float64(n)
	start := time.Now()
	for i := range scalingIterations {
		f.runRequest(f.names[i%n])
	}
	s.AdmitTime = time.Since(start) / scalingIterations
	f.measureWaiting(&s)
	f.measureReports(&s)
	runtime.KeepAlive(f)
	return s
}

// measureWaiting measures waiting requests while all slots are in use.
func (f *scalingFixture) measureWaiting(s *ScalingCost) {
	for i := range scalingWorkers {
		f.queue.Observe(queue.Report{Name: fmt.Sprintf("worker-%02d", i), Slots: 16, Running: 16, Waiting: 16, MeasuredAt: f.now})
	}
	entries := make([]*queue.Entry, 0, scalingQueueLength)
	enqueue := func(i int) {
		e, err := f.queue.Enqueue(f.newRequest(f.names[i%len(f.names)]), func(*queue.Slot, error) {})
		if err == nil {
			entries = append(entries, e)
		}
	}
	before := heapInUse()
	for i := range scalingQueueLength {
		enqueue(i)
	}
	if len(entries) > 0 {
		s.RequestBytes = (heapInUse() - before) / float64(len(entries))
	}
	start := time.Now()
	for i := range scalingIterations / 10 {
		k := len(entries)
		enqueue(i)
		if len(entries) > k {
			entries[k].Cancel()
			entries = entries[:k]
		}
	}
	s.EnqueueTime = time.Since(start) / (scalingIterations / 10)
	for _, e := range entries {
		e.Cancel()
	}
}

// measureReports measures how the home of the accounts handles and answers a
// share report of the accounts in use.
func (f *scalingFixture) measureReports(s *ScalingCost) {
	active := min(scalingActiveAccounts, len(f.names))
	for _, a := range f.names[:active] {
		d := limit.Demand{Account: a, Want: limit.Amounts{12.5, 1250, 4}, Running: 4, AppliedShare: 1000}
		f.report.Demands = append(f.report.Demands, d)
	}
	f.report.From, f.report.Incarnation = "entry-2", "entry-2/1"
	s.ReportMessageBytes = f.report.Size()
	s.ReportAccountBytes = float64(s.ReportMessageBytes) / float64(active)
	// A new home grants no shares before a term has passed.
	f.now = f.now.Add(10 * time.Second)
	start := time.Now()
	for i := range scalingIterations / 10 {
		f.report.Number = uint64(i + 1)
		f.limiter.HandleReport(f.report)
	}
	s.ReportTime = time.Since(start) / time.Duration(scalingIterations/10*active)
}

// PrintScaling writes a table with a column for each number of accounts.
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
	row(fmt.Sprintf("memory of a worker (of %d), B", scalingWorkers), "%.0f", func(s ScalingCost) any { return s.WorkerBytes })
	row("processor time of a request that starts at once", "%v", func(s ScalingCost) any { return s.AdmitTime.Round(10 * time.Nanosecond) })
	row(fmt.Sprintf("processor time of a request that joins %d others", scalingQueueLength), "%v", func(s ScalingCost) any { return s.EnqueueTime.Round(10 * time.Nanosecond) })
	row("processor time of an account in a share report", "%v", func(s ScalingCost) any { return s.ReportTime.Round(10 * time.Nanosecond) })
	row("bytes of an account in a share report", "%.1f", func(s ScalingCost) any { return s.ReportAccountBytes })
	row(fmt.Sprintf("bytes of a share report of %d accounts or all", scalingActiveAccounts), "%d", func(s ScalingCost) any { return s.ReportMessageBytes })
}
