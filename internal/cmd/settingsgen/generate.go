package main

import (
	"bytes"
	_ "embed"
	"fmt"
	"go/format"
	"math"
	"strconv"
	"strings"
	"text/template"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// durationMessage is the full name of the message type of duration settings.
const durationMessage = "google.protobuf.Duration"

var (
	//go:embed settings.go.tmpl
	codeTemplate string
	//go:embed settings.md.tmpl
	pageTemplate string
)

// output is a generated file.
type output struct {
	// path is relative to the module and uses slashes.
	path string
	// generate returns the content of the file.
	generate func() ([]byte, error)
}

var outputs = []output{
	{"settings/settings_gen.go", generateCode},
	{"docs/SETTINGS.md", generatePage},
}

// field is one setting, as passed to the templates.
type field struct {
	*v1.Setting
	// GoName is the name of the setting's field in the generated struct types.
	GoName string
	// GoType is the type of the setting's field in settings.Router.
	GoType string
	// Parser is a Go expression for the setting's syntax in package settings.
	Parser string
}

// Tag returns the struct tag that go-flags reads in settings.routerFlags.
func (f field) Tag() string {
	tag := fmt.Sprintf("long:%q env:%q", f.GetFlag(), f.GetEnv())
	if f.GetDefault() != "" {
		tag += fmt.Sprintf(" default:%q", f.GetDefault())
	}
	return tag + fmt.Sprintf(" description:%q", f.GetDescription())
}

// Range returns a description of the accepted values for the reference page. It is empty if every
// string is accepted.
func (f field) Range() string {
	if f.GetMin() != "" {
		return f.GetMin() + " to " + f.GetMax()
	}
	switch f.GetKind() {
	case v1.SettingKind_NAME:
		return "a name"
	case v1.SettingKind_IP_PORT:
		return "IP:port"
	case v1.SettingKind_URL:
		return "http or https URL"
	}
	return strings.Join(f.GetChoices(), ", ")
}

// generateCode returns the formatted Go source of the settings.
func generateCode() ([]byte, error) {
	source, err := execute(codeTemplate)
	if err != nil {
		return nil, err
	}
	return format.Source(source)
}

// generatePage returns the reference page in Markdown.
func generatePage() ([]byte, error) {
	return execute(pageTemplate)
}

// execute applies the template text to all settings, in the order of the schema.
func execute(text string) ([]byte, error) {
	fields, err := fieldsOf((&v1.RouterSettings{}).ProtoReflect().Descriptor())
	if err != nil {
		return nil, err
	}
	tmpl, err := template.New("settings").Parse(text)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	err = tmpl.Execute(&out, fields)
	return out.Bytes(), err
}

// fieldsOf returns the settings that the fields of message define.
func fieldsOf(message protoreflect.MessageDescriptor) ([]field, error) {
	descriptors := message.Fields()
	fields := make([]field, 0, descriptors.Len())
	for i := range descriptors.Len() {
		f, err := fieldOf(descriptors.Get(i))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", descriptors.Get(i).FullName(), err)
		}
		fields = append(fields, f)
	}
	return fields, nil
}

// fieldOf returns the setting that one field of the message defines.
func fieldOf(descriptor protoreflect.FieldDescriptor) (field, error) {
	setting, ok := proto.GetExtension(descriptor.Options(), v1.E_Setting).(*v1.Setting)
	if !ok || setting.GetFlag() == "" || setting.GetEnv() == "" || setting.GetDescription() == "" {
		return field{}, fmt.Errorf("the option (setting) needs a flag, an env and a description")
	}
	f := field{Setting: setting, GoName: goName(descriptor.Name())}
	return f, f.setType(descriptor)
}

// setType sets GoType and Parser according to the field's type in the schema.
func (f *field) setType(descriptor protoreflect.FieldDescriptor) error {
	switch descriptor.Kind() {
	case protoreflect.StringKind:
		return f.setStringType()
	case protoreflect.Int32Kind:
		return f.setIntegerType("int", math.MaxInt32)
	case protoreflect.Int64Kind:
		return f.setIntegerType("int64", math.MaxInt64)
	case protoreflect.Uint64Kind:
		f.GoType, f.Parser = "uint64", "unsigned"
		return nil
	case protoreflect.MessageKind:
		if descriptor.Message().FullName() == durationMessage {
			return f.setDurationType()
		}
	}
	return fmt.Errorf("the type %s is not supported", descriptor.Kind())
}

func (f *field) setStringType() error {
	f.GoType = "string"
	switch f.GetKind() {
	case v1.SettingKind_TEXT:
		f.Parser = fmt.Sprintf("choice(%s)", quoted(f.GetChoices()))
	case v1.SettingKind_NAME:
		f.Parser = "nameSyntax"
	case v1.SettingKind_URL:
		f.Parser = "baseURL"
	case v1.SettingKind_IP_PORT:
		f.GoType, f.Parser = "netip.AddrPort", "ipPort"
	default:
		return fmt.Errorf("the kind %s is not supported", f.GetKind())
	}
	return nil
}

// setIntegerType sets GoType and Parser of an integer setting. Without min and max in the schema,
// the bounds are 0 and limit.
func (f *field) setIntegerType(goType string, limit int64) error {
	low, high := int64(0), limit
	var err error
	if f.GetMin() != "" {
		if low, err = strconv.ParseInt(f.GetMin(), 10, 64); err != nil {
			return err
		}
	}
	if f.GetMax() != "" {
		if high, err = strconv.ParseInt(f.GetMax(), 10, 64); err != nil {
			return err
		}
	}
	f.GoType = goType
	f.Parser = fmt.Sprintf("integer[%s](%d, %d)", goType, low, high)
	return nil
}

func (f *field) setDurationType() error {
	low, err := time.ParseDuration(f.GetMin())
	if err != nil {
		return err
	}
	high, err := time.ParseDuration(f.GetMax())
	if err != nil {
		return err
	}
	f.GoType = "time.Duration"
	f.Parser = fmt.Sprintf("duration(%d, %d)", low, high)
	return nil
}

// quoted returns the choices as a comma-separated list of Go string literals.
func quoted(choices []string) string {
	parts := make([]string, len(choices))
	for i, choice := range choices {
		parts[i] = strconv.Quote(choice)
	}
	return strings.Join(parts, ", ")
}

// initialisms maps words that are written in capitals in Go names.
var initialisms = map[string]string{"url": "URL", "otlp": "OTLP"}

// goName converts a field name of the schema to a Go name, for instance platform_url to
// PlatformURL.
func goName(name protoreflect.Name) string {
	var out strings.Builder
	for _, word := range strings.Split(string(name), "_") {
		if upper, ok := initialisms[word]; ok {
			out.WriteString(upper)
			continue
		}
		out.WriteString(strings.ToUpper(word[:1]) + word[1:])
	}
	return out.String()
}
