package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/chiveseam/chiveseam/config"
	"github.com/chiveseam/chiveseam/configcheck"
	"github.com/chiveseam/chiveseam/internal/jsontree"
	"github.com/chiveseam/chiveseam/platform"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// errFormats is returned if the two files of a check cannot be compared.
var errFormats = errors.New("the configuration in force has the other format: one is the platform's, the other the project's own")

// errEmpty is returned for a file without content, which would be an empty serialized configuration.
var errEmpty = errors.New("the file is empty")

// ownValuesFactor is how many times as many values as the platform's format the project's own may
// have: the smallest ones take 2 to 3 bytes of the config.MaxPayloadBytes of a serialized configuration.
const ownValuesFactor = 4

// CheckResult is the result of CheckConfiguration.
type CheckResult struct {
	File     string
	Findings []configcheck.Finding
	// InForce is the file of the configuration in force, "" if there is none. Differences are those
	// from it.
	InForce     string
	Differences []config.Change
}

// Err returns an error if there are findings of severity error.
func (r *CheckResult) Err() error {
	if n := configcheck.Count(r.Findings, configcheck.Error); n > 0 {
		return fmt.Errorf("%s: errors: %d", r.File, n)
	}
	return nil
}

// CheckConfiguration checks a configuration in the platform's format or the project's own, and
// compares it with that in the file inForce unless that is "". The regions of the availability
// zones may be nil. Files that cannot be read or decoded are an InputError.
func CheckConfiguration(file, inForce string, zoneRegions map[string]string) (*CheckResult, error) {
	checked, err := readDocument(file)
	if err != nil {
		return nil, err
	}
	result := &CheckResult{File: file, InForce: inForce}
	options := configcheck.Options{ZoneRegions: zoneRegions}
	if inForce != "" {
		old, err := readDocument(inForce)
		if err != nil {
			return nil, err
		}
		if (old.routes == nil) != (checked.routes == nil) {
			return nil, InputError{File: file, Err: errFormats}
		}
		if checked.routes != nil {
			options.InForce = old.routes
			result.Differences = configcheck.Diff(old.routes, checked.routes)
		} else {
			result.Differences = config.Diff(old.pools, checked.pools)
		}
	}
	if checked.routes != nil {
		result.Findings = configcheck.Check(checked.routes, options)
		return result, nil
	}
	result.Findings, err = checked.acceptFindings()
	if err != nil {
		return nil, InputError{File: file, Err: err}
	}
	return result, nil
}

// document is a decoded configuration file.
type document struct {
	// routes is set for the platform's format, pools for the project's own.
	routes *configcheck.Configuration
	pools  *v1.Configuration
	// payload is the serialized form of pools, tree the JSON form, nil if the file has none.
	payload []byte
	tree    *jsontree.Node
}

// readDocument reads a file in one of the formats. Its errors are of type InputError.
func readDocument(file string) (*document, error) {
	content, err := readBounded(file)
	if err != nil {
		return nil, InputError{File: file, Err: err}
	}
	return decodeDocument(file, content)
}

// decodeDocument decodes the content of a file in one of the formats.
func decodeDocument(file string, content []byte) (*document, error) {
	var err error
	d := &document{payload: content}
	if len(content) == 0 {
		return nil, InputError{File: file, Err: errEmpty}
	}
	if !isJSON(content) {
		if d.pools, err = decodeConfiguration(file, content); err != nil {
			return nil, InputError{File: file, Err: fmt.Errorf("neither a JSON object nor a serialized configuration: %w", errors.Unwrap(err))}
		}
		return d, nil
	}
	limits := platform.DocumentLimits
	limits.Values *= ownValuesFactor
	d.tree, err = jsontree.Parse(content, limits)
	if d.tree != nil && platform.IsConfiguration(d.tree) {
		d.routes, err = platform.DescribeConfiguration(content)
	}
	if err != nil {
		return nil, InputError{File: file, Err: err}
	}
	if d.routes != nil {
		d.tree, d.payload = nil, nil // the description has the lines
		return d, nil
	}
	if d.pools, err = decodeConfiguration(file, content); err != nil {
		return nil, err
	}
	d.payload, err = Encode(d.pools)
	return d, err
}

// readBounded reads a file of at most the size that can be decoded.
func readBounded(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	largest := platform.DocumentLimits.Bytes
	content, err := io.ReadAll(io.LimitReader(f, int64(largest)+1))
	if err == nil && len(content) > largest {
		err = fmt.Errorf("larger than %d bytes", largest)
	}
	return content, err
}

// acceptFindings returns the fields for which routers reject the project's own format.
func (d *document) acceptFindings() ([]configcheck.Finding, error) {
	_, err := config.Accept(0, d.payload)
	var fields config.FieldErrors
	if err != nil && !errors.As(err, &fields) {
		return nil, err
	}
	findings := make([]configcheck.Finding, len(fields))
	for i, f := range fields {
		findings[i] = configcheck.Finding{
			Severity: configcheck.Error, Path: f.Field, Line: lineOf(d.tree, f.Field),
			Message: fmt.Sprintf("%s is not allowed: want %s", jsontree.Quote(f.Value), f.Allowed),
		}
	}
	return findings, nil
}

// lineOf returns the line of the value at a path, or of the last value on the way to it. It returns
// 0 if there is no tree.
func lineOf(n *jsontree.Node, path string) int {
	if n == nil {
		return 0
	}
	for part := range strings.FieldsFuncSeq(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		next := child(n, part)
		if next == nil {
			break
		}
		n = next
	}
	return n.Line
}

// child returns the element or member of a value. Members may have the name of the field or the
// same in camel case. It returns nil if there is none.
func child(n *jsontree.Node, part string) *jsontree.Node {
	if i, err := strconv.Atoi(part); err == nil {
		if i >= 0 && i < len(n.Elements) {
			return n.Elements[i]
		}
		return nil
	}
	for _, m := range n.Members {
		if strings.EqualFold(strings.ReplaceAll(m.Name, "_", ""), strings.ReplaceAll(part, "_", "")) {
			return m.Value
		}
	}
	return nil
}

// checkJSON is the JSON form of a CheckResult.
type checkJSON struct {
	File     string                `json:"file"`
	Errors   int                   `json:"errors"`
	Warnings int                   `json:"warnings"`
	Findings []configcheck.Finding `json:"findings"`
	InForce  string                `json:"in_force,omitempty"`
	// Differences is nil if there is nothing to compare with.
	Differences []changeJSON `json:"differences"`
}

// changeJSON is the JSON form of a change.
type changeJSON struct {
	Kind   string `json:"kind"`
	Object string `json:"object"`
	Name   string `json:"name,omitempty"`
	Field  string `json:"field,omitempty"`
	Old    string `json:"old,omitempty"`
	New    string `json:"new,omitempty"`
}

// changeKinds are the names of the kinds in JSON.
var changeKinds = map[config.ChangeKind]string{config.Added: "added", config.Removed: "removed", config.Changed: "changed"}

// PrintCheck prints the findings and differences, one in each line, or as JSON.
func PrintCheck(w io.Writer, r *CheckResult, asJSON bool) error {
	faults, warnings := configcheck.Count(r.Findings, configcheck.Error), configcheck.Count(r.Findings, configcheck.Warning)
	if asJSON {
		out := checkJSON{File: r.File, Errors: faults, Warnings: warnings, Findings: append([]configcheck.Finding{}, r.Findings...), InForce: r.InForce}
		if r.InForce != "" {
			out.Differences = make([]changeJSON, len(r.Differences))
		}
		for i, c := range r.Differences {
			out.Differences[i] = changeJSON{changeKinds[c.Kind], c.Object, c.Name, c.Field, c.Old, c.New}
		}
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", jsonIndent)
		return encoder.Encode(out)
	}
	var text strings.Builder
	for _, f := range r.Findings {
		text.WriteString(r.File)
		if f.Line > 0 {
			fmt.Fprintf(&text, ":%d", f.Line)
		}
		fmt.Fprintf(&text, ": %s: ", f.Severity)
		if f.Path != "" {
			text.WriteString(f.Path + ": ")
		}
		text.WriteString(f.Message + "\n")
	}
	fmt.Fprintf(&text, "errors: %d, warnings: %d\n", faults, warnings)
	if r.InForce != "" {
		fmt.Fprintf(&text, "differences from %s: %d\n", r.InForce, len(r.Differences))
	}
	for _, c := range r.Differences {
		fmt.Fprintf(&text, "  %s\n", c)
	}
	_, err := io.WriteString(w, text.String())
	return err
}
