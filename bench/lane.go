package bench

import (
	"container/heap"
	"fmt"
	"math"
	"sort"
	"time"
)

// job is one attempt of a request on a server.
type job struct {
	rq       *request
	priority int
	lane     *lane
	start    float64 // progress of the lane at which the job started
	steps    float64 // decoding steps until the next mark
	from     int     // tokens that an earlier attempt delivered
	sent     int     // tokens delivered by this attempt
	running  bool
	over     bool
	index    int
	begun    func()
	token    func(total int) // called at the first token and at every markTokens
	done     func()
	lost     func() // called when the owner notices that the server is gone
}

// markTokens is the distance of progress callbacks of a long answer.
const markTokens = 100

// due returns the progress at which the next mark is reached.
func (j *job) due() float64 { return j.start + j.steps }

type running []*job

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (r running) Len() int { return len(r) }

// Less orders by the next mark.
func (r running) Less(a, b int) bool {
	if r[a].due() != r[b].due() {
		return r[a].due() < r[b].due()
	}
	return r[a].rq.number < r[b].rq.number
}

// Swap exchanges two jobs.
func (r running) Swap(a, b int) {
	r[a], r[b] = r[b], r[a]
	r[a].index, r[b].index = a, b
}

// Push adds a job.
func (r *running) Push(x any) {
	j := x.(*job)
	j.index = len(*r)
	*r = append(*r, j)
}

// Pop removes the last job.
func (r *running) Pop() any {
	old := *r
	j := old[len(old)-1]
	*r = old[:len(old)-1]
	return j
}

// lane models one pipeline of engines, or one plain worker: slots that share
// the steps of a continuous batch, and a queue by priority. Every running job
// advances at the same pace, so one progress counter serves all of them.
type lane struct {
	clock    *clock
	number   int
	name     string
	domain   int
	slots    int
	base     float64
	flat     bool // the pace does not depend on the batch
	running  running
	waiting  [2][]*job
	progress float64 // steps since the start
	at       time.Duration
	turn     uint64
	dead     bool
	work     float64 // steps done for all jobs
	busy     float64 // slot seconds used
}

func (l *lane) step() float64 {
	if l.flat {
		return l.base
	}
	return batchStep(l.base, max(len(l.running), 1), l.slots)
}

// next returns the seconds of a step with one more job.
func (l *lane) next() float64 {
	if l.flat {
		return l.base
	}
	return batchStep(l.base, len(l.running)+1, l.slots)
}

// newLanes returns the pipelines or the plain workers of a shape.
func (s Deployment) newLanes(c *clock, plain bool) []*lane {
	var out []*lane
	if plain {
		for i := range s.PlainWorkers {
			out = append(out, &lane{
				clock: c, number: s.pipelines() + i, name: fmt.Sprintf("p%02d", i), domain: i % len(s.Domains),
				slots: s.PlainSlots, base: plainStep, flat: true,
			})
		}
		return out
	}
	for i := range s.pipelines() {
		out = append(out, &lane{
			clock: c, number: i, name: fmt.Sprintf("m%02d", i), domain: i % len(s.Domains),
			slots: s.Slots, base: s.Accelerators[i%len(s.Accelerators)].StepSeconds,
		})
	}
	return out
}

// advance brings progress and work up to now.
func (l *lane) advance() {
	if n := len(l.running); n > 0 && !l.dead {
		d := (l.clock.now - l.at).Seconds()
		l.progress += d / l.step()
		l.work += d / l.step() * float64(n)
		l.busy += d * float64(n)
	}
	l.at = l.clock.now
}

// add takes a job; a dead lane keeps it without an answer.
func (l *lane) add(j *job) {
	l.advance()
	j.lane = l
	if l.dead {
		l.clock.after(dialTimeout, func() { l.notice(j) })
		return
	}
	l.waiting[j.priority] = append(l.waiting[j.priority], j)
	l.fill()
	l.schedule()
}

// fill starts waiting jobs in free slots, higher priority first.
func (l *lane) fill() {
	if l.dead {
		return
	}
	for len(l.running) < l.slots {
		p := 1
		if len(l.waiting[1]) == 0 {
			p = 0
		}
		if len(l.waiting[p]) == 0 {
			return
		}
		j := l.waiting[p][0]
		l.waiting[p] = l.waiting[p][1:]
		j.running, j.start = true, l.progress
		// A replayed job computes its accepted tokens again as prefill.
		j.steps = j.rq.prefill + float64(j.from)/prefillSpeed + 1
		heap.Push(&l.running, j)
		j.begun()
	}
}

// schedule plans the next mark.
func (l *lane) schedule() {
	l.turn++
	if len(l.running) == 0 || l.dead {
		return
	}
	turn := l.turn
	left := max(0, l.running[0].due()-l.progress) * l.step()
	l.clock.after(time.Duration(math.Ceil(left*1e9)), func() {
		if turn == l.turn {
			l.mark()
		}
	})
}

// mark reports progress of every job that has reached its next mark.
func (l *lane) mark() {
	l.advance()
	var ended []*job
	for len(l.running) > 0 && l.running[0].due() <= l.progress+1e-9 {
		j := l.running[0]
		total := j.rq.tokens
		if j.sent == 0 {
			j.sent = j.from + 1
		} else {
			j.sent = min(total, j.sent+markTokens)
		}
		if j.sent >= total {
			heap.Pop(&l.running)
			j.over = true
			ended = append(ended, j)
			continue
		}
		j.steps += float64(min(total-j.sent, markTokens))
		heap.Fix(&l.running, 0)
		j.token(j.sent)
	}
	l.fill()
	l.schedule()
	for _, j := range ended {
		j.done()
	}
}

// cancel ends a job before its end.
func (l *lane) cancel(j *job) {
	if j.over {
		return
	}
	l.advance()
	j.over = true
	if l.dead {
		return
	}
	if j.running {
		heap.Remove(&l.running, j.index)
	} else {
		w := l.waiting[j.priority]
		for i, o := range w {
			if o == j {
				l.waiting[j.priority] = append(w[:i:i], w[i+1:]...)
				break
			}
		}
	}
	l.fill()
	l.schedule()
}

const (
	// dialTimeout is when an entry process gives up connecting (package engine).
	dialTimeout = time.Second
	// frameTimeout is the silence taken as the death of a stage (package stream).
	frameTimeout = 2 * time.Second
)

// kill stops the lane. Its jobs get no further answer and no connection error,
// as when a VM vanishes.
func (l *lane) kill() {
	l.advance()
	l.dead = true
	jobs := append(append(append([]*job{}, l.running...), l.waiting[0]...), l.waiting[1]...)
	l.running, l.waiting = nil, [2][]*job{}
	l.schedule()
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].rq.number < jobs[b].rq.number })
	for _, j := range jobs {
		j.running = false
		l.clock.after(frameTimeout, func() { l.notice(j) })
	}
}

func (l *lane) notice(j *job) {
	if !j.over {
		j.over = true
		j.lost()
	}
}

// revive starts the lane empty.
func (l *lane) revive() {
	l.advance()
	l.dead = false
}

func (l *lane) free() int {
	if l.dead {
		return 0
	}
	return l.slots - len(l.running) - len(l.waiting[0]) - len(l.waiting[1])
}

func (l *lane) queued() int { return len(l.waiting[0]) + len(l.waiting[1]) }
