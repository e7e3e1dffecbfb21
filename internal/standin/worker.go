package standin

import tw "github.com/tamarindworks/tamarindworks"

// WorkerInstance returns a live worker instance of the size that users run: 16 cores,
// 32 GB, 8 slots and 64 connections.
func WorkerInstance(hall tw.HallID, rack tw.RackID, id tw.InstanceID, labels map[string]string) tw.Instance {
	return tw.Instance{
		ID:          id,
		Role:        tw.RoleWorker,
		Hall:        hall,
		Rack:        rack,
		Labels:      labels,
		Phase:       tw.PhaseLive,
		Cores:       16,
		Memory:      32_000,
		Slots:       8,
		Connections: 64,
	}
}
