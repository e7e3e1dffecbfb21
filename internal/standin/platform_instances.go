package standin

import (
	"cmp"
	"context"
	"slices"

	tw "github.com/tamarindworks/tamarindworks"
)

// SetInstance adds or replaces an instance in the list.
func (p *Platform) SetInstance(in tw.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if in.Phase == "" {
		in.Phase = tw.PhaseLive
	}
	if old, ok := p.instances[in.ID]; ok {
		in.Boots = max(in.Boots, old.Boots)
	}
	p.instances[in.ID] = in
	p.version++
}

// Instance returns a listed instance, or the zero Instance if it is not listed.
func (p *Platform) Instance(id tw.InstanceID) tw.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instances[id]
}

// SetPhase sets an instance's phase, such as live or leaving.
func (p *Platform) SetPhase(id tw.InstanceID, phase tw.InstancePhase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if in, ok := p.instances[id]; ok {
		in.Phase = phase
		p.instances[id] = in
		p.version++
	}
}

// RemoveInstance removes an instance and ends all its tasks.
func (p *Platform) RemoveInstance(id tw.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.remove(id)
}

// Register handles an upstream's heartbeat and returns the jobs that it has to run. A
// phase set by SetPhase is kept.
func (p *Platform) Register(in tw.Instance) []tw.JobID {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.instances[in.ID]
	in.Phase = tw.PhaseLive
	if known {
		in.Phase, in.Boots = old.Phase, old.Boots
	}
	if !known || old.Address != in.Address {
		p.version++
	}
	p.instances[in.ID] = in
	p.lastReport[in.ID] = p.config.Clock.Now()
	return p.startTasks(in.ID)
}

// List implements tw.InstanceList.
func (p *Platform) List(_ context.Context, hall tw.HallID, seen uint64) (tw.InstanceSnapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.snapshot(hall)
	if p.faults.StaleList {
		list = p.staleSnapshots[hall]
	}
	if seen != 0 && list.Version == seen {
		return tw.InstanceSnapshot{}, tw.ErrNoChange
	}
	return list, nil
}

// Tasks implements tw.Workers.
func (p *Platform) Tasks(_ context.Context, hall tw.HallID) ([]tw.Task, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropSilent()
	var out []tw.Task
	for _, t := range p.tasks {
		if p.instances[t.Instance].Hall == hall {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b tw.Task) int { return cmp.Compare(a.ID, b.ID) })
	return out, nil
}

// Start implements tw.Workers.
func (p *Platform) Start(_ context.Context, task tw.Task) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, running := p.tasks[task.ID]
	_, listed := p.instances[task.Instance]
	if running || p.endedTasks[task.ID] || !listed {
		return nil
	}
	task.State = tw.TaskStarting
	if p.config.AutoRun {
		task.State = p.initialState(task.Instance)
	}
	p.tasks[task.ID] = task
	return nil
}

// Stop implements tw.Workers.
func (p *Platform) Stop(_ context.Context, id tw.TaskID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endTask(id)
	return nil
}

// Reboot implements tw.Workers. It ends the instance's tasks immediately.
func (p *Platform) Reboot(_ context.Context, id tw.InstanceID, boots uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	in, ok := p.instances[id]
	if !ok || in.Boots != boots {
		return nil
	}
	in.Boots++
	p.instances[id] = in
	p.version++
	p.endTasksOn(id)
	return nil
}

// startTasks starts an instance's pending tasks and returns the jobs that it runs.
func (p *Platform) startTasks(id tw.InstanceID) []tw.JobID {
	jobs := []tw.JobID{}
	for key, t := range p.tasks {
		if t.Instance != id {
			continue
		}
		if t.State == tw.TaskStarting {
			t.State = p.initialState(id)
			p.tasks[key] = t
		}
		if t.State == tw.TaskRunning {
			jobs = append(jobs, t.Job)
		}
	}
	return jobs
}

func (p *Platform) initialState(id tw.InstanceID) tw.TaskState {
	if slices.Contains(p.faults.FailTasksOn, string(id)) {
		return tw.TaskFailed
	}
	return tw.TaskRunning
}

// dropSilent removes upstreams that have not reported within SilenceTimeout.
func (p *Platform) dropSilent() {
	if p.config.SilenceTimeout == 0 {
		return
	}
	now := p.config.Clock.Now()
	for id, at := range p.lastReport {
		if now.Sub(at) > p.config.SilenceTimeout {
			p.remove(id)
		}
	}
}

func (p *Platform) remove(id tw.InstanceID) {
	delete(p.instances, id)
	delete(p.lastReport, id)
	p.endTasksOn(id)
	p.version++
}

func (p *Platform) endTasksOn(id tw.InstanceID) {
	for key, t := range p.tasks {
		if t.Instance == id {
			p.endTask(key)
		}
	}
}

func (p *Platform) endTask(id tw.TaskID) {
	if _, ok := p.tasks[id]; ok {
		delete(p.tasks, id)
		p.endedTasks[id] = true
	}
}
