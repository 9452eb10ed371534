package questionnaire

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/chiveseam/chiveseam/config"
)

// Error describes an invalid or missing answer.
type Error struct {
	// Line is the line of the answer in the questionnaire, from 1 on, or that of the section in
	// which it is missing.
	Line int
	// Field is the path of the answer, for instance "workspaces[3].share".
	Field string
	// Value is the rejected answer, or the unknown key, as written. It is empty if the answer is
	// missing or not a scalar.
	Value string
	// Allowed describes the values that are accepted.
	Allowed string
}

// Error returns one line with the line number, the field, its value and the allowed values.
func (e Error) Error() string {
	return fmt.Sprintf("line %d: %s: %q is not allowed: want %s", e.Line, e.Field, e.Value, e.Allowed)
}

// Errors holds the errors of a questionnaire, in the order of its lines.
type Errors []Error

// Error returns one line for each error.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, invalid := range e {
		lines[i] = invalid.Error()
	}
	return strings.Join(lines, "\n")
}

// sortedErrors returns the errors in the order of their lines. It keeps only the first error of
// each answer, since a second one follows from the first.
func (r *reader) sortedErrors() Errors {
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

// origin locates the answer from which a field of the configuration is generated.
type origin struct {
	// otherSection contains the answer if it is not in the section of the field's object;
	// otherwise it is the zero section.
	otherSection section
	// key is the path of the answer within its section.
	key string
	// unit is the unit of the field in the configuration, if the answer is converted to it.
	unit string
}

// fieldMap maps the fields of an object to the answers they are generated from. A field that is
// not in the map has the same name as its answer.
type fieldMap map[string]origin

// objectOrigin locates the answers from which an object of the configuration is generated.
type objectOrigin struct {
	section section
	fields  fieldMap
}

// origins finds the answer from which an invalid field of the configuration was generated.
type origins struct {
	// objects is keyed by the paths of the objects in the configuration, such as "workspaces[3]".
	objects map[string]objectOrigin
}

// record notes that the object at path in the configuration is generated from the section s.
func (o *origins) record(path string, s section, fields fieldMap) {
	if o.objects == nil {
		o.objects = map[string]objectOrigin{}
	}
	o.objects[path] = objectOrigin{section: s, fields: fields}
}

// answerError converts an error in a field of the configuration to an error in the answer that the
// field was generated from. It looks for the innermost recorded object that contains the field.
func (o *origins) answerError(err config.FieldError) Error {
	path, field := err.Field, ""
	found, ok := o.objects[path]
	for !ok {
		cut := strings.LastIndexByte(path, '.')
		if cut < 0 {
			path, field = "", err.Field
			found = o.objects[path]
			break
		}
		path = path[:cut]
		field = err.Field[cut+1:]
		found, ok = o.objects[path]
	}
	return found.answerError(field, err)
}

// answerError converts an error in a field of the object. If the field has a unit, the error shows
// the answer as written and the bounds with their unit.
func (object objectOrigin) answerError(field string, err config.FieldError) Error {
	name, index, indexed := strings.Cut(field, "[")
	from, ok := object.fields[name]
	if !ok {
		from = origin{key: name}
	}
	s := object.section
	if from.otherSection.reader != nil {
		s = from.otherSection
	}
	answerErr := Error{Line: s.lineOf(from.key), Field: s.pathOf(from.key), Value: err.Value, Allowed: err.Allowed}
	if indexed {
		answerErr.Field += "[" + index
	}
	if from.unit != "" {
		answerErr.Value = s.rawOf(from.key)
		answerErr.Allowed += " " + from.unit
	}
	return answerErr
}
