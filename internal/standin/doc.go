// Package standin provides simple fakes of the external systems: the platform (store,
// instance list, tasks, machines), workers, upstreams and callers. They are for
// development and tests only.
package standin
