package bundle

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"

	"wasabifield.example/wasabifield/internal/version/finding"
)

const maxLineDepth = 8 // of nested values; a bundle has 4, and the paths of deeper ones would need much memory

// SetLines sets the lines of findings about a document by their paths. The line of a
// field that the document leaves out is that of the mapping that would contain it. If
// the document is no YAML, the findings stay as they are.
func SetLines(text []byte, findings []finding.Finding) {
	if len(text) > MaxBytes {
		return
	}
	root, err := parseNode(text)
	if err != nil {
		return
	}
	lines := map[string]int{}
	appendNodeLines(lines, root, "", 0)
	for i := range findings {
		path := findings[i].Path
		for path != "" && lines[path] == 0 {
			path = path[:max(0, strings.LastIndex(path, "."))]
		}
		findings[i].Line = lines[path]
	}
}

// appendNodeLines adds the line of each field below a node by its path. Aliases are not
// followed; a bundle with one is refused.
func appendNodeLines(lines map[string]int, node *yaml.Node, path string, depth int) {
	if lines[path] == 0 {
		lines[path] = node.Line
	}
	if depth == maxLineDepth {
		return
	}
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			field := strings.TrimPrefix(path+"."+node.Content[i].Value, ".")
			lines[field] = node.Content[i].Line // of a repeated field, the last
			appendNodeLines(lines, node.Content[i+1], field, depth+1)
		}
	case yaml.SequenceNode:
		for i, item := range node.Content {
			appendNodeLines(lines, item, fmt.Sprintf("%s[%d]", path, i), depth+1)
		}
	}
}
