// Package jsontree parses JSON documents of operators into trees whose nodes know their lines.
// Documents may be hostile: size, depth and number of values are bounded, and an object with two
// members of one name is an error, since decoders differ in which of them they use.
package jsontree

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Kind is the kind of a JSON value.
type Kind int

// Kinds of JSON values.
const (
	Null Kind = iota
	Bool
	Number
	Text
	List
	Object
)

// String returns the name of the kind with an article.
func (k Kind) String() string {
	return [...]string{"null", "a boolean", "a number", "a text", "a list", "an object"}[k]
}

// Node is one JSON value. Its zero value is null.
type Node struct {
	Kind Kind
	// Line is the line on which the value begins, from 1.
	Line int
	// Text is the value of a text, and the literal of a number or a boolean.
	Text string
	// Elements are the values of a list, Members those of an object in the order of the document.
	Elements []*Node
	Members  []Member
	// Start and End are the offsets of a list or an object in the document.
	Start, End int
}

// Member is a member of an object.
type Member struct {
	Name  string
	Value *Node
}

// Problem is a reason why a document cannot be decoded.
type Problem struct {
	// Line is 0 if the problem concerns the document as a whole.
	Line int
	// Path leads to the value, for instance "routes[3].prefix". It may be empty.
	Path    string
	Message string
}

// Error returns the line, the path and the message.
func (p Problem) Error() string {
	var text strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&text, "line %d: ", p.Line)
	}
	if p.Path != "" {
		text.WriteString(p.Path + ": ")
	}
	text.WriteString(p.Message)
	return text.String()
}

// maxProblems is the number of problems of one document that are kept. Hostile documents have any
// number of them.
const maxProblems = 100

// Problems are all problems of a document.
type Problems []Problem

// Add adds a problem unless there are many already.
func (p *Problems) Add(line int, path, format string, args ...any) {
	switch {
	case len(*p) < maxProblems:
		*p = append(*p, Problem{Line: line, Path: path, Message: fmt.Sprintf(format, args...)})
	case len(*p) == maxProblems:
		*p = append(*p, Problem{Message: "more problems are left out"})
	}
}

// Error returns the problems, one in each line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns p, or nil if there are no problems.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Limits bound a document.
type Limits struct {
	Bytes, Depth, Values int
}

// Parse parses a document. Its errors are of type Problems. If the only problems are members that are
// there twice, it returns the tree too, for a search for other problems.
func Parse(data []byte, limits Limits) (*Node, error) {
	var problems Problems
	if len(data) > limits.Bytes {
		problems.Add(0, "", "larger than %d bytes", limits.Bytes)
		return nil, problems
	}
	if valid := len(bytes.ToValidUTF8(data, nil)); valid != len(data) {
		problems.Add(lineAt(data, firstInvalid(data)), "", "text that is not UTF-8")
		return nil, problems
	}
	// The scanner of package json bounds its depth and gives the offset of each syntax error, while
	// Decoder.Token reports some of them without one.
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		offset := len(data)
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			offset = min(int(syntax.Offset), len(data))
		}
		problems.Add(lineAt(data, offset), "", "%v", err)
		return nil, problems
	}
	p := &parser{data: data, limits: limits, decoder: json.NewDecoder(bytes.NewReader(data)), line: 1}
	p.decoder.UseNumber()
	root, err := p.value(0)
	if err != nil {
		problems.Add(p.line, p.pathText(), "%v", err)
		return nil, problems
	}
	return root, p.problems.Err()
}

// lineAt returns the line of the byte before an offset.
func lineAt(data []byte, offset int) int {
	return 1 + bytes.Count(data[:max(offset-1, 0)], []byte("\n"))
}

// firstInvalid returns the offset after the first byte that is not UTF-8.
func firstInvalid(data []byte) int {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size == 1 {
			return i + 1
		}
		i += size
	}
	return len(data)
}

// parser builds the tree of a document whose syntax is valid.
type parser struct {
	data     []byte
	limits   Limits
	decoder  *json.Decoder
	problems Problems
	values   int
	// line is the line of offset.
	line, offset int
	// path leads to the value that is parsed.
	path []step
}

// step is one step of a path: the name of a member, or the index of an element if member is not set.
type step struct {
	member bool
	name   string
	index  int
}

// pathText returns the path as text. Names come from the document and may be long or not printable.
func (p *parser) pathText() string {
	var text strings.Builder
	for _, s := range p.path {
		switch {
		case !s.member:
			fmt.Fprintf(&text, "[%d]", s.index)
		case text.Len() > 0:
			text.WriteString("." + plain(s.name))
		default:
			text.WriteString(plain(s.name))
		}
	}
	return text.String()
}

// plain returns a name as it is, or in quotes if it has characters that do not belong into a path.
func plain(name string) string {
	other := func(r rune) bool {
		return r != '_' && (r < '0' || r > '9') && (r < 'a' || r > 'z') && (r < 'A' || r > 'Z')
	}
	if len(name) <= maxQuotedBytes && !strings.ContainsFunc(name, other) {
		return name
	}
	return Quote(name)
}

// next returns the next token and advances the line to it. No token contains a line break, so that
// the line of its end is also that of its start.
func (p *parser) next() (json.Token, error) {
	token, err := p.decoder.Token()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	end := int(p.decoder.InputOffset())
	p.line += bytes.Count(p.data[p.offset:end], []byte("\n"))
	p.offset = end
	return token, err
}

// value parses the next value, which is below depth other values.
func (p *parser) value(depth int) (*Node, error) {
	token, err := p.next()
	if err != nil {
		return nil, err
	}
	if p.values++; p.values > p.limits.Values {
		return nil, fmt.Errorf("more than %d values", p.limits.Values)
	}
	if depth > p.limits.Depth {
		return nil, fmt.Errorf("nested deeper than %d levels", p.limits.Depth)
	}
	n := &Node{Line: p.line}
	switch t := token.(type) {
	case string:
		n.Kind, n.Text = Text, t
	case json.Number:
		n.Kind, n.Text = Number, string(t)
	case bool:
		n.Kind, n.Text = Bool, strconv.FormatBool(t)
	case json.Delim:
		n.Start = p.offset - 1
		if t == '[' {
			n.Kind = List
			err = p.elements(n, depth)
		} else {
			n.Kind = Object
			err = p.members(n, depth)
		}
		n.End = p.offset
	}
	return n, err
}

// elements parses the rest of a list.
func (p *parser) elements(n *Node, depth int) error {
	for p.decoder.More() {
		p.path = append(p.path, step{index: len(n.Elements)})
		element, err := p.value(depth + 1)
		if err != nil {
			return err
		}
		p.path = p.path[:len(p.path)-1]
		n.Elements = append(n.Elements, element)
	}
	_, err := p.next()
	return err
}

// members parses the rest of an object.
func (p *parser) members(n *Node, depth int) error {
	seen := make(map[string]int)
	for p.decoder.More() {
		token, err := p.next()
		if err != nil {
			return err
		}
		name, _ := token.(string)
		if first, ok := seen[name]; ok {
			p.problems.Add(p.line, p.pathText(), "member %s for the second time, first on line %d", Quote(name), first)
		}
		seen[name] = p.line
		p.path = append(p.path, step{member: true, name: name})
		value, err := p.value(depth + 1)
		if err != nil {
			return err
		}
		p.path = p.path[:len(p.path)-1]
		n.Members = append(n.Members, Member{Name: name, Value: value})
	}
	_, err := p.next()
	return err
}

// maxQuotedBytes bounds the part of a text that a message repeats.
const maxQuotedBytes = 64

// Quote returns a text in quotes, without control characters and shortened.
func Quote(text string) string {
	if len(text) > maxQuotedBytes {
		return strconv.Quote(strings.ToValidUTF8(text[:maxQuotedBytes], "")) + "..."
	}
	return strconv.Quote(text)
}
