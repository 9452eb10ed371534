// Package operator implements the commands of chiveseamctl: it reads, checks and writes
// configurations, and reports on a running fleet.
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
	// jsonStart is the first byte of each JSON object. No serialized Configuration starts with
	// it.
	jsonStart = '{'
)

// InputError is returned for mistakes in a file that the operator passed. chiveseamctl then
// exits with its code for wrong usage.
type InputError struct {
	// File is the path of the file.
	File string
	// Err describes the mistakes, one in each line.
	Err error
}

// Error returns the path of the file and the mistakes.
func (e InputError) Error() string {
	return e.File + ":\n" + e.Err.Error()
}

// Unwrap returns Err.
func (e InputError) Unwrap() error {
	return e.Err
}

// Generate reads a questionnaire file and returns its configuration. Mistakes in the
// questionnaire are an InputError.
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

// ReadConfiguration reads a configuration file, serialized or as JSON, without validating it. A
// file that can't be decoded is an InputError.
func ReadConfiguration(file string) (*v1.Configuration, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return decodeConfiguration(file, content)
}

// decodeConfiguration decodes the content of a configuration file, serialized or as JSON.
func decodeConfiguration(file string, content []byte) (*v1.Configuration, error) {
	c := &v1.Configuration{}
	var err error
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

// isJSON reports whether content is a configuration as JSON, as opposed to a serialized one.
func isJSON(content []byte) bool {
	trimmed := bytes.TrimSpace(content)
	return len(trimmed) > 0 && trimmed[0] == jsonStart
}

// Validate reads a configuration file, serialized or as JSON, and validates it as routers do.
// Mistakes in it are an InputError.
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
		return nil, InputError{File: file, Err: onePerLine(err)}
	}
	return accepted, nil
}

// onePerLine returns an error whose text has a line for each mistake in a configuration.
func onePerLine(err error) error {
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

// Encode serializes a configuration for the platform. Equal configurations give equal bytes.
func Encode(c *v1.Configuration) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(c)
}

// EncodeConfigurationJSON returns a configuration as indented JSON that ends with a newline.
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

// PrintSummary prints the sizes of a configuration and its digest, which routers report once
// they use the configuration.
func PrintSummary(w io.Writer, a *config.Accepted) error {
	c := a.Proto
	_, err := fmt.Fprintf(w, "valid: %s: %d zones, %d pools, %d targets, %d workspaces, %d bytes, digest %x\n",
		c.Deployment, len(c.Zones), len(c.Pools), len(c.Targets), len(c.Workspaces), len(a.Payload), a.Digest)
	return err
}

// PrintDiff prints the changes from one configuration to another, one in each line.
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
