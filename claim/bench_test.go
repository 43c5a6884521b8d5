package claim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/table"
)

// tableDelay is the time that the fake table takes for one commit.
const tableDelay = 2 * time.Millisecond

// serialTable returns a table that handles one commit at a time, at most 500/s.
func serialTable() (*fakes.Table, *table.Client) {
	t := fakes.NewTable()
	c := t.Client()
	var mu sync.Mutex
	return t, table.New(table.Config{Get: c.Get, Scan: c.Scan, Commit: func(ctx context.Context, b table.Batch) (uint64, error) {
		mu.Lock()
		defer mu.Unlock()
		time.Sleep(tableDelay)
		return c.Commit(ctx, b)
	}})
}

// parallel runs do b.N times, spread over a number of concurrent callers.
func parallel(b *testing.B, callers int, do func(n int)) {
	var wg sync.WaitGroup
	next := make(chan int)
	for range callers {
		wg.Go(func() {
			for n := range next {
				do(n)
			}
		})
	}
	b.ResetTimer()
	for n := range b.N {
		next <- n
	}
	close(next)
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
}

// runOnce makes a claim, starts it and records its outcome.
func runOnce(b *testing.B, manager *claim.Manager, k claim.Key) {
	ctx := context.Background()
	c, _, err := manager.Begin(ctx, k, digest)
	if err == nil {
		err = manager.Start(ctx, c)
	}
	if err == nil {
		err = manager.Finish(ctx, c, order)
	}
	if err != nil {
		b.Error(err)
	}
}

// BenchmarkClaims measures the throughput of claims with their outcomes, by group
// commit and with one transaction for each row.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("group/%d", callers), func(b *testing.B) {
			t, c := serialTable()
			manager := claim.New(claim.Config{Table: c, Holder: "a"})
			parallel(b, callers, func(n int) { runOnce(b, manager, claim.Key{Key: fmt.Sprint(n)}) })
			b.ReportMetric(float64(t.Counts().Writes)/float64(b.N), "writes/claim")
		})
		b.Run(fmt.Sprintf("single/%d", callers), func(b *testing.B) {
			t, c := serialTable()
			parallel(b, callers, func(n int) {
				key := fmt.Sprint("claim/", n)
				var first table.Batch
				rev, err := c.Commit(context.Background(), *first.Expect(key, table.Absent).Put(key, order.Body))
				if err == nil {
					var second table.Batch
					_, err = c.Commit(context.Background(), *second.Expect(key, rev).Put(key, order.Body))
				}
				if err != nil {
					b.Error(err)
				}
			})
			b.ReportMetric(float64(t.Counts().Writes)/float64(b.N), "writes/claim")
		})
	}
}

// BenchmarkLatency measures the latency that a claim adds to a call, with a table
// that answers at once and with one that takes 2 ms, and that of a ticket.
func BenchmarkLatency(b *testing.B) {
	for _, delay := range []time.Duration{0, tableDelay} {
		t := fakes.NewTable()
		t.SetFaults(fakes.PlatformFaults{Delay: delay})
		manager := claim.New(claim.Config{Table: t.Client(), Holder: "a"})
		b.Run(fmt.Sprintf("claim/table=%v", delay), func(b *testing.B) {
			b.ReportAllocs()
			for n := range b.N {
				runOnce(b, manager, claim.Key{Service: fmt.Sprint(b.N), Key: fmt.Sprint(n)})
			}
		})
	}
	b.Run("ticket", func(b *testing.B) {
		b.ReportAllocs()
		var manager *claim.Manager
		for n := range b.N {
			if n%40000 == 0 { // a manager remembers at most 50,000 used tickets
				manager = claim.New(claim.Config{Table: fakes.NewTable().Client(), Holder: "a"})
			}
			key, _ := manager.IssueTicket("hotel")
			runOnce(b, manager, claim.Key{Account: "hotel", Key: key})
		}
	})
}
