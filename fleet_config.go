package tamarindworks

import (
	"fmt"
	"slices"
)

// FleetConfig is the operators' configuration of the fleet.
type FleetConfig struct {
	// Halls lists every data hall of the fleet; budgets apply across them.
	Halls    []HallID  `toml:"halls"`
	Pools    []Pool    `toml:"pools"`
	Jobs     []Job     `toml:"jobs"`
	Services []Service `toml:"services"`
	Teams    []Team    `toml:"teams"`
	Waves    []Wave    `toml:"waves"`
	// Labels adds labels to individual instances, by instance id. They
	// override the platform's labels.
	Labels map[InstanceID]map[string]string `toml:"labels"`
	Spares Spares                           `toml:"spares"`
}

// SetDefaults sets default values for unset fields.
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

// Validate returns all errors as ValidationErrors, or nil.
func (c *FleetConfig) Validate() error {
	var errs ValidationErrors
	c.validateParts(&errs)
	c.validateUnique(&errs)
	c.validateReferences(&errs)
	return errs.Err()
}

// Job returns a job by id, or nil.
func (c *FleetConfig) Job(id JobID) *Job {
	for i := range c.Jobs {
		if c.Jobs[i].ID == id {
			return &c.Jobs[i]
		}
	}
	return nil
}

// Service returns a service by id, or nil.
func (c *FleetConfig) Service(id ServiceID) *Service {
	for i := range c.Services {
		if c.Services[i].ID == id {
			return &c.Services[i]
		}
	}
	return nil
}

// Pool returns a pool by id, or nil.
func (c *FleetConfig) Pool(id PoolID) *Pool {
	for i := range c.Pools {
		if c.Pools[i].ID == id {
			return &c.Pools[i]
		}
	}
	return nil
}

// PoolOf returns the first pool whose job selector matches the job, or nil.
func (c *FleetConfig) PoolOf(j *Job) *Pool {
	for i := range c.Pools {
		if c.Pools[i].Jobs.Matches(j.Labels) {
			return &c.Pools[i]
		}
	}
	return nil
}

// LabelsOf returns the labels of an instance that selectors match: its hall,
// rack and id, the platform's labels, and those added by the configuration.
// Later ones override earlier ones.
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

func (c *FleetConfig) validateParts(errs *ValidationErrors) {
	if len(c.Halls) == 0 {
		errs.Add("halls", "is missing: list every data hall")
	}
	for i := range c.Pools {
		c.Pools[i].validate(fmt.Sprintf("pools[%d]", i), errs)
	}
	for i := range c.Jobs {
		c.Jobs[i].validate(fmt.Sprintf("jobs[%d]", i), errs)
	}
	for i := range c.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.Services[i].validate(path, errs)
		for r := range c.Services[i].Routes {
			c.Services[i].Routes[r].validate(fmt.Sprintf("%s.routes[%d]", path, r), errs)
		}
	}
	for i := range c.Teams {
		c.Teams[i].validate(fmt.Sprintf("teams[%d]", i), errs)
	}
	for i := range c.Waves {
		c.Waves[i].validate(fmt.Sprintf("waves[%d]", i), errs)
	}
	c.Spares.validate("spares", errs)
}

func (c *FleetConfig) validateUnique(errs *ValidationErrors) {
	seen := map[string]bool{}
	checkUnique := func(kind string, i int, id string) {
		name := kind + "/" + id
		if id != "" && seen[name] {
			errs.Add(fmt.Sprintf("%s[%d].id", kind, i), "%q is defined twice", id)
		}
		seen[name] = true
	}
	for i, p := range c.Pools {
		checkUnique("pools", i, string(p.ID))
	}
	for i, j := range c.Jobs {
		checkUnique("jobs", i, string(j.ID))
	}
	for i, s := range c.Services {
		checkUnique("services", i, string(s.ID))
	}
	for i, t := range c.Teams {
		checkUnique("teams", i, string(t.ID))
	}
	for i, w := range c.Waves {
		checkUnique("waves", i, string(w.ID))
	}
}

func (c *FleetConfig) validateReferences(errs *ValidationErrors) {
	services := map[ServiceID]bool{}
	for _, s := range c.Services {
		services[s.ID] = true
	}
	for i, j := range c.Jobs {
		if j.Service != "" && !services[j.Service] {
			errs.Add(fmt.Sprintf("jobs[%d].service", i), "there is no service %q", j.Service)
		}
		for _, h := range j.Halls {
			if !slices.Contains(c.Halls, h) {
				errs.Add(fmt.Sprintf("jobs[%d].halls", i), "there is no hall %q", h)
			}
		}
	}
	for i, s := range c.Services {
		for r, route := range s.Routes {
			if route.Job != "" && c.Job(route.Job) == nil {
				errs.Add(fmt.Sprintf("services[%d].routes[%d].job", i, r), "there is no job %q", route.Job)
			}
		}
	}
}
