package config

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// ChangeKind says whether an object was added, removed or changed.
type ChangeKind int

// Kinds of changes.
const (
	Added ChangeKind = iota + 1
	Removed
	Changed
)

// Change is one difference between two configurations.
type Change struct {
	Kind ChangeKind
	// Object is the kind of the object in words, for instance "workspace" or "deadline class".
	Object string
	// Name is the name of the object. It is empty for objects that exist once, such as the
	// limits.
	Name string
	// Field is the path of the changed field with spaces between the words, for instance "model
	// version". It is "value" if the object itself changed, and empty unless Kind is Changed.
	Field string
	// Old and New are the texts of the field's values before and after; empty unless Kind is
	// Changed.
	Old, New string
}

// String describes the change in a sentence without a full stop.
func (c Change) String() string {
	subject := c.Object
	if c.Name != "" {
		subject += " " + c.Name
	}
	switch c.Kind {
	case Added:
		return subject + " is added"
	case Removed:
		return subject + " is removed"
	default:
		return fmt.Sprintf("%s: %s changes from %s to %s", subject, c.Field, c.Old, c.New)
	}
}

const (
	nameField         = "name"
	unsetText         = "unset"
	digestPrefixBytes = 4
	wordSeparator     = " "
)

// objectNames maps the list fields of a Configuration to the singular name of their objects.
var objectNames = map[protoreflect.Name]string{
	"zones":      "zone",
	"pools":      "pool",
	"targets":    "target",
	"workspaces": "workspace",
	"classes":    "deadline class",
}

// Diff returns the differences between two configurations, in the order of the schema's fields
// and by name within each list. The order of zones, pools, targets, workspaces and classes in
// their lists does not count as a difference.
func Diff(old, new *v1.Configuration) []Change {
	var d differ
	before, after := old.ProtoReflect(), new.ProtoReflect()
	fields := before.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if field.IsList() {
			d.compareLists(objectNames[field.Name()], before.Get(field).List(), after.Get(field).List())
			continue
		}
		d.object = fieldWords(field)
		d.compareField(field, before, after, nil)
	}
	return d.changes
}

// differ collects changes. object and name identify the object that is being compared.
type differ struct {
	changes      []Change
	object, name string
}

// compareLists compares two lists of named objects.
func (d *differ) compareLists(object string, before, after protoreflect.List) {
	old, new := byName(before), byName(after)
	for _, name := range unionOfNames(old, new) {
		d.object, d.name = object, name
		a, b := old[name], new[name]
		switch {
		case a == nil:
			d.add(Change{Kind: Added})
		case b == nil:
			d.add(Change{Kind: Removed})
		default:
			d.compareMessages(a, b, nil)
		}
	}
	d.name = ""
}

// compareMessages compares two messages field by field. path holds the field names that lead to
// them from the object.
func (d *differ) compareMessages(before, after protoreflect.Message, path []string) {
	fields := before.Descriptor().Fields()
	for i := range fields.Len() {
		d.compareField(fields.Get(i), before, after, append(path, fieldWords(fields.Get(i))))
	}
}

// compareField compares one field of two messages. It descends into a message field that both
// have; any other field is compared and reported as a whole.
func (d *differ) compareField(field protoreflect.FieldDescriptor, before, after protoreflect.Message, path []string) {
	a, b := before.Get(field), after.Get(field)
	if field.Message() != nil && !field.IsList() && before.Has(field) && after.Has(field) {
		d.compareMessages(a.Message(), b.Message(), path)
		return
	}
	old, new := fieldText(field, before), fieldText(field, after)
	if a.Equal(b) && before.Has(field) == after.Has(field) {
		return
	}
	d.add(Change{Kind: Changed, Field: strings.Join(path, wordSeparator), Old: old, New: new})
}

// add records a change of the current object.
func (d *differ) add(c Change) {
	c.Object, c.Name = d.object, d.name
	if c.Kind == Changed && c.Field == "" {
		c.Field = "value"
	}
	d.changes = append(d.changes, c)
}

// byName indexes a list of messages by their name field.
func byName(list protoreflect.List) map[string]protoreflect.Message {
	out := map[string]protoreflect.Message{}
	for i := range list.Len() {
		message := list.Get(i).Message()
		name := message.Descriptor().Fields().ByName(nameField)
		out[message.Get(name).String()] = message
	}
	return out
}

func unionOfNames(old, new map[string]protoreflect.Message) []string {
	var names []string
	for name := range old {
		names = append(names, name)
	}
	for name := range new {
		if old[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// fieldWords returns a field's name with spaces instead of underscores.
func fieldWords(field protoreflect.FieldDescriptor) string {
	return strings.ReplaceAll(string(field.Name()), "_", wordSeparator)
}

// fieldText returns the text of a field of in. A message field that is not set reads "unset".
func fieldText(field protoreflect.FieldDescriptor, in protoreflect.Message) string {
	if field.Message() != nil && !field.IsList() && !in.Has(field) {
		return unsetText
	}
	value := in.Get(field)
	if !field.IsList() {
		return valueText(field, value)
	}
	parts := make([]string, value.List().Len())
	for i := range parts {
		parts[i] = valueText(field, value.List().Get(i))
	}
	return "[" + strings.Join(parts, ", ") + "]"
}

func valueText(field protoreflect.FieldDescriptor, value protoreflect.Value) string {
	switch field.Kind() {
	case protoreflect.MessageKind:
		return messageText(value.Message())
	case protoreflect.EnumKind:
		return string(field.Enum().Values().ByNumber(value.Enum()).Name())
	case protoreflect.StringKind:
		return fmt.Sprintf("%q", value.String())
	case protoreflect.BytesKind:
		return bytesText(value.Bytes())
	default:
		return fmt.Sprint(value.Interface())
	}
}

// bytesText returns the bytes in hexadecimal, shortened to the first four bytes. It is used for
// digests.
func bytesText(value []byte) string {
	if len(value) <= digestPrefixBytes {
		return hex.EncodeToString(value)
	}
	return hex.EncodeToString(value[:digestPrefixBytes]) + "..."
}

// messageText returns the set fields of a message in braces.
func messageText(message protoreflect.Message) string {
	var parts []string
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		if field := fields.Get(i); message.Has(field) {
			parts = append(parts, fieldWords(field)+": "+fieldText(field, message))
		}
	}
	return "{" + strings.Join(parts, ", ") + "}"
}
