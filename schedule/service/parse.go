package service

import (
	"cmp"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// MaxTextBytes is the maximum size of a services text in bytes.
const MaxTextBytes = 4 << 20

// maxFaults is the maximum number of faults that one check reports.
const maxFaults = 20

// Fault is one fault in a services text. Line and Column count from 1 and are
// zero if the fault has no position.
type Fault struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Path    string `json:"path,omitempty"` // such as services[2].dependsOn[0]
	Message string `json:"message"`
}

// String returns the fault as "line:column: path: message". It omits an empty
// path.
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Message)
	}
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Path, f.Message)
}

// Faults is the error that [Parse] returns for a text with faults.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Parse parses and checks a services text. The error is of type [Faults].
func Parse(data []byte) (*Text, error) {
	if len(data) > MaxTextBytes {
		return nil, Faults{{Message: fmt.Sprintf("text has %d bytes, at most %d are allowed", len(data), MaxTextBytes)}}
	}
	var doc yaml.Node
	dec := yaml.NewDecoder(strings.NewReader(string(data)))
	if err := dec.Decode(&doc); err != nil {
		return nil, Faults{syntaxFault(err)}
	}
	if len(doc.Content) != 1 || doc.Content[0].Kind != yaml.MappingNode {
		return nil, Faults{{Line: 1, Column: 1, Message: "text is not a mapping"}}
	}
	var next yaml.Node
	if dec.Decode(&next) == nil {
		return nil, Faults{{Line: next.Line, Column: next.Column, Message: "text has more than one YAML document"}}
	}
	c := checker{text: new(Text), root: doc.Content[0]}
	c.checkShape()
	if len(c.faults) > 0 {
		return nil, c.faults
	}
	if err := doc.Decode(c.text); err != nil {
		return nil, typeFaults(c.root, err)
	}
	c.text.buildIndex()
	c.check()
	if len(c.faults) > 0 {
		slices.SortStableFunc(c.faults, func(a, b Fault) int {
			return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
		})
		return nil, c.faults
	}
	return c.text, nil
}

// linePattern matches the line number in the messages of the YAML library. The
// library gives neither a column nor a typed error for syntax errors.
var linePattern = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// syntaxFault converts an error of the YAML library to a fault.
func syntaxFault(err error) Fault {
	if m := linePattern.FindStringSubmatch(err.Error()); m != nil {
		line, _ := strconv.Atoi(m[1])
		return Fault{Line: line, Column: 1, Message: m[2]}
	}
	if err.Error() == "EOF" {
		return Fault{Line: 1, Column: 1, Message: "text is empty"}
	}
	return Fault{Line: 1, Column: 1, Message: strings.TrimPrefix(err.Error(), "yaml: ")}
}

// typeFaults converts a decoding error of the YAML library to faults.
func typeFaults(root *yaml.Node, err error) Faults {
	var te *yaml.TypeError
	if !errors.As(err, &te) {
		return Faults{syntaxFault(err)}
	}
	faults := make(Faults, 0, len(te.Errors))
	for _, msg := range te.Errors {
		if len(faults) == maxFaults {
			break
		}
		f := syntaxFault(errors.New(msg))
		f.Column = columnOf(root, f.Line, f.Message)
		faults = append(faults, f)
	}
	return faults
}

// columnOf returns the column of the scalar on the given line whose value the
// message quotes. It returns 1 if there is none.
func columnOf(n *yaml.Node, line int, message string) int {
	if n.Kind == yaml.ScalarNode && n.Line == line && n.Value != "" && strings.Contains(message, "`"+quotedPrefix(n.Value)) {
		return n.Column
	}
	for _, child := range n.Content {
		if c := columnOf(child, line, message); c > 1 {
			return c
		}
	}
	return 1
}

// quotedPrefix returns the part of a value that the YAML library quotes in its
// messages. The library shortens longer values to ten characters including an
// ellipsis.
func quotedPrefix(value string) string {
	const maxQuoted = 10
	if len(value) > maxQuoted {
		return value[:maxQuoted-3]
	}
	return value
}

// position returns the line and column of the node at path. If the text doesn't
// have that node, it returns those of the closest parent.
func position(root *yaml.Node, path string) (line, column int) {
	n := root
	for _, step := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		child := childOf(n, step)
		if child == nil {
			break
		}
		n = child
	}
	return n.Line, n.Column
}

// childOf returns the value of the field or the element with the index that step
// names, or nil.
func childOf(n *yaml.Node, step string) *yaml.Node {
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			if n.Content[i].Value == step {
				return n.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		if i, err := strconv.Atoi(step); err == nil && i < len(n.Content) {
			return n.Content[i]
		}
	}
	return nil
}
