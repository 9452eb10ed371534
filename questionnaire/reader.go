package questionnaire

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// reader reads a YAML document and collects the errors found in it.
type reader struct {
	errs Errors
}

func (r *reader) add(err Error) {
	r.errs = append(r.errs, err)
}

// document parses the questionnaire and returns its root section.
func (r *reader) document(answers []byte) (section, error) {
	file, err := parser.ParseBytes(answers, 0)
	if err != nil {
		return section{}, syntaxError(err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return section{}, Errors{{Line: 1, Field: "document", Allowed: "one YAML document with answers"}}
	}
	root, ok := r.readMapping(file.Docs[0].Body, "", rootFields)
	if !ok {
		return section{}, r.errs
	}
	return root, nil
}

func syntaxError(err error) error {
	var syntax *yaml.SyntaxError
	if !errors.As(err, &syntax) {
		return fmt.Errorf("read questionnaire: %w", err)
	}
	token := syntax.GetToken()
	return Errors{{Line: token.Position.Line, Field: "document", Value: token.Value, Allowed: "YAML: " + syntax.Message}}
}

// section is a mapping in the document. Its methods return the answers under its keys as Go values
// and report those that are invalid to the reader. The zero section has no answers.
type section struct {
	reader *reader
	// path is the path of the mapping in the document; empty for the root.
	path string
	// line is the first line of the mapping, from 1 on.
	line int
	// values holds the answers other than null by their keys.
	values map[string]ast.Node
}

// readMapping returns the mapping n, which is at path, as a section. It reports keys other than
// those in known, and returns false if n is not a mapping.
func (r *reader) readMapping(n ast.Node, path string, known []string) (section, bool) {
	s := section{reader: r, path: path, line: lineOf(n), values: map[string]ast.Node{}}
	mapping, ok := n.(ast.MapNode)
	if !ok {
		r.add(Error{Line: s.line, Field: s.pathOf(""), Value: raw(n), Allowed: "a mapping of " + strings.Join(known, ", ")})
		return s, false
	}
	for iter := mapping.MapRange(); iter.Next(); {
		key := raw(iter.Key())
		if !slices.Contains(known, key) {
			r.add(Error{Line: lineOf(iter.Key()), Field: s.pathOf(key), Value: key, Allowed: "one of " + strings.Join(known, ", ")})
			continue
		}
		if iter.Value().Type() != ast.NullType {
			s.values[key] = iter.Value()
		}
	}
	return s, true
}

func (s section) has(key string) bool {
	return s.values[key] != nil
}

// section returns the mapping under key, which may contain the known keys, and whether there is
// one. If there is none, the returned section has no answers.
func (s section) section(key string, known []string) (section, bool) {
	if !s.has(key) {
		return section{reader: s.reader, path: s.pathOf(key), line: s.line}, false
	}
	return s.reader.readMapping(s.values[key], s.pathOf(key), known)
}

// items returns the entries of the sequence under key, or nil if there is none.
func (s section) items(key string) []ast.Node {
	if !s.has(key) {
		return nil
	}
	sequence, ok := s.values[key].(*ast.SequenceNode)
	if !ok {
		s.fail(key, "a list")
		return nil
	}
	return sequence.Values
}

// list returns the entries of the sequence under key, which must be mappings with the known keys.
// Other entries are reported and left out.
func (s section) list(key string, known []string) []section {
	var out []section
	for i, item := range s.items(key) {
		if entry, ok := s.reader.readMapping(item, fmt.Sprintf("%s[%d]", s.pathOf(key), i), known); ok {
			out = append(out, entry)
		}
	}
	return out
}

// fail reports that the answer under key is invalid or missing.
func (s section) fail(key, allowed string) {
	s.reader.add(Error{Line: s.lineOf(key), Field: s.pathOf(key), Value: s.rawOf(key), Allowed: allowed})
}

// pathOf returns the path of key in the document. The key may itself be a path through nested
// mappings, such as "cost.input_token".
func (s section) pathOf(key string) string {
	switch {
	case s.path == "" && key == "":
		return "document"
	case s.path == "":
		return key
	case key == "":
		return s.path
	}
	return s.path + "." + key
}

// lineOf returns the line of the answer under key. If there is none, it returns the line of the
// innermost existing mapping that would contain it.
func (s section) lineOf(key string) int {
	n, line := s.find(key)
	if n != nil {
		return lineOf(n)
	}
	return line
}

// rawOf returns the answer under key as written if it is a scalar, otherwise an empty string.
func (s section) rawOf(key string) string {
	n, _ := s.find(key)
	return raw(n)
}

// find returns the node at key, which may be a path through nested mappings, or nil if there is
// none. It also returns the line of the last mapping that it found on the path.
func (s section) find(key string) (ast.Node, int) {
	first, rest, nested := strings.Cut(key, ".")
	n, line := s.values[first], s.line
	for nested && n != nil {
		line = lineOf(n)
		first, rest, nested = strings.Cut(rest, ".")
		n = child(n, first)
	}
	return n, line
}

// child returns the value under key if n is a mapping that contains it, otherwise nil.
func child(n ast.Node, key string) ast.Node {
	mapping, ok := n.(ast.MapNode)
	if !ok {
		return nil
	}
	for iter := mapping.MapRange(); iter.Next(); {
		if raw(iter.Key()) == key {
			return iter.Value()
		}
	}
	return nil
}

// lineOf returns the first line of a node. The token of a block mapping is the colon of its first
// entry, so the line of that entry's key is returned instead.
func lineOf(n ast.Node) int {
	if mapping, ok := n.(*ast.MappingNode); ok && !mapping.IsFlowStyle && len(mapping.Values) > 0 {
		return lineOf(mapping.Values[0].Key)
	}
	return n.GetToken().Position.Line
}

// raw returns the text of a scalar as written, and an empty string for other nodes.
func raw(n ast.Node) string {
	switch n := n.(type) {
	case nil:
		return ""
	case *ast.StringNode:
		return n.Value
	case *ast.LiteralNode:
		return n.Value.Value
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return n.GetToken().Value
	}
	return ""
}

// isScalar reports whether n is a scalar, for which raw returns the text.
func isScalar(n ast.Node) bool {
	switch n.(type) {
	case *ast.StringNode, *ast.LiteralNode, *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return true
	}
	return false
}
