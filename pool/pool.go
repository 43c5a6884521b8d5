// Package pool runs the background tasks of a process on a fixed number of workers.
// A task runs periodically or once. Runs of one periodic task never overlap.
//
// The pool does not hold its lock while a task runs, so that the function of a task
// may take any lock.
package pool

import (
	"container/heap"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Config holds the settings of a Pool.
type Config struct {
	Workers int            // largest number of tasks that run concurrently; 0 means defaultWorkers
	OnPanic func(v any)    // called with a description of a panic in a task; nil panics again
	Jitter  func() float64 // returns a value in [0, 1) that lengthens each interval by up to a tenth; nil for no jitter
}

const defaultWorkers = 8

// Task is a periodic or single piece of background work.
type Task struct {
	name     string
	run      func(ctx context.Context)
	interval func() time.Duration // nil for a task that runs once
	due      time.Time
	index    int                   // index in the heap; -1 if the task is not queued, as while it runs
	runAgain bool                  // RunNow was called during a run
	removed  bool                  // Remove was called
	seconds  *metrics.FloatCounter // total duration of the runs
}

// Pool is a set of workers with a queue of tasks ordered by due time.
type Pool struct {
	cfg      Config
	mu       sync.Mutex
	tasks    taskHeap
	changed  chan struct{}  // tells the scheduler that the queue has changed
	running  sync.WaitGroup // the scheduler and the workers
	cancel   context.CancelFunc
	dueTasks chan *Task // from the scheduler to the workers
	ctx      context.Context
}

// New returns a Pool. Tasks may be added before Start.
func New(cfg Config) *Pool {
	if cfg.Workers == 0 {
		cfg.Workers = defaultWorkers
	}
	if cfg.Jitter == nil {
		cfg.Jitter = func() float64 { return 0 }
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{cfg: cfg, changed: make(chan struct{}, 1), dueTasks: make(chan *Task), ctx: ctx, cancel: cancel}
}

// Every adds a periodic task. Its first run is due at once, each further run when
// the interval has passed since the end of the last one. The function interval is
// called after each run, while the pool holds its lock, so it must not call the pool.
func (p *Pool) Every(name string, interval func() time.Duration, run func(ctx context.Context)) *Task {
	return p.add(&Task{name: name, run: run, interval: interval, due: time.Now()})
}

// At adds a task that runs once, at the given time.
func (p *Pool) At(name string, due time.Time, run func(ctx context.Context)) *Task {
	return p.add(&Task{name: name, run: run, due: due})
}

// add queues a task and creates its metric.
func (p *Pool) add(t *Task) *Task {
	t.seconds = metrics.GetOrCreateFloatCounter(`cranberrybay_pool_seconds_total{task="` + t.name + `"}`)
	p.mu.Lock()
	heap.Push(&p.tasks, t)
	p.mu.Unlock()
	p.notify()
	return t
}

// RunNow makes a periodic task run as soon as a worker is free. If the task is
// running, it runs once more afterwards.
func (p *Pool) RunNow(t *Task) {
	p.mu.Lock()
	switch {
	case t.removed:
	case t.index < 0:
		t.runAgain = true
	default:
		t.due = time.Now()
		heap.Fix(&p.tasks, t.index)
	}
	p.mu.Unlock()
	p.notify()
}

// Remove removes a task from the pool. A run in progress is not interrupted.
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
	p.running.Add(p.cfg.Workers + 1)
	go p.schedule()
	for range p.cfg.Workers {
		go p.runWorker()
	}
}

// Stop cancels the context of running tasks and waits until they and the workers
// have ended.
func (p *Pool) Stop() {
	p.cancel()
	p.running.Wait()
}

// notify makes the scheduler look at the queue again.
func (p *Pool) notify() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// schedule passes due tasks to the workers until the pool is stopped.
func (p *Pool) schedule() {
	defer p.running.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for p.ctx.Err() == nil {
		t, wait := p.takeDue()
		if t != nil {
			select {
			case p.dueTasks <- t:
			case <-p.ctx.Done():
			}
			continue
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-p.changed:
		case <-p.ctx.Done():
		}
	}
}

// takeDue removes and returns the first due task, or returns the time until one is
// due.
func (p *Pool) takeDue() (*Task, time.Duration) {
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

// runWorker runs due tasks until the pool is stopped.
func (p *Pool) runWorker() {
	defer p.running.Done()
	for {
		select {
		case t := <-p.dueTasks:
			p.runTask(t)
		case <-p.ctx.Done():
			return
		}
	}
}

// runTask runs a task, reports its panic and measures its duration.
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
		p.reschedule(t)
	}()
	t.run(p.ctx)
}

// reschedule returns a periodic task to the queue after a run.
func (p *Pool) reschedule(t *Task) {
	p.mu.Lock()
	defer p.notify()
	defer p.mu.Unlock()
	if t.removed || t.interval == nil {
		return
	}
	t.due = time.Now()
	if !t.runAgain {
		wait := t.interval()
		t.due = t.due.Add(wait + time.Duration(p.cfg.Jitter()*float64(wait)/10))
	}
	t.runAgain = false
	heap.Push(&p.tasks, t)
}

// taskHeap implements heap.Interface; it orders tasks by due time.
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
