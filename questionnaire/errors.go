package questionnaire

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/chiveseam/chiveseam/config"
)

// Error says what is wrong with one answer.
type Error struct {
	// Line counts from 1.
	Line int
	// Field is the path of the answer, for instance "workspaces[3].share".
	Field string
	// Value is the value found.
	Value string
	// Allowed describes the values that are accepted.
	Allowed string
}

// Error names the line, the field, its value and the allowed values.
func (e Error) Error() string {
	return fmt.Sprintf("line %d: %s: %q is not allowed: want %s", e.Line, e.Field, e.Value, e.Allowed)
}

// Errors is all that is wrong with a questionnaire, in the order of its lines.
type Errors []Error

// Error returns one line for each mistake.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, mistake := range e {
		lines[i] = mistake.Error()
	}
	return strings.Join(lines, "\n")
}

// sorted returns the mistakes by line. A second mistake of the same answer is
// a consequence of the first and is left out.
func (r *reader) sorted() Errors {
	slices.SortStableFunc(r.errs, func(a, b Error) int { return cmp.Compare(a.Line, b.Line) })
	seen := map[string]bool{}
	var out Errors
	for _, err := range r.errs {
		if seen[err.Field] {
			continue
		}
		seen[err.Field] = true
		out = append(out, err)
	}
	return out
}

// origin says which answer gives a field of the configuration.
type origin struct {
	// in is the answer's section if it is not that of the object.
	in section
	// key is the path of the answer below its section.
	key string
	// unit is the unit in which the configuration holds the answer.
	unit string
}

// fieldMap maps fields of an object to answers; fields that are not in the
// map have the name of their answer.
type fieldMap map[string]origin

// placement ties an object of the configuration to a section.
type placement struct {
	section section
	fields  fieldMap
}

// origins finds the answers that faulty fields of the configuration come from.
type origins struct {
	placements map[string]placement
}

// place ties the object at the path to a section of the document.
func (o *origins) place(path string, s section, fields fieldMap) {
	if o.placements == nil {
		o.placements = map[string]placement{}
	}
	o.placements[path] = placement{section: s, fields: fields}
}

// locate turns a mistake of the configuration into one of the questionnaire.
func (o *origins) locate(err config.FieldError) Error {
	object, field := err.Field, ""
	p, ok := o.placements[object]
	for !ok {
		cut := strings.LastIndexByte(object, '.')
		if cut < 0 {
			object, field = "", err.Field
			p = o.placements[object]
			break
		}
		object = object[:cut]
		field = err.Field[cut+1:]
		p, ok = o.placements[object]
	}
	return p.locate(field, err)
}

func (p placement) locate(field string, err config.FieldError) Error {
	name, index, indexed := strings.Cut(field, "[")
	from, ok := p.fields[name]
	if !ok {
		from = origin{key: name}
	}
	in := p.section
	if from.in.reader != nil {
		in = from.in
	}
	found := Error{Line: in.lineOf(from.key), Field: in.pathOf(from.key), Value: err.Value, Allowed: err.Allowed}
	if indexed {
		found.Field += "[" + index
	}
	if from.unit != "" {
		found.Value = in.rawOf(from.key)
		found.Allowed += " " + from.unit
	}
	return found
}
