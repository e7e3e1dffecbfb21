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
	// partition of a hall. It uses the real placement and the real decisions on
	// machines; the jobs and machines are simulated.
	demandModel struct {
		rand      *rand.Rand
		policy    schedulePolicy
		load      float64
		now       time.Duration
		machines  []*modelMachine
		pools     []tw.PoolID
		jobs      []*modelJob
		vacating  map[tw.InstanceID]maintenance.Order
		nextJobID int
	}

	// modelMachine is a machine with its worker.
	modelMachine struct {
		tw.Machine
		free tw.Resources
		runs int
		// moveEndsAt is when the current move ends.
		moveEndsAt time.Duration
	}

	// modelJob is a submission: steps that run one after the other.
	modelJob struct {
		id          tw.SubmissionID
		pool        tw.PoolID
		arrivedAt   time.Duration
		objective   time.Duration
		need        tw.Resources
		steps       []modelStep
		currentStep int // index into steps
		waiting     []tw.SubtaskID
		running     []*modelRun
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

// Parameters of the model, close to those of the users' third deployment.
const (
	modelTick      = 50 * time.Millisecond
	decideInterval = 100 * time.Millisecond
	simulatedTime  = 60 * time.Second
	// rotationPeriod is how long the peak demand stays with one pool. That pool gets
	// peakFactor times the mean demand, each other one offPeakFactor times.
	rotationPeriod = 10 * time.Second
	peakFactor     = 4.0
	offPeakFactor  = 0.05
	moveTime       = 1500 * time.Millisecond
	// One hall is partitioned from partitionStart until partitionEnd: its machines
	// continue to run, but send no reports.
	partitionStart = 33 * time.Second
	partitionEnd   = 39 * time.Second

	modelPoolCount    = 4
	modelMachineCount = 48
	modelHallCount    = 3
	modelRackSize     = 4     // machines per rack
	machineCPU        = 16000 // millicores
	machineMemory     = 32000 // MB
	// meanLoad is the mean share of all machines that load 1 demands.
	meanLoad = 0.4
	// modelWidth subtasks of modelSubtask each are a typical step.
	modelWidth   = 8
	modelSubtask = 1700 * time.Millisecond
	modelCPU     = 1900 // millicores of a typical subtask
	// A job's objective is modelStretch times the duration of its steps plus modelTarget.
	modelStretch = 1.6
	modelTarget  = 600 * time.Millisecond
	// estimateSpread is the standard deviation of the logarithm of the estimates' error
	// factor.
	estimateSpread = 0.6
	// usableFill is the share of a machine's CPU that runs are assumed to fill when the
	// number of machines that a pool needs is computed.
	usableFill = 0.85
)

// modelStart is the simulated time at the start.
var modelStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newDemandModel(seed uint64, policy schedulePolicy, load float64) *demandModel {
	m := &demandModel{
		rand: rand.New(rand.NewPCG(seed, 7)), policy: policy, load: load,
		vacating: map[tw.InstanceID]maintenance.Order{},
	}
	for n := range modelPoolCount {
		m.pools = append(m.pools, tw.PoolID(fmt.Sprintf("pool-%d", n)))
	}
	for n := range modelMachineCount {
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

// simulate runs the simulation to its end and returns all jobs.
func (m *demandModel) simulate() []*modelJob {
	for ; m.now < simulatedTime; m.now += modelTick {
		m.arriveJobs()
		m.finish()
		if m.now%decideInterval == 0 {
			m.moveMachines()
		}
		for _, pool := range m.pools {
			m.place(pool)
		}
	}
	return m.jobs
}

// partitioned reports whether a machine is partitioned now.
func (m *demandModel) partitioned(machine *modelMachine) bool {
	return machine.Hall == "hall-0" && m.now >= partitionStart && m.now < partitionEnd
}

// arriveJobs draws the random arrivals of a tick.
func (m *demandModel) arriveJobs() {
	perJob := 2 * modelWidth * modelSubtask.Seconds() * modelCPU
	mean := m.load * meanLoad * modelMachineCount * machineCPU / perJob / modelPoolCount
	peakPool := int(m.now/rotationPeriod) % modelPoolCount
	for i, pool := range m.pools {
		rate := offPeakFactor * mean
		if i == peakPool {
			rate = peakFactor * mean
		}
		for chance := rate * modelTick.Seconds(); chance > 0; chance-- {
			if m.rand.Float64() < chance {
				m.jobs = append(m.jobs, m.newJob(pool))
			}
		}
	}
}

func (m *demandModel) newJob(pool tw.PoolID) *modelJob {
	m.nextJobID++
	j := &modelJob{
		id: tw.SubmissionID(fmt.Sprintf("%016x", m.nextJobID)), pool: pool, arrivedAt: m.now, readyAt: m.now,
		need: tw.Resources{CPU: tw.Millicores(modelCPU * m.randomFactor(0.45)), MemoryMB: 500},
	}
	var chain time.Duration
	for range 1 + m.rand.IntN(3) {
		step := modelStep{}
		typical := time.Duration(float64(modelSubtask) * m.randomFactor(0.5))
		for range max(1, int(modelWidth*m.randomFactor(0.6))) {
			step.durations = append(step.durations, time.Duration(float64(typical)*m.randomFactor(0.15)))
		}
		step.estimate = time.Duration(float64(typical) * m.randomFactor(estimateSpread))
		chain += slices.Max(step.durations)
		j.steps = append(j.steps, step)
	}
	j.objective = time.Duration(modelStretch*float64(chain)) + modelTarget
	j.queueStep()
	return j
}

// randomFactor returns a log-normal random factor with median 1.
func (m *demandModel) randomFactor(sigma float64) float64 {
	return math.Exp(sigma * m.rand.NormFloat64())
}

// queueStep adds the subtasks of the job's current step to those waiting.
func (j *modelJob) queueStep() {
	for n := range j.steps[j.currentStep].durations {
		j.waiting = append(j.waiting, tw.SubtaskID{Submission: j.id, Step: j.currentStep, Index: n})
	}
}

// finish processes the ends of runs on machines that are not partitioned, and starts the
// next steps.
func (m *demandModel) finish() {
	for _, j := range m.jobs {
		j.running = slices.DeleteFunc(j.running, func(r *modelRun) bool {
			if r.endsAt > m.now || m.partitioned(r.machine) {
				return false
			}
			r.machine.free = r.machine.free.Plus(j.need)
			r.machine.runs--
			return true
		})
		if j.endedAt != 0 || len(j.running) > 0 || len(j.waiting) > 0 {
			continue
		}
		j.currentStep++
		if j.currentStep == len(j.steps) {
			j.endedAt = m.now
			continue
		}
		j.readyAt = m.now
		j.queueStep()
	}
}

// workLeft returns the estimated remaining work of a job, in millicore-seconds.
func (j *modelJob) workLeft() float64 {
	work := 0.0
	for _, step := range j.steps[j.currentStep:] {
		work += step.estimate.Seconds() * float64(len(step.durations)) * float64(j.need.CPU)
	}
	return work
}

// place starts waiting subtasks of a pool on its workers.
func (m *demandModel) place(pool tw.PoolID) {
	byID := map[tw.SubmissionID]*modelJob{}
	var groups []*schedule.Group
	for _, j := range m.jobs {
		if j.pool != pool || len(j.waiting) == 0 {
			continue
		}
		byID[j.id] = j
		groups = append(groups, &schedule.Group{
			Step: &tw.Step{Count: len(j.waiting), Need: j.need}, Subtasks: j.waiting, Urgency: m.policy.urgency(m, j),
		})
	}
	if len(groups) == 0 {
		return
	}
	at := map[tw.WorkerID]*modelMachine{}
	for _, p := range schedule.Place(groups, m.workers(pool, at), nil) {
		m.start(byID[p.Subtask.Submission], p.Subtask, at[p.Worker.ID])
	}
}

// workers returns a pool's usable machines as workers for the scheduler, and adds them to
// at.
func (m *demandModel) workers(pool tw.PoolID, at map[tw.WorkerID]*modelMachine) []*schedule.Worker {
	var out []*schedule.Worker
	for i, machine := range m.machines {
		_, leaving := m.vacating[machine.ID]
		if machine.Pool != pool || machine.State != tw.MachineUp || leaving || m.partitioned(machine) {
			continue
		}
		at[machine.Worker] = machine
		w := &schedule.Worker{ID: machine.Worker, Free: machine.free, Attainable: machine.Capacity, Rank: i}
		if m.policy.hallAware {
			w.Hall, w.Rack = machine.Hall, tw.RackLabel(machine.Labels[0])
		}
		out = append(out, w)
	}
	return out
}

func (m *demandModel) start(j *modelJob, id tw.SubtaskID, machine *modelMachine) {
	j.waiting = slices.DeleteFunc(slices.Clone(j.waiting), func(w tw.SubtaskID) bool { return w == id })
	machine.free = machine.free.Minus(j.need)
	machine.runs++
	j.totalWait += m.now - j.readyAt
	j.running = append(j.running, &modelRun{machine: machine, endsAt: m.now + j.steps[id.Step].durations[id.Index]})
}

// moveMachines ends moves that are due, decides on machines and executes the new moves.
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
	for _, j := range m.jobs {
		report := &state.Pools[j.pool].Report
		need := j.need.Times(len(j.waiting))
		if byUrgency(m, j).Grade == schedule.GradeOnTime {
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
