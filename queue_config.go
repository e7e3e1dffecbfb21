package tamarindworks

import (
	"strings"
	"time"
)

type (
	// QueueConfig is the operators' configuration of routes and pools on the
	// platform. Versions only rise.
	QueueConfig struct {
		Version Version
		Routes  []QueueRoute
		Pools   []QueuePool
		Limits  QueueLimits
	}

	// QueueRoute leads submissions to the pool whose workers run them.
	QueueRoute struct {
		Host    string
		Prefix  string
		Timeout time.Duration
		Policy  RoutePolicy
	}

	// QueuePool is a pool of workers.
	QueuePool struct {
		ID PoolID
		// EnforcesCapacity says that workers refuse what does not fit.
		EnforcesCapacity bool
		// Parking says that the pool's machines are off and cost nothing.
		Parking bool
	}

	// QueueLimits bounds what callers may send. Zero is no bound.
	QueueLimits struct {
		Header     Bytes
		Body       Bytes
		HeaderTime time.Duration
		IdleTime   time.Duration
	}
)

// Route finds the route of a request: its host, and the longest prefix that
// the path begins with. Host is without port.
func (c *QueueConfig) Route(host, path string) *QueueRoute {
	var best *QueueRoute
	for i := range c.Routes {
		r := &c.Routes[i]
		if !strings.EqualFold(r.Host, host) || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if best == nil || len(r.Prefix) > len(best.Prefix) {
			best = r
		}
	}
	return best
}

// Pool finds a pool, or nil.
func (c *QueueConfig) Pool(id PoolID) *QueuePool {
	for i := range c.Pools {
		if c.Pools[i].ID == id {
			return &c.Pools[i]
		}
	}
	return nil
}

// Parking finds the pool whose machines are off, or nil.
func (c *QueueConfig) Parking() *QueuePool {
	for i := range c.Pools {
		if c.Pools[i].Parking {
			return &c.Pools[i]
		}
	}
	return nil
}
