package aqconfigcheck

import (
	"fmt"
	"reflect"

	"acaciaquay/pkg/aqjob"
)

// Change is one difference between the configuration in force and the next one.
type Change struct {
	// Where names the entry and, if it has changed, its field.
	Where string
	// Before and After are empty for an entry that is added or removed.
	Before string `json:",omitempty"`
	After  string `json:",omitempty"`
	// Effect says what it means to submitters, empty where the values say it.
	Effect string `json:",omitempty"`
}

// Compare returns the differences between the configuration in force and the next one, and what is wrong with
// their order.
func Compare(inForce, next Config) ([]Change, []Finding) {
	var found findings
	if next.Version <= inForce.Version {
		found.add(Error, Contradiction, "Version", "%d is not above %d, which is in force: processes ignore it", next.Version, inForce.Version)
	}
	var changes []Change
	before, after := routesByName(inForce), routesByName(next)
	for _, r := range inForce.Routes {
		if _, kept := after[r.Name]; !kept {
			changes = append(changes, Change{
				Where:  fmt.Sprintf("Route %s", r.Name),
				Effect: "removed: submissions are refused, accepted jobs go on",
			})
		}
	}
	for _, r := range next.Routes {
		old, known := before[r.Name]
		if !known {
			changes = append(changes, Change{
				Where:  fmt.Sprintf("Route %s", r.Name),
				Effect: "added",
			})
			continue
		}
		changes = append(changes, changedFields(fmt.Sprintf("Route %s", r.Name), old, r)...)
	}
	changes = append(changes, changedServices(inForce, next)...)
	return append(changes, changedFields("Limits", inForce.Limits, next.Limits)...), found
}

func routesByName(c Config) map[RouteName]Route {
	routes := make(map[RouteName]Route, len(c.Routes))
	for _, r := range c.Routes {
		routes[r.Name] = r
	}
	return routes
}

func changedServices(inForce, next Config) []Change {
	var changes []Change
	before, after := map[aqjob.ServiceID]Service{}, map[aqjob.ServiceID]bool{}
	for _, s := range inForce.Services {
		before[s.ID] = s
	}
	for _, s := range next.Services {
		after[s.ID] = true
		if old, known := before[s.ID]; known {
			changes = append(changes, changedFields(fmt.Sprintf("Service %s", s.ID), old, s)...)
			continue
		}
		changes = append(changes, Change{
			Where:  fmt.Sprintf("Service %s", s.ID),
			Effect: "added",
		})
	}
	for _, s := range inForce.Services {
		if !after[s.ID] {
			changes = append(changes, Change{
				Where:  fmt.Sprintf("Service %s", s.ID),
				Effect: "removed",
			})
		}
	}
	return changes
}

// changedFields compares two entries of one type field by field.
func changedFields(where string, before, after any) []Change {
	var changes []Change
	old, changed := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range old.NumField() {
		a, b := old.Field(i).Interface(), changed.Field(i).Interface()
		if reflect.DeepEqual(a, b) {
			continue
		}
		changes = append(changes, Change{
			Where:  fmt.Sprintf("%s: %s", where, old.Type().Field(i).Name),
			Before: text(a),
			After:  text(b),
		})
	}
	return changes
}

func text(value any) string {
	if advice, ok := value.(*Advice); ok {
		if advice == nil {
			return "none"
		}
		return fmt.Sprintf("%+v", *advice)
	}
	return fmt.Sprint(value)
}
