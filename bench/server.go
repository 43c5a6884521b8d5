package bench

import (
	"container/heap"
	"fmt"
	"math"
	"sort"
	"time"
)

// job is one attempt to run a request on a server. A request that is replayed
// after the loss of a server has several jobs.
type job struct {
	request       *request
	priority      int
	server        *server
	startProgress float64 // progress of the server when the job started
	stepsToReport float64 // decoding steps from startProgress to the next progress report
	resumeFrom    int     // tokens that earlier jobs of the request delivered
	delivered     int     // tokens of the answer delivered so far, 0 before the first report
	running       bool
	ended         bool
	index         int // position in the heap of running jobs
	onStart       func()
	onToken       func(total int) // reports delivered: at the first token, then every progressTokens
	onDone        func()
	onLost        func() // called when the entry process detects that the server is lost
}

// progressTokens is the number of tokens between two progress reports of a job.
const progressTokens = 100

// nextReport returns the progress of the server at which the job reports next.
func (j *job) nextReport() float64 { return j.startProgress + j.stepsToReport }

// jobHeap orders the running jobs of a server by their next progress report.
type jobHeap []*job

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h jobHeap) Len() int { return len(h) }

// Less orders by the next progress report, then by request number.
func (h jobHeap) Less(a, b int) bool {
	if h[a].nextReport() != h[b].nextReport() {
		return h[a].nextReport() < h[b].nextReport()
	}
	return h[a].request.number < h[b].request.number
}

// Swap exchanges two jobs.
func (h jobHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].index, h[b].index = a, b
}

// Push adds a job.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.index = len(*h)
	*h = append(*h, j)
}

// Pop removes the last job.
func (h *jobHeap) Pop() any {
	old := *h
	j := old[len(old)-1]
	*h = old[:len(old)-1]
	return j
}

// server models a backend server, which is one pipeline of engines or one plain
// worker: slots that share the steps of a continuous batch, and a queue for each
// priority. All running jobs advance at the same pace, so one progress counter
// is enough.
type server struct {
	clock           *clock
	index           int
	name            string
	domain          int // index in Deployment.Domains
	slots           int
	baseStep        float64 // seconds of a step for a batch of one
	constantStep    bool    // the duration of a step does not depend on the batch size
	running         jobHeap
	waiting         [2][]*job
	progress        float64       // decoding steps since the simulation started
	updatedAt       time.Duration // time of the last advance
	timerGeneration uint64        // identifies the progress report scheduled last
	dead            bool
	jobSteps        float64 // decoding steps, summed over the jobs
	slotSeconds     float64 // seconds that slots were in use, summed over the slots
}

// stepSeconds returns the duration of a step at the present batch size.
func (s *server) stepSeconds() float64 {
	if s.constantStep {
		return s.baseStep
	}
	return batchStep(s.baseStep, max(len(s.running), 1), s.slots)
}

// nextStepSeconds returns the duration of a step with one more running job.
func (s *server) nextStepSeconds() float64 {
	if s.constantStep {
		return s.baseStep
	}
	return batchStep(s.baseStep, len(s.running)+1, s.slots)
}

// newServers returns the pipelines or the plain workers of a deployment.
func (d Deployment) newServers(c *clock, plain bool) []*server {
	var out []*server
	if plain {
		for i := range d.PlainWorkers {
			out = append(out, &server{
				clock: c, index: d.pipelines() + i, name: fmt.Sprintf("p%02d", i), domain: i % len(d.Domains),
				slots: d.PlainSlots, baseStep: plainStepSeconds, constantStep: true,
			})
		}
		return out
	}
	for i := range d.pipelines() {
		out = append(out, &server{
			clock: c, index: i, name: fmt.Sprintf("m%02d", i), domain: i % len(d.Domains),
			slots: d.Slots, baseStep: d.Accelerators[i%len(d.Accelerators)].StepSeconds,
		})
	}
	return out
}

// advance updates the counters to the present time.
func (s *server) advance() {
	if n := len(s.running); n > 0 && !s.dead {
		d := (s.clock.now - s.updatedAt).Seconds()
		s.progress += d / s.stepSeconds()
		s.jobSteps += d / s.stepSeconds() * float64(n)
		s.slotSeconds += d * float64(n)
	}
	s.updatedAt = s.clock.now
}

// add queues a job. On a dead server the job is reported as lost after
// dialTimeout.
func (s *server) add(j *job) {
	s.advance()
	j.server = s
	if s.dead {
		s.clock.after(dialTimeout, func() { s.notifyLost(j) })
		return
	}
	s.waiting[j.priority] = append(s.waiting[j.priority], j)
	s.startWaiting()
	s.scheduleReport()
}

// startWaiting starts waiting jobs in free slots, higher priority first.
func (s *server) startWaiting() {
	if s.dead {
		return
	}
	for len(s.running) < s.slots {
		priority := 1
		if len(s.waiting[1]) == 0 {
			priority = 0
		}
		if len(s.waiting[priority]) == 0 {
			return
		}
		j := s.waiting[priority][0]
		s.waiting[priority] = s.waiting[priority][1:]
		j.running, j.startProgress = true, s.progress
		// A replay computes the tokens delivered earlier as part of the prefill.
		j.stepsToReport = j.request.prefill + float64(j.resumeFrom)/prefillTokensPerStep + 1
		heap.Push(&s.running, j)
		j.onStart()
	}
}

// scheduleReport schedules the next progress report of the running jobs and
// invalidates the report scheduled before.
func (s *server) scheduleReport() {
	s.timerGeneration++
	if len(s.running) == 0 || s.dead {
		return
	}
	generation := s.timerGeneration
	seconds := max(0, s.running[0].nextReport()-s.progress) * s.stepSeconds()
	s.clock.after(time.Duration(math.Ceil(seconds*1e9)), func() {
		if generation == s.timerGeneration {
			s.reportProgress()
		}
	})
}

// reportProgress reports the progress of every job whose next report is due,
// and ends the jobs that are complete.
func (s *server) reportProgress() {
	s.advance()
	var ended []*job
	for len(s.running) > 0 && s.running[0].nextReport() <= s.progress+1e-9 {
		j := s.running[0]
		total := j.request.tokens
		if j.delivered == 0 {
			j.delivered = j.resumeFrom + 1
		} else {
			j.delivered = min(total, j.delivered+progressTokens)
		}
		if j.delivered >= total {
			heap.Pop(&s.running)
			j.ended = true
			ended = append(ended, j)
			continue
		}
		j.stepsToReport += float64(min(total-j.delivered, progressTokens))
		heap.Fix(&s.running, 0)
		j.onToken(j.delivered)
	}
	s.startWaiting()
	s.scheduleReport()
	for _, j := range ended {
		j.onDone()
	}
}

// cancel removes a job that is not complete.
func (s *server) cancel(j *job) {
	if j.ended {
		return
	}
	s.advance()
	j.ended = true
	if s.dead {
		return
	}
	if j.running {
		heap.Remove(&s.running, j.index)
	} else {
		waiting := s.waiting[j.priority]
		for i, o := range waiting {
			if o == j {
				s.waiting[j.priority] = append(waiting[:i:i], waiting[i+1:]...)
				break
			}
		}
	}
	s.startWaiting()
	s.scheduleReport()
}

const (
	// dialTimeout is the connection timeout of an entry process, as in package
	// engine.
	dialTimeout = time.Second
	// frameTimeout is the time without a frame after which a stage counts as
	// lost, as in package stream.
	frameTimeout = 2 * time.Second
)

// fail stops the server. Its jobs get neither tokens nor a connection error, as
// when a VM is lost, so they are reported as lost only after frameTimeout.
func (s *server) fail() {
	s.advance()
	s.dead = true
	jobs := append(append(append([]*job{}, s.running...), s.waiting[0]...), s.waiting[1]...)
	s.running, s.waiting = nil, [2][]*job{}
	s.scheduleReport()
	sort.Slice(jobs, func(a, b int) bool { return jobs[a].request.number < jobs[b].request.number })
	for _, j := range jobs {
		j.running = false
		s.clock.after(frameTimeout, func() { s.notifyLost(j) })
	}
}

// notifyLost reports a job as lost unless it has ended.
func (s *server) notifyLost(j *job) {
	if !j.ended {
		j.ended = true
		j.onLost()
	}
}

// restart brings a failed server back without jobs.
func (s *server) restart() {
	s.advance()
	s.dead = false
}

// freeSlots returns the slots that neither running nor waiting jobs need. It is
// negative while jobs wait.
func (s *server) freeSlots() int {
	if s.dead {
		return 0
	}
	return s.slots - len(s.running) - len(s.waiting[0]) - len(s.waiting[1])
}

// queueLength returns the number of waiting jobs.
func (s *server) queueLength() int { return len(s.waiting[0]) + len(s.waiting[1]) }
