package bundle

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// inspect compares a YAML tree with the fields of Bundle. It returns a fault for every
// unknown or duplicate field, every value of the wrong type and every anchor or alias.
func inspect(root *yaml.Node) Faults {
	c := &checker{}
	c.inspect(root, reflect.TypeFor[Bundle](), "")
	return c.faults
}

func (c *checker) inspect(node *yaml.Node, want reflect.Type, path string) {
	switch {
	case node.Kind == yaml.AliasNode || node.Anchor != "":
		c.addFault(fieldOrBundle(path), "an anchor or alias", "written out")
	case want.Kind() == reflect.Struct:
		c.inspectMapping(node, want, path)
	case want.Kind() == reflect.Slice:
		c.inspectSequence(node, want.Elem(), path)
	case node.Kind != yaml.ScalarNode || node.Tag == "!!null" || node.Decode(reflect.New(want).Interface()) != nil:
		c.addFault(path, describeNode(node), describeType(want))
	}
}

func (c *checker) inspectMapping(node *yaml.Node, want reflect.Type, path string) {
	if node.Kind != yaml.MappingNode {
		c.addFault(fieldOrBundle(path), describeNode(node), "a mapping of fields")
		return
	}
	fields := fieldTypes(want)
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		field := strings.TrimPrefix(path+"."+key.Value, ".")
		fieldType, known := fields[key.Value]
		switch {
		case !known || key.Kind != yaml.ScalarNode:
			c.addFault(field, describeNode(value), "absent: no such field")
		case seen[key.Value]:
			c.addFault(field, describeNode(value), "given once")
		default:
			c.inspect(value, fieldType, field)
		}
		seen[key.Value] = true
	}
}

func (c *checker) inspectSequence(node *yaml.Node, want reflect.Type, path string) {
	if node.Kind != yaml.SequenceNode {
		c.addFault(path, describeNode(node), "a list")
		return
	}
	for i, item := range node.Content {
		c.inspect(item, want, fmt.Sprintf("%s[%d]", path, i))
	}
}

// fieldTypes returns the types of a struct's fields by YAML name, including the fields
// of inline structs.
func fieldTypes(want reflect.Type) map[string]reflect.Type {
	types := map[string]reflect.Type{}
	for field := range want.Fields() {
		name := field.Tag.Get("yaml")
		if name != ",inline" {
			types[name] = field.Type
			continue
		}
		for inner, t := range fieldTypes(field.Type) {
			types[inner] = t
		}
	}
	return types
}

func fieldOrBundle(path string) string {
	if path == "" {
		return "bundle"
	}
	return path
}

func describeNode(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	case yaml.AliasNode:
		return "an alias"
	default:
		return node.Value
	}
}

func describeType(want reflect.Type) string {
	if want == reflect.TypeFor[time.Duration]() {
		return "a duration such as 500ms or 10s"
	}
	switch want.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a text"
	case reflect.Uint64:
		return "a whole number, 0 or more"
	default:
		return "a whole number"
	}
}
