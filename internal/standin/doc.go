// Package standin has small stand-ins for what lies outside: the platform
// (store, instance list, tasks), upstreams, and callers. They are for
// development and tests only.
package standin
