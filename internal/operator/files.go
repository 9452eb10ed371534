// Package operator holds what chiveseamctl does: it reads and writes
// configurations and reports on a running fleet.
package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/chiveseam/chiveseam/config"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/questionnaire"
)

const (
	filePermissions = 0o644
	jsonIndent      = "  "
	// jsonStart begins each JSON object, and no serialized Configuration.
	jsonStart = '{'
)

// InputError wraps mistakes in what the operator handed in.
type InputError struct {
	// File is the file with the mistakes.
	File string
	Err  error
}

// Error names the file and the mistakes.
func (e InputError) Error() string {
	return e.File + ":\n" + e.Err.Error()
}

// Unwrap returns the mistakes.
func (e InputError) Unwrap() error {
	return e.Err
}

// Generate returns the configuration of the questionnaire in the file.
func Generate(file string) (*config.Accepted, error) {
	answers, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	c, err := questionnaire.Generate(answers)
	if err != nil {
		return nil, InputError{File: file, Err: err}
	}
	payload, err := Encode(c)
	if err != nil {
		return nil, err
	}
	return config.Accept(0, payload)
}

// ReadConfiguration reads a configuration, serialized or as JSON.
func ReadConfiguration(file string) (*v1.Configuration, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	c := &v1.Configuration{}
	if isJSON(content) {
		err = protojson.Unmarshal(content, c)
	} else {
		err = proto.Unmarshal(content, c)
	}
	if err != nil {
		return nil, InputError{File: file, Err: fmt.Errorf("decode configuration: %w", err)}
	}
	return c, nil
}

func isJSON(content []byte) bool {
	trimmed := bytes.TrimSpace(content)
	return len(trimmed) > 0 && trimmed[0] == jsonStart
}

// Validate judges the configuration in the file as routers do. JSON is
// serialized before.
func Validate(file string) (*config.Accepted, error) {
	payload, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if isJSON(payload) {
		c, err := ReadConfiguration(file)
		if err != nil {
			return nil, err
		}
		if payload, err = Encode(c); err != nil {
			return nil, err
		}
	}
	accepted, err := config.Accept(0, payload)
	if err != nil {
		return nil, InputError{File: file, Err: inputLines(err)}
	}
	return accepted, nil
}

// inputLines gives each fault of a configuration a line of its own.
func inputLines(err error) error {
	var faults config.FieldErrors
	if !errors.As(err, &faults) {
		return err
	}
	lines := make([]error, len(faults))
	for i, fault := range faults {
		lines[i] = fault
	}
	return errors.Join(lines...)
}

// Encode serializes a configuration for the platform. Equal configurations
// give equal bytes.
func Encode(c *v1.Configuration) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(c)
}

// EncodeConfigurationJSON returns a configuration as indented JSON with a line
// feed at its end.
func EncodeConfigurationJSON(c *v1.Configuration) ([]byte, error) {
	compact, err := protojson.Marshal(c)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, compact, "", jsonIndent); err != nil {
		return nil, err
	}
	out.WriteByte('\n')
	return out.Bytes(), nil
}

// WriteFile writes content to the file, or to stdout if file is empty.
func WriteFile(file string, content []byte, stdout io.Writer) error {
	if file == "" {
		_, err := stdout.Write(content)
		return err
	}
	return os.WriteFile(file, content, filePermissions)
}

// PrintSummary prints the sizes of a configuration and the digest that routers
// report once it is in force.
func PrintSummary(w io.Writer, a *config.Accepted) error {
	c := a.Proto
	_, err := fmt.Fprintf(w, "valid: %s: %d zones, %d pools, %d targets, %d workspaces, %d bytes, digest %x\n",
		c.Deployment, len(c.Zones), len(c.Pools), len(c.Targets), len(c.Workspaces), len(a.Payload), a.Digest)
	return err
}

// PrintDiff prints the changes from one configuration to another.
func PrintDiff(w io.Writer, from, to *v1.Configuration) error {
	changes := config.Diff(from, to)
	if len(changes) == 0 {
		_, err := fmt.Fprintln(w, "no changes")
		return err
	}
	for _, change := range changes {
		if _, err := fmt.Fprintln(w, change); err != nil {
			return err
		}
	}
	return nil
}
