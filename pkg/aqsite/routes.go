package aqsite

import (
	"strings"
	"sync/atomic"
)

// routes holds the configuration with the highest version that this process has read.
type routes struct {
	current atomic.Pointer[routeTable]
}

type routeTable struct {
	config *Config
	byHost map[string][]Route
}

// apply activates a configuration and returns true, unless one of the same or a higher
// version is active.
func (r *routes) apply(config *Config) bool {
	table := &routeTable{config: config, byHost: map[string][]Route{}}
	for _, route := range config.Routes {
		table.byHost[route.Host] = append(table.byHost[route.Host], route)
	}
	for {
		before := r.current.Load()
		if before != nil && before.config.Version >= config.Version {
			return false
		}
		if r.current.CompareAndSwap(before, table) {
			return true
		}
	}
}

func (r *routes) config() *Config {
	if table := r.current.Load(); table != nil {
		return table.config
	}
	return nil
}

// lookup returns the host's route with the longest prefix that matches path. configured
// is false while there is no configuration.
func (r *routes) lookup(host, path string) (route Route, found, configured bool) {
	table := r.current.Load()
	if table == nil {
		return Route{}, false, false
	}
	for _, candidate := range table.byHost[host] {
		if strings.HasPrefix(path, candidate.Prefix) && (!found || len(candidate.Prefix) > len(route.Prefix)) {
			route, found = candidate, true
		}
	}
	return route, found, true
}
