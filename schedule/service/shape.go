package service

import (
	"encoding"
	"fmt"
	"reflect"
	"strings"

	"go.yaml.in/yaml/v3"
)

// checkShape compares the YAML nodes with the fields of [Text]. It reports
// unknown and duplicate fields and unknown enum names with their line and
// column, because the YAML library reports them without a column. It rejects
// aliases, because they can make a small text expand without bound.
func (c *checker) checkShape() {
	c.checkNode("", c.root, reflect.TypeFor[Text]())
}

// checkNode checks that the node at path has the structure of typ.
func (c *checker) checkNode(path string, n *yaml.Node, typ reflect.Type) {
	if n.Kind == yaml.AliasNode || n.Anchor != "" {
		c.addFaultAt(n, path, "anchors and aliases are not allowed")
		return
	}
	if v, ok := reflect.New(typ).Interface().(encoding.TextUnmarshaler); ok && n.Kind == yaml.ScalarNode {
		if err := v.UnmarshalText([]byte(n.Value)); err != nil {
			c.addFaultAt(n, path, "%v", err)
		}
		return
	}
	switch {
	case n.Kind == yaml.MappingNode && typ.Kind() == reflect.Struct:
		c.checkFields(path, n, fieldsOf(typ))
	case n.Kind == yaml.SequenceNode && typ.Kind() == reflect.Slice:
		for i, item := range n.Content {
			c.checkNode(fmt.Sprintf("%s[%d]", path, i), item, typ.Elem())
		}
	case n.Kind != yaml.ScalarNode || typ.Kind() == reflect.Struct || typ.Kind() == reflect.Slice:
		if n.Tag != "!!null" {
			c.addFaultAt(n, path, "expected %s", shapeName(typ))
		}
	}
}

// checkFields checks the keys and values of the mapping at path. Fields holds the
// types of the allowed fields by name.
func (c *checker) checkFields(path string, n *yaml.Node, fields map[string]reflect.Type) {
	seen := make(map[string]bool, len(fields))
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		fieldPath := strings.TrimPrefix(path+"."+key.Value, ".")
		typ, ok := fields[key.Value]
		if !ok {
			c.addFaultAt(key, fieldPath, "unknown field %q", key.Value)
			continue
		}
		if seen[key.Value] {
			c.addFaultAt(key, fieldPath, "field %q is already set", key.Value)
			continue
		}
		seen[key.Value] = true
		c.checkNode(fieldPath, value, typ)
	}
}

// fieldsOf returns the types of the fields of a struct by their YAML names.
func fieldsOf(typ reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, typ.NumField())
	for f := range typ.Fields() {
		if name := f.Tag.Get("yaml"); name != "" {
			fields[name] = f.Type
		}
	}
	return fields
}

// shapeName returns the name that messages use for the YAML structure of typ.
func shapeName(typ reflect.Type) string {
	switch typ.Kind() {
	case reflect.Struct:
		return "a mapping"
	case reflect.Slice:
		return "a list"
	default:
		return "a single value"
	}
}
