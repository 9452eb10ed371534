package config

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// ChangeKind says how an object differs between two configurations.
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
	// Object is the kind of the object, for instance "workspace".
	Object string
	// Name is the object's name; objects that exist once have none.
	Name string
	// Field is the path of a changed field in words; empty unless Changed.
	Field string
	// Old and New are the values of a changed field.
	Old, New string
}

// String returns the change as a sentence without a full stop.
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
	nameField     = "name"
	unsetText     = "unset"
	digestPrefix  = 4
	wordSeparator = " "
)

// objectWords are the singular words of the lists of a Configuration.
var objectWords = map[protoreflect.Name]string{
	"zones":      "zone",
	"pools":      "pool",
	"targets":    "target",
	"workspaces": "workspace",
	"classes":    "deadline class",
}

// Diff returns what changes from old to new: object by object in the order of
// the schema, and by name within each list. The order of a list of named
// objects is no difference.
func Diff(old, new *v1.Configuration) []Change {
	var d differ
	before, after := old.ProtoReflect(), new.ProtoReflect()
	fields := before.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if field.IsList() {
			d.lists(objectWords[field.Name()], before.Get(field).List(), after.Get(field).List())
			continue
		}
		d.object = words(field)
		d.fieldValue(field, before, after, nil)
	}
	return d.changes
}

// differ collects the changes of the object at hand.
type differ struct {
	changes      []Change
	object, name string
}

// lists compares two lists of named objects.
func (d *differ) lists(object string, before, after protoreflect.List) {
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
			d.message(a, b, nil)
		}
	}
	d.name = ""
}

// message compares the fields of two messages; path leads to them.
func (d *differ) message(before, after protoreflect.Message, path []string) {
	fields := before.Descriptor().Fields()
	for i := range fields.Len() {
		d.fieldValue(fields.Get(i), before, after, append(path, words(fields.Get(i))))
	}
}

func (d *differ) fieldValue(field protoreflect.FieldDescriptor, before, after protoreflect.Message, path []string) {
	a, b := before.Get(field), after.Get(field)
	if field.Message() != nil && !field.IsList() && before.Has(field) && after.Has(field) {
		d.message(a.Message(), b.Message(), path)
		return
	}
	old, new := fieldText(field, before), fieldText(field, after)
	if a.Equal(b) && before.Has(field) == after.Has(field) {
		return
	}
	d.add(Change{Kind: Changed, Field: strings.Join(path, wordSeparator), Old: old, New: new})
}

func (d *differ) add(c Change) {
	c.Object, c.Name = d.object, d.name
	if c.Kind == Changed && c.Field == "" {
		c.Field = "value"
	}
	d.changes = append(d.changes, c)
}

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

// words returns a field's name as words.
func words(field protoreflect.FieldDescriptor) string {
	return strings.ReplaceAll(string(field.Name()), "_", wordSeparator)
}

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

// bytesText shortens digests to their first bytes.
func bytesText(value []byte) string {
	if len(value) <= digestPrefix {
		return hex.EncodeToString(value)
	}
	return hex.EncodeToString(value[:digestPrefix]) + "..."
}

func messageText(message protoreflect.Message) string {
	var parts []string
	fields := message.Descriptor().Fields()
	for i := range fields.Len() {
		if field := fields.Get(i); message.Has(field) {
			parts = append(parts, words(field)+": "+fieldText(field, message))
		}
	}
	return "{" + strings.Join(parts, ", ") + "}"
}
