package aqconfigcheck

import (
	"fmt"
	"math"
	"net"
	"strings"
	"time"

	"acaciaquay/pkg/aqjob"
)

// minTaskTime is a run time that hardly any task undercuts. An objective that is shorter for such a task
// cannot be met by a longer one either where Stretch is below one.
const minTaskTime = 100 * time.Millisecond

// Check returns the findings of a configuration, in the order of its entries.
func Check(c Config) []Finding {
	var found findings
	if c.Version < 1 {
		found.add(Error, Invalid, "Version", "%d is not above zero", c.Version)
	}
	services := checkServices(c, &found)
	checkNames(c, &found)
	for i, r := range c.Routes {
		where := r.where(i)
		checkRoute(r, where, &found)
		checkService(r, where, services, &found)
		checkReach(c.Routes[:i], r, where, &found)
		checkObjective(r, where, &found)
	}
	checkUnused(c, &found)
	checkLimits(c.Limits, &found)
	return found
}

// where names a route in findings.
func (r Route) where(position int) string {
	if r.Name == "" {
		return fmt.Sprintf("Routes[%d]", position)
	}
	return fmt.Sprintf("Route %s", r.Name)
}

func checkServices(c Config, found *findings) map[aqjob.ServiceID]Service {
	services := make(map[aqjob.ServiceID]Service, len(c.Services))
	for i, s := range c.Services {
		where := fmt.Sprintf("Services[%d]", i)
		if s.ID == "" {
			found.add(Error, Invalid, where, "has no name")
			continue
		}
		if _, known := services[s.ID]; known {
			found.add(Error, Invalid, where, "%q is listed twice", s.ID)
		}
		services[s.ID] = s
	}
	return services
}

func checkNames(c Config, found *findings) {
	seen := map[RouteName]bool{}
	for i, r := range c.Routes {
		switch {
		case r.Name == "":
			found.add(Error, Invalid, r.where(i), "has no name; jobs are counted and configured by it")
		case seen[r.Name]:
			found.add(Error, Invalid, r.where(i), "is listed twice; its jobs would get the settings of either")
		}
		seen[r.Name] = true
	}
}

func checkRoute(r Route, where string, found *findings) {
	if r.Host == "" {
		found.add(Error, Invalid, where+": Host", "is empty")
	}
	if r.Prefix == "" {
		found.add(Error, Invalid, where+": Prefix", "is empty")
	}
	if r.MaxAttempts < 1 {
		found.add(Error, Invalid, where+": MaxAttempts", "%d allows no start", r.MaxAttempts)
	}
	if r.Priority < 0 {
		found.add(Error, Invalid, where+": Priority", "%d is below zero, the most urgent one", r.Priority)
	}
	if r.Stretch < 0 || math.IsNaN(r.Stretch) || math.IsInf(r.Stretch, 0) {
		found.add(Error, Invalid, where+": Stretch", "%v is not a factor", r.Stretch)
	}
	if r.Target < 0 || r.Timeout < 0 {
		found.add(Error, Invalid, where, "a time is below zero")
	}
}

func checkService(r Route, where string, services map[aqjob.ServiceID]Service, found *findings) {
	s, known := services[r.Service]
	switch {
	case r.Service == "":
		found.add(Error, Invalid, where+": Service", "is empty")
	case !known:
		found.add(Error, Contradiction, where+": Service", "%q is not among the services; its jobs never start", r.Service)
	case s.Standby:
		found.add(Error, Contradiction, where+": Service", "%q is on standby: its workers are off and its jobs never start", r.Service)
	}
}

// checkReach finds out whether a submission can reach a route. A route's host is compared as a whole, and of
// several prefixes that match the longest one counts, the first of equal ones.
func checkReach(earlier []Route, r Route, where string, found *findings) {
	for _, e := range earlier {
		if e.Host == r.Host && e.Prefix == r.Prefix {
			found.add(Error, NeverMatches, where, "route %s has the same host and prefix and comes first", e.Name)
			break
		}
	}
	if r.Prefix != "" && !strings.HasPrefix(r.Prefix, "/") {
		found.add(Error, NeverMatches, where+": Prefix", "%q does not begin with a slash as every path does", r.Prefix)
	}
	if strings.ContainsAny(r.Prefix, "?#") {
		found.add(Error, NeverMatches, where+": Prefix", "%q holds a character that ends a path", r.Prefix)
	}
	if r.Prefix != "" && !strings.HasSuffix(r.Prefix, "/") {
		found.add(Warning, NeverMatches, where+": Prefix", "%q does not end with a slash: ids follow it without a separator", r.Prefix)
	}
	host := r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if strings.ContainsAny(host, "/ \t@*") {
		found.add(Error, NeverMatches, where+": Host", "%q is not a host name", r.Host)
	}
	if host != strings.ToLower(host) {
		found.add(Warning, NeverMatches, where+": Host", "%q has capitals and matches only callers that write them", r.Host)
	}
}

func checkObjective(r Route, where string, found *findings) {
	if r.Stretch < 1 && r.Stretch >= 0 && r.Target < minTaskTime {
		found.add(Warning, Contradiction, where, "the objective, %v times the run time plus %v, is shorter than the run time", r.Stretch, r.Target)
	}
	if r.Advice == nil {
		return
	}
	call := r.Advice.Base + r.Advice.PerWorker
	if r.Advice.Base < 0 || r.Advice.PerWorker < 0 || r.Advice.TicketLife < 0 {
		found.add(Error, Invalid, where+": Advice", "a time is below zero")
		return
	}
	if r.Advice.TicketLife > 0 && r.Advice.TicketLife <= call {
		found.add(Error, Contradiction, where+": Advice", "tickets last %v, a call for one worker takes %v: they expire before they are used",
			r.Advice.TicketLife, call)
	}
	if r.Target > 0 && call > r.Target {
		found.add(Warning, Contradiction, where+": Advice", "a call for one worker takes %v, more than the target of %v", call, r.Target)
	}
}

func checkUnused(c Config, found *findings) {
	used := map[aqjob.ServiceID]bool{}
	for _, r := range c.Routes {
		used[r.Service] = true
	}
	for _, s := range c.Services {
		if s.ID != "" && !used[s.ID] && !s.Standby {
			found.add(Warning, NeverMatches, fmt.Sprintf("Service %s", s.ID), "no route sends jobs to it")
		}
	}
	if len(c.Routes) == 0 {
		found.add(Warning, NeverMatches, "Routes", "there are none: every submission is refused")
	}
}

// minBodyBytes is the size of the smallest job that can be submitted.
const minBodyBytes = 32

func checkLimits(l Limits, found *findings) {
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		found.add(Error, Invalid, "Limits", "a limit is below zero")
		return
	}
	if l.BodyBytes > 0 && l.BodyBytes < minBodyBytes {
		found.add(Error, Contradiction, "Limits: BodyBytes", "%d bytes hold no job", l.BodyBytes)
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		found.add(Warning, Contradiction, "Limits", "a head may take %v, an idle connection is closed after %v", l.HeaderTimeout, l.IdleTimeout)
	}
}
