// Package pool runs the background work of a process on a fixed number of
// workers. Tasks are periodic or single; each periodic task has a stored time
// at which it is next due, and never runs twice at once.
//
// Lock order: a task's function may take any other lock; the pool holds its
// own lock only while it changes its table.
package pool

import (
	"container/heap"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Config holds the size of a pool.
type Config struct {
	Workers int            // tasks that run at once; 0 means defaultWorkers
	OnPanic func(v any)    // told what a task panicked with; nil panics again
	Jitter  func() float64 // in [0, 1); spreads periodic tasks; nil for none
}

const defaultWorkers = 8

// Task is one piece of background work.
type Task struct {
	name     string
	run      func(ctx context.Context)
	interval func() time.Duration // nil for a single task
	due      time.Time
	index    int // place in the heap, or -1 while it runs
	again    bool
	removed  bool
	seconds  *metrics.FloatCounter
}

// Pool is a set of workers over one table of tasks ordered by due time.
type Pool struct {
	cfg    Config
	mu     sync.Mutex
	tasks  taskHeap
	wake   chan struct{}
	done   sync.WaitGroup
	cancel context.CancelFunc
	ready  chan *Task
	ctx    context.Context
}

// New returns a pool. Tasks may be added before Start.
func New(cfg Config) *Pool {
	if cfg.Workers == 0 {
		cfg.Workers = defaultWorkers
	}
	if cfg.Jitter == nil {
		cfg.Jitter = func() float64 { return 0 }
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{cfg: cfg, wake: make(chan struct{}, 1), ready: make(chan *Task), ctx: ctx, cancel: cancel}
}

// Every adds a task that runs at once and then again when the interval after
// its end has passed. The interval is asked each time.
func (p *Pool) Every(name string, interval func() time.Duration, run func(ctx context.Context)) *Task {
	return p.add(&Task{name: name, run: run, interval: interval, due: time.Now()})
}

// At adds a task that runs once, at the given time.
func (p *Pool) At(name string, due time.Time, run func(ctx context.Context)) *Task {
	return p.add(&Task{name: name, run: run, due: due})
}

func (p *Pool) add(t *Task) *Task {
	t.seconds = metrics.GetOrCreateFloatCounter(`cranberrybay_pool_seconds_total{task="` + t.name + `"}`)
	p.mu.Lock()
	heap.Push(&p.tasks, t)
	p.mu.Unlock()
	p.signal()
	return t
}

// RunNow makes a periodic task run as soon as a worker is free. A task that runs
// at this moment runs once more after its end.
func (p *Pool) RunNow(t *Task) {
	p.mu.Lock()
	switch {
	case t.removed:
	case t.index < 0:
		t.again = true
	default:
		t.due = time.Now()
		heap.Fix(&p.tasks, t.index)
	}
	p.mu.Unlock()
	p.signal()
}

// Remove takes a task out of the pool. A run that has begun goes on.
func (p *Pool) Remove(t *Task) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.removed = true
	if t.index >= 0 {
		heap.Remove(&p.tasks, t.index)
	}
}

// Start starts the workers.
func (p *Pool) Start() {
	p.done.Add(p.cfg.Workers + 1)
	go p.schedule()
	for range p.cfg.Workers {
		go p.work()
	}
}

// Stop cancels the context of running tasks and waits for their end.
func (p *Pool) Stop() {
	p.cancel()
	p.done.Wait()
}

func (p *Pool) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// schedule hands due tasks to the workers.
func (p *Pool) schedule() {
	defer p.done.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for p.ctx.Err() == nil {
		t, wait := p.next()
		if t != nil {
			select {
			case p.ready <- t:
			case <-p.ctx.Done():
			}
			continue
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-p.wake:
		case <-p.ctx.Done():
		}
	}
}

// next takes the first due task, or returns the time until one is due.
func (p *Pool) next() (*Task, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.tasks) == 0 {
		return nil, time.Hour
	}
	if wait := time.Until(p.tasks[0].due); wait > 0 {
		return nil, wait
	}
	return heap.Pop(&p.tasks).(*Task), 0
}

func (p *Pool) work() {
	defer p.done.Done()
	for {
		select {
		case t := <-p.ready:
			p.runTask(t)
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *Pool) runTask(t *Task) {
	start := time.Now()
	defer func() {
		if v := recover(); v != nil {
			if p.cfg.OnPanic == nil {
				panic(v)
			}
			p.cfg.OnPanic(fmt.Sprintf("task %s: %v", t.name, v))
		}
		t.seconds.Add(time.Since(start).Seconds())
		p.finish(t)
	}()
	t.run(p.ctx)
}

// finish puts a periodic task back into the table.
func (p *Pool) finish(t *Task) {
	p.mu.Lock()
	defer p.signal()
	defer p.mu.Unlock()
	if t.removed || t.interval == nil {
		return
	}
	t.due = time.Now()
	if !t.again {
		wait := t.interval()
		t.due = t.due.Add(wait + time.Duration(p.cfg.Jitter()*float64(wait)/10))
	}
	t.again = false
	heap.Push(&p.tasks, t)
}

// taskHeap orders tasks by due time.
type taskHeap []*Task

func (h taskHeap) Len() int           { return len(h) }
func (h taskHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }
func (h taskHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *taskHeap) Push(x any) {
	t := x.(*Task)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *taskHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}
