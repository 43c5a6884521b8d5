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

// tableDelay is the time that the stand-in takes for one commit.
const tableDelay = 2 * time.Millisecond

// serial returns a table that takes one commit at a time, at most 500 a second.
func serial() (*fakes.Table, *table.Client) {
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

// parallel runs b.N pieces of work on so many callers.
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

func once(b *testing.B, book *claim.Manager, k claim.Key) {
	ctx := context.Background()
	c, _, err := book.Begin(ctx, k, digest)
	if err == nil {
		err = book.Start(ctx, c)
	}
	if err == nil {
		err = book.Finish(ctx, c, whole)
	}
	if err != nil {
		b.Error(err)
	}
}

// BenchmarkClaims measures claims with their outcomes, by group commit and with
// a transaction for each row.
func BenchmarkClaims(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("group/%d", callers), func(b *testing.B) {
			t, c := serial()
			book := claim.New(claim.Config{Table: c, Holder: "a"})
			parallel(b, callers, func(n int) { once(b, book, claim.Key{Key: fmt.Sprint(n)}) })
			b.ReportMetric(float64(t.Counts().Writes)/float64(b.N), "writes/claim")
		})
		b.Run(fmt.Sprintf("single/%d", callers), func(b *testing.B) {
			t, c := serial()
			parallel(b, callers, func(n int) {
				key := fmt.Sprint("claim/", n)
				var first table.Batch
				rev, err := c.Commit(context.Background(), *first.Expect(key, table.Absent).Put(key, whole.Body))
				if err == nil {
					var second table.Batch
					_, err = c.Commit(context.Background(), *second.Expect(key, rev).Put(key, whole.Body))
				}
				if err != nil {
					b.Error(err)
				}
			})
			b.ReportMetric(float64(t.Counts().Writes)/float64(b.N), "writes/claim")
		})
	}
}

// BenchmarkLatency measures what one claim and one ticket add to a call, with a
// table that answers at once and one that takes 2 ms.
func BenchmarkLatency(b *testing.B) {
	for _, delay := range []time.Duration{0, tableDelay} {
		t := fakes.NewTable()
		t.SetFaults(fakes.Faults{Delay: delay})
		book := claim.New(claim.Config{Table: t.Client(), Holder: "a"})
		b.Run(fmt.Sprintf("claim/table=%v", delay), func(b *testing.B) {
			b.ReportAllocs()
			for n := range b.N {
				once(b, book, claim.Key{Service: fmt.Sprint(b.N), Key: fmt.Sprint(n)})
			}
		})
	}
	b.Run("ticket", func(b *testing.B) {
		b.ReportAllocs()
		var book *claim.Manager
		for n := range b.N {
			if n%40000 == 0 { // a book remembers 50,000 used tickets
				book = claim.New(claim.Config{Table: fakes.NewTable().Client(), Holder: "a"})
			}
			key, _ := book.IssueTicket("hotel")
			once(b, book, claim.Key{Account: "hotel", Key: key})
		}
	})
}
