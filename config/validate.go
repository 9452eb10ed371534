package config

import (
	"fmt"
	"strings"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// FieldError says what is wrong with one field of a configuration.
type FieldError struct {
	// Field is the path of the field, for instance "workspaces[3].share".
	Field string
	// Value is the value found.
	Value string
	// Allowed describes the values that are accepted.
	Allowed string
}

// Error names the field, its value and the allowed values.
func (e FieldError) Error() string {
	return fmt.Sprintf("%s: %q is not allowed: want %s", e.Field, e.Value, e.Allowed)
}

// FieldErrors is all that is wrong with a configuration.
type FieldErrors []FieldError

// Error joins the messages of all fields.
func (e FieldErrors) Error() string {
	parts := make([]string, len(e))
	for i, field := range e {
		parts[i] = field.Error()
	}
	return strings.Join(parts, "; ")
}

// Validate returns all that is wrong with c, in the order of its fields.
func Validate(c *v1.Configuration) FieldErrors {
	return nil
}
