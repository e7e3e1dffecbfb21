package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	tw "github.com/tamarindworks/tamarindworks"
	"github.com/tamarindworks/tamarindworks/maintenance"
	"github.com/tamarindworks/tamarindworks/run"
	"github.com/tamarindworks/tamarindworks/schedule"
)

type (
	// demandModel simulates demand that rotates among pools of machines, and the
	// partition of a hall. It places subtasks with schedule.Place and moves machines as
	// maintenance.Decide decides; the submissions and machines are simulated.
	demandModel struct {
		rand             *rand.Rand
		policy           schedulePolicy
		scenario         demandScenario
		load             float64
		now              time.Duration
		machines         []*modelMachine
		pools            []tw.PoolID
		submissions      []*modelSubmission
		vacating         map[tw.InstanceID]maintenance.Order
		lastSubmissionID int
		// runTimes are the learned run times of each pool.
		runTimes map[tw.PoolID]*schedule.RunTimes
	}

	// modelMachine is a machine with its worker.
	modelMachine struct {
		tw.Machine
		free tw.Resources
		runs int
		// moveEndsAt is when the current move ends.
		moveEndsAt time.Duration
	}

	// modelSubmission is a simulated submission: steps that run one after the other.
	modelSubmission struct {
		id          tw.SubmissionID
		pool        tw.PoolID
		work        modelWork
		arrivedAt   time.Duration
		objective   time.Duration
		need        tw.Resources
		steps       []modelStep
		currentStep int // index into steps
		waiting     []tw.SubtaskID
		running     []*modelRun
		// begun: a subtask of it has started. inTime: the policy expects it to end in time.
		begun, inTime bool
		// ended counts the subtasks of the current step that have ended.
		ended int
		// totalWait sums, over the subtasks, the time from when each could start until
		// it did.
		totalWait time.Duration
		readyAt   time.Duration
		endedAt   time.Duration // zero if it has not ended
	}

	modelStep struct {
		durations []time.Duration
		// estimate is the scheduler's estimate of the duration of each subtask.
		estimate time.Duration
	}

	modelRun struct {
		machine *modelMachine
		endsAt  time.Duration
	}
)

// Parameters of the model, close to those of a real deployment.
const (
	modelTick      = 50 * time.Millisecond
	decideInterval = 100 * time.Millisecond
	simulatedTime  = 60 * time.Second
	// The pool with the peak demand gets peakFactor times the mean demand, each other one
	// offPeakFactor times.
	peakFactor    = 4.0
	offPeakFactor = 0.05
	moveTime      = 1500 * time.Millisecond

	modelPoolCount = 4
	modelHallCount = 3
	modelRackSize  = 4     // machines per rack
	machineCPU     = 16000 // millicores
	machineMemory  = 32000 // MB
	// modelWidth subtasks are a typical step, and typicalSteps steps a submission.
	modelWidth   = 8
	typicalSteps = 2
	// A submission's objective is modelStretch times the duration of its steps plus
	// modelTarget.
	modelStretch = 1.6
	modelTarget  = 600 * time.Millisecond
	// usableFill is the share of a machine's CPU that runs are assumed to fill when the
	// number of machines that a pool needs is computed.
	usableFill = 0.85
)

// modelStart is the simulated time at the start.
var modelStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newDemandModel(seed uint64, policy schedulePolicy, scenario demandScenario, load float64) *demandModel {
	m := &demandModel{
		rand: rand.New(rand.NewPCG(seed, 7)), policy: policy, scenario: scenario, load: load,
		vacating: map[tw.InstanceID]maintenance.Order{}, runTimes: map[tw.PoolID]*schedule.RunTimes{},
	}
	for n := range modelPoolCount {
		pool := tw.PoolID(fmt.Sprintf("pool-%d", n))
		m.pools, m.runTimes[pool] = append(m.pools, pool), &schedule.RunTimes{}
	}
	for n := range scenario.machines {
		hall := n % modelHallCount
		rack := fmt.Sprintf("r%d-%d", hall, n/modelHallCount/modelRackSize)
		m.machines = append(m.machines, &modelMachine{
			Machine: tw.Machine{
				ID: tw.InstanceID(fmt.Sprintf("m%02d", n)), Pool: m.pools[n%modelPoolCount], State: tw.MachineUp,
				Hall: tw.HallID(fmt.Sprintf("hall-%d", hall)), Labels: []string{rack}, Worker: tw.WorkerID(fmt.Sprintf("w%02d", n)),
				Capacity: tw.Resources{CPU: machineCPU, MemoryMB: machineMemory},
			},
			free: tw.Resources{CPU: machineCPU, MemoryMB: machineMemory},
		})
	}
	return m
}

// simulate runs the simulation to its end and returns all submissions.
func (m *demandModel) simulate() []*modelSubmission {
	for ; m.now < simulatedTime; m.now += modelTick {
		m.addArrivals()
		m.finish()
		if m.now%decideInterval == 0 {
			m.moveMachines()
		}
		for _, pool := range m.pools {
			m.place(pool)
		}
	}
	return m.submissions
}

// partitioned reports whether a machine is partitioned now.
func (m *demandModel) partitioned(machine *modelMachine) bool {
	return machine.Hall == "hall-0" && m.scenario.partition.contains(m.now)
}

// addArrivals adds the submissions that arrive, at random, in a tick.
func (m *demandModel) addArrivals() {
	total := m.load * m.scenario.meanLoad * float64(m.scenario.machines) * machineCPU
	peakPool := int(m.now/m.scenario.rotation) % modelPoolCount
	for i := range m.pools {
		mean := total / modelPoolCount / m.workOf(i).perSubmission()
		rate := offPeakFactor * mean
		if i == peakPool {
			rate = peakFactor * mean
		}
		for _, burst := range m.scenario.bursts {
			if burst.pool == i && burst.contains(m.now) {
				rate *= burst.factor
			}
		}
		for chance := rate * modelTick.Seconds(); chance > 0; chance-- {
			if m.rand.Float64() < chance {
				m.submissions = append(m.submissions, m.newSubmission(i))
			}
		}
	}
}

// workOf returns the typical work of a pool.
func (m *demandModel) workOf(pool int) modelWork { return m.scenario.work[pool%len(m.scenario.work)] }

func (m *demandModel) newSubmission(pool int) *modelSubmission {
	m.lastSubmissionID++
	work := m.workOf(pool)
	s := &modelSubmission{
		id: tw.SubmissionID(fmt.Sprintf("%016x", m.lastSubmissionID)), pool: m.pools[pool], work: work, arrivedAt: m.now, readyAt: m.now,
		need: tw.Resources{CPU: tw.Millicores(work.cpu * m.randomFactor(0.45)), MemoryMB: 500},
	}
	var criticalPath time.Duration
	for range 1 + m.rand.IntN(3) {
		step := modelStep{}
		typical := time.Duration(float64(work.runTime) * m.randomFactor(0.5))
		for range max(1, int(modelWidth*m.randomFactor(0.6))) {
			step.durations = append(step.durations, time.Duration(float64(typical)*m.randomFactor(0.15)))
		}
		step.estimate = time.Duration(float64(typical) * m.randomFactor(m.scenario.estimateSpread))
		criticalPath += slices.Max(step.durations)
		s.steps = append(s.steps, step)
	}
	s.objective = time.Duration(modelStretch*float64(criticalPath)) + modelTarget
	s.queueStep()
	return s
}

// randomFactor returns a log-normal random factor with median 1.
func (m *demandModel) randomFactor(sigma float64) float64 {
	return math.Exp(sigma * m.rand.NormFloat64())
}

// queueStep adds the subtasks of the submission's current step to those waiting.
func (s *modelSubmission) queueStep() {
	for n := range s.steps[s.currentStep].durations {
		s.waiting = append(s.waiting, tw.SubtaskID{Submission: s.id, Step: s.currentStep, Index: n})
	}
}

// finish processes the ends of runs on machines that are not partitioned, and queues the
// next steps.
func (m *demandModel) finish() {
	for _, s := range m.submissions {
		s.running = slices.DeleteFunc(s.running, func(r *modelRun) bool {
			if r.endsAt > m.now || m.partitioned(r.machine) {
				return false
			}
			r.machine.free = r.machine.free.Plus(s.need)
			r.machine.runs--
			s.ended++
			return true
		})
		if s.endedAt != 0 || len(s.running) > 0 || len(s.waiting) > 0 {
			continue
		}
		m.runTimes[s.pool].Add(s.steps[s.currentStep].estimate, s.steps[s.currentStep].durations[0])
		s.currentStep++
		s.ended = 0
		if s.currentStep == len(s.steps) {
			s.endedAt = m.now
			continue
		}
		s.readyAt = m.now
		s.queueStep()
	}
}

// workLeft returns the estimated remaining work of a submission, in millicore-seconds.
func (m *demandModel) workLeft(s *modelSubmission) float64 {
	work := 0.0
	for i, step := range s.steps[s.currentStep:] {
		left := len(step.durations)
		if i == 0 {
			left -= s.ended
		}
		work += m.estimate(s, s.currentStep+i).Seconds() * float64(left) * float64(s.need.CPU)
	}
	return work
}

// estimate is the expected run time of a step's subtasks: that of its ended subtasks, or else an
// estimate.
func (m *demandModel) estimate(s *modelSubmission, step int) time.Duration {
	if step < s.currentStep || step == s.currentStep && s.ended > 0 {
		return s.steps[step].durations[0]
	}
	if !m.policy.corrects {
		return s.steps[step].estimate
	}
	return m.runTimes[s.pool].Expected(s.steps[step].estimate)
}

// place starts waiting subtasks of a pool on its workers.
func (m *demandModel) place(pool tw.PoolID) {
	if m.policy.selects != nil {
		m.policy.selects(m, pool)
	}
	byID := map[tw.SubmissionID]*modelSubmission{}
	var groups []*schedule.Group
	for _, s := range m.submissions {
		if s.pool != pool || len(s.waiting) == 0 {
			continue
		}
		byID[s.id] = s
		groups = append(groups, &schedule.Group{
			Step: &tw.Step{Count: len(s.waiting), Need: s.need}, Subtasks: s.waiting, Urgency: m.policy.urgency(m, s),
		})
	}
	if len(groups) == 0 {
		return
	}
	byWorker := map[tw.WorkerID]*modelMachine{}
	for _, p := range schedule.Place(groups, m.workers(pool, byWorker), nil) {
		m.start(byID[p.Subtask.Submission], p.Subtask, byWorker[p.Worker.ID])
	}
}

// workers returns a pool's usable machines as workers for the scheduler, and adds the
// machines to byWorker.
func (m *demandModel) workers(pool tw.PoolID, byWorker map[tw.WorkerID]*modelMachine) []*schedule.Worker {
	var out []*schedule.Worker
	for i, machine := range m.machines {
		_, vacating := m.vacating[machine.ID]
		if machine.Pool != pool || machine.State != tw.MachineUp || vacating || m.partitioned(machine) {
			continue
		}
		byWorker[machine.Worker] = machine
		w := &schedule.Worker{ID: machine.Worker, Free: machine.free, Attainable: machine.Capacity, Rank: i}
		if m.policy.hallAware {
			w.Hall, w.Rack = machine.Hall, tw.RackLabel(machine.Labels[0])
		}
		out = append(out, w)
	}
	return out
}

func (m *demandModel) start(s *modelSubmission, id tw.SubtaskID, machine *modelMachine) {
	s.waiting = slices.DeleteFunc(slices.Clone(s.waiting), func(w tw.SubtaskID) bool { return w == id })
	machine.free = machine.free.Minus(s.need)
	machine.runs++
	s.totalWait += m.now - s.readyAt
	s.begun = true
	s.running = append(s.running, &modelRun{machine: machine, endsAt: m.now + s.steps[id.Step].durations[id.Index]})
}

// moveMachines ends the moves that are due, decides which machines to move and starts these
// moves.
func (m *demandModel) moveMachines() {
	state := &maintenance.State{
		Now: modelStart.Add(m.now), WatchedSince: modelStart.Add(-time.Hour), ListRequestedAt: modelStart.Add(m.now), ParkAfter: time.Hour,
		Machines: map[tw.InstanceID]tw.Machine{}, Pools: map[tw.PoolID]*maintenance.Pool{},
		Ordered: map[tw.InstanceID]maintenance.Order{}, Vacating: m.vacating,
	}
	for _, pool := range m.pools {
		state.Pools[pool] = &maintenance.Pool{ID: pool, ReportFresh: true, Report: run.Report{Pool: pool}}
	}
	for _, machine := range m.machines {
		if machine.State == tw.MachineMoving && m.now >= machine.moveEndsAt {
			machine.State = tw.MachineUp
		}
		state.Machines[machine.ID] = machine.Machine
		m.report(state.Pools[machine.Pool], machine)
	}
	for _, s := range m.submissions {
		report := &state.Pools[s.pool].Report
		need := s.need.Times(len(s.waiting))
		if byUrgency(m, s).Grade == schedule.GradeOnTime {
			report.Waiting = report.Waiting.Plus(need)
		} else {
			report.Late = report.Late.Plus(need)
		}
	}
	for _, pool := range state.Pools {
		used := pool.Report.Running.Plus(pool.Report.Waiting)
		pool.Need = float64(used.CPU) / machineCPU / usableFill
		pool.Late = float64(pool.Report.Late.CPU) / machineCPU / usableFill
	}
	decision := maintenance.Decide(state)
	m.vacating = decision.Vacate
	for _, order := range decision.Orders {
		m.move(order)
	}
}

// report adds a machine to the report of its pool.
func (m *demandModel) report(pool *maintenance.Pool, machine *modelMachine) {
	if machine.State != tw.MachineUp {
		return
	}
	reachable := !m.partitioned(machine)
	pool.Report.Workers = append(pool.Report.Workers, run.WorkerLoad{
		Instance: machine.ID, Worker: machine.Worker, Capacity: machine.Capacity, Free: machine.free,
		Runs: machine.runs, Known: reachable, Schedulable: reachable,
	})
	pool.Report.Running = pool.Report.Running.Plus(machine.Capacity.Minus(machine.free))
}

func (m *demandModel) move(order maintenance.Order) {
	i := slices.IndexFunc(m.machines, func(machine *modelMachine) bool { return machine.ID == order.Machine })
	machine := m.machines[i]
	machine.Pool, machine.State, machine.moveEndsAt = order.Pool, tw.MachineMoving, m.now+moveTime
}
