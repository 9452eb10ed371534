package config

import (
	"fmt"
	"strings"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// FieldError describes one invalid field of a configuration.
type FieldError struct {
	// Field is the path of the field, for instance "workspaces[3].share".
	Field string
	// Value is the text of the invalid value.
	Value string
	// Allowed describes the values that the field accepts.
	Allowed string
}

// Error returns the path of the field, the invalid value and the allowed values.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s: %q is not allowed: want %s", e.Field, e.Value, e.Allowed)
}

// FieldErrors lists all errors of one configuration.
type FieldErrors []FieldError

// Error joins the messages of all errors with "; ".
func (e FieldErrors) Error() string {
	parts := make([]string, len(e))
	for i, field := range e {
		parts[i] = field.Error()
	}
	return strings.Join(parts, "; ")
}

// Validate returns all errors of c in the order of its fields, nil if it is valid. A
// configuration without zones, pools, targets or workspaces is invalid, so an empty payload is
// never accepted.
func Validate(c *v1.Configuration) FieldErrors {
	v := newValidator(c)
	v.name("deployment", c.Deployment)
	v.zones()
	v.pools()
	v.targets()
	v.workspaces()
	v.classes()
	v.limits()
	v.weightStore()
	v.errs = append(v.errs, unknownFields(c)...)
	return v.errs
}

// validator collects the errors of one configuration. Its maps index the zones, pools, classes
// and data centres that other parts of the configuration refer to.
type validator struct {
	config      *v1.Configuration
	errs        FieldErrors
	zonesByName map[string]*v1.Zone
	poolsByName map[string]*v1.Pool
	classNames  map[string]bool
	dataCentres map[string]bool
	// poolDataCentres maps the name of a pool to the data centres in which it has targets.
	poolDataCentres map[string]map[string]bool
}

func newValidator(c *v1.Configuration) *validator {
	v := &validator{
		config:          c,
		zonesByName:     map[string]*v1.Zone{},
		poolsByName:     map[string]*v1.Pool{},
		classNames:      map[string]bool{},
		dataCentres:     map[string]bool{},
		poolDataCentres: map[string]map[string]bool{},
	}
	for _, zone := range c.Zones {
		v.zonesByName[zone.GetName()] = zone
		v.dataCentres[zone.GetDataCentre()] = true
	}
	for _, class := range c.Classes {
		v.classNames[class.GetName()] = true
	}
	for _, pool := range c.Pools {
		v.poolsByName[pool.GetName()] = pool
		v.poolDataCentres[pool.GetName()] = map[string]bool{}
	}
	for _, target := range c.Targets {
		if targetDataCentres, ok := v.poolDataCentres[target.GetPool()]; ok {
			targetDataCentres[v.zonesByName[target.GetZone()].GetDataCentre()] = true
		}
	}
	return v
}
