package tamarindworks

import (
	"fmt"
	"slices"
)

// FleetConfig is the operators' intent: all that they can change.
type FleetConfig struct {
	// Halls lists every data hall of the fleet; budgets are counted over them.
	Halls    []HallID  `toml:"halls"`
	Pools    []Pool    `toml:"pools"`
	Jobs     []Job     `toml:"jobs"`
	Services []Service `toml:"services"`
	Teams    []Team    `toml:"teams"`
	Waves    []Wave    `toml:"waves"`
	// Labels adds labels to single instances, by instance id. They go
	// before the platform's own.
	Labels map[InstanceID]map[string]string `toml:"labels"`
	Spares Spares                           `toml:"spares"`
}

// SetDefaults fills what was left out.
func (c *FleetConfig) SetDefaults() {
	for i := range c.Jobs {
		c.Jobs[i].SetDefaults()
	}
	for i := range c.Services {
		c.Services[i].SetDefaults()
	}
	for i := range c.Teams {
		c.Teams[i].SetDefaults()
	}
	for i := range c.Waves {
		c.Waves[i].SetDefaults()
	}
	c.Spares.SetDefaults()
}

// Validate gathers all faults; the error is of type Faults.
func (c *FleetConfig) Validate() error {
	var faults ValidationErrors
	c.validateParts(&faults)
	c.validateUnique(&faults)
	c.validateReferences(&faults)
	return faults.Err()
}

// Job finds a job, or nil.
func (c *FleetConfig) Job(id JobID) *Job {
	for i := range c.Jobs {
		if c.Jobs[i].ID == id {
			return &c.Jobs[i]
		}
	}
	return nil
}

// Service finds a service, or nil.
func (c *FleetConfig) Service(id ServiceID) *Service {
	for i := range c.Services {
		if c.Services[i].ID == id {
			return &c.Services[i]
		}
	}
	return nil
}

// Pool finds a pool, or nil.
func (c *FleetConfig) Pool(id PoolID) *Pool {
	for i := range c.Pools {
		if c.Pools[i].ID == id {
			return &c.Pools[i]
		}
	}
	return nil
}

// PoolOf is the first pool whose selector takes the job, or nil.
func (c *FleetConfig) PoolOf(j *Job) *Pool {
	for i := range c.Pools {
		if c.Pools[i].Jobs.Matches(j.Labels) {
			return &c.Pools[i]
		}
	}
	return nil
}

// LabelsOf is what selectors see of an instance: the platform's labels, its
// hall and rack, and on top what the configuration adds.
func (c *FleetConfig) LabelsOf(in Instance) map[string]string {
	set := make(map[string]string, len(in.Labels)+4)
	set["hall"] = string(in.Hall)
	set["rack"] = string(in.Rack)
	set["instance"] = string(in.ID)
	for k, v := range in.Labels {
		set[k] = v
	}
	for k, v := range c.Labels[in.ID] {
		set[k] = v
	}
	return set
}

func (c *FleetConfig) validateParts(faults *ValidationErrors) {
	if len(c.Halls) == 0 {
		faults.Add("halls", "is missing: list every data hall")
	}
	for i := range c.Pools {
		c.Pools[i].validate(fmt.Sprintf("pools[%d]", i), faults)
	}
	for i := range c.Jobs {
		c.Jobs[i].validate(fmt.Sprintf("jobs[%d]", i), faults)
	}
	for i := range c.Services {
		at := fmt.Sprintf("services[%d]", i)
		c.Services[i].validate(at, faults)
		for r := range c.Services[i].Routes {
			c.Services[i].Routes[r].validate(fmt.Sprintf("%s.routes[%d]", at, r), faults)
		}
	}
	for i := range c.Teams {
		c.Teams[i].validate(fmt.Sprintf("teams[%d]", i), faults)
	}
	for i := range c.Waves {
		c.Waves[i].validate(fmt.Sprintf("waves[%d]", i), faults)
	}
	c.Spares.validate("spares", faults)
}

func (c *FleetConfig) validateUnique(faults *ValidationErrors) {
	seen := map[string]bool{}
	once := func(kind string, i int, id string) {
		name := kind + "/" + id
		if id != "" && seen[name] {
			faults.Add(fmt.Sprintf("%s[%d].id", kind, i), "%q is there twice", id)
		}
		seen[name] = true
	}
	for i, p := range c.Pools {
		once("pools", i, string(p.ID))
	}
	for i, j := range c.Jobs {
		once("jobs", i, string(j.ID))
	}
	for i, s := range c.Services {
		once("services", i, string(s.ID))
	}
	for i, t := range c.Teams {
		once("teams", i, string(t.ID))
	}
	for i, w := range c.Waves {
		once("waves", i, string(w.ID))
	}
}

func (c *FleetConfig) validateReferences(faults *ValidationErrors) {
	services := map[ServiceID]bool{}
	for _, s := range c.Services {
		services[s.ID] = true
	}
	for i, j := range c.Jobs {
		if j.Service != "" && !services[j.Service] {
			faults.Add(fmt.Sprintf("jobs[%d].service", i), "there is no service %q", j.Service)
		}
		for _, h := range j.Halls {
			if !slices.Contains(c.Halls, h) {
				faults.Add(fmt.Sprintf("jobs[%d].halls", i), "there is no hall %q", h)
			}
		}
	}
	for i, s := range c.Services {
		for r, route := range s.Routes {
			if route.Job != "" && c.Job(route.Job) == nil {
				faults.Add(fmt.Sprintf("services[%d].routes[%d].job", i, r), "there is no job %q", route.Job)
			}
		}
	}
}
