package config

import (
	"errors"
	"io"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// maxNestingDepth is the largest number of nested levels in a file.
const maxNestingDepth = 64

// parser parses and merges the files. It records which file each node of the merged tree comes from.
type parser struct {
	files    map[*yaml.Node]string
	problems *problems
}

// parse parses one file into a tree of nodes; it returns nil after a syntax error, which it reports.
func (parser *parser) parse(file, text string) *yaml.Node {
	decoder := yaml.NewDecoder(strings.NewReader(text))
	var document yaml.Node
	if err := decoder.Decode(&document); err != nil {
		if errors.Is(err, io.EOF) {
			return &yaml.Node{Kind: yaml.MappingNode}
		}
		parser.problems.add(syntaxProblem(file, err))
		return nil
	}
	var second yaml.Node
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		parser.problems.add(Problem{File: file, Line: max(second.Line, 1), Message: "only one document is allowed in a file"})
	}
	root := document.Content[0]
	parser.recordFile(file, "", root, 0)
	return root
}

// syntaxProblem extracts the line number from the YAML library's message.
func syntaxProblem(file string, err error) Problem {
	message := strings.TrimPrefix(err.Error(), "yaml: ")
	line := 1
	if rest, ok := strings.CutPrefix(message, "line "); ok {
		number, text, _ := strings.Cut(rest, ": ")
		if value, err := strconv.Atoi(number); err == nil {
			line, message = value, text
		}
	}
	return Problem{File: file, Line: line, Message: message}
}

// recordFile records the file of each node. It reports duplicate keys, aliases and nesting that is too deep.
func (parser *parser) recordFile(file, path string, node *yaml.Node, depth int) {
	parser.files[node] = file
	if node.Kind == yaml.AliasNode || depth > maxNestingDepth {
		parser.problems.add(Problem{File: file, Line: node.Line, Field: path, Message: "aliases and deep nesting are not allowed"})
		return
	}
	for i, child := range node.Content {
		name := path
		if node.Kind == yaml.MappingNode {
			name = join(path, node.Content[i-i%2].Value)
		}
		parser.recordFile(file, name, child, depth+1)
	}
	if node.Kind == yaml.MappingNode {
		parser.reportDuplicateKeys(file, path, node)
	}
}

func (parser *parser) reportDuplicateKeys(file, path string, node *yaml.Node) {
	seen := make(map[string]int)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		if line, ok := seen[key.Value]; ok {
			parser.problems.add(Problem{File: file, Line: key.Line, Field: join(path, key.Value),
				Message: "already defined on line " + strconv.Itoa(line)})
		}
		seen[key.Value] = key.Line
	}
}

// merge applies the overlay to the base: mappings merge by key, null removes a key, and any other value replaces that of the base.
func (parser *parser) merge(base, overlay *yaml.Node) *yaml.Node {
	if base == nil || overlay == nil {
		return base
	}
	if base.Kind != yaml.MappingNode || overlay.Kind != yaml.MappingNode {
		return overlay
	}
	merged := &yaml.Node{Kind: yaml.MappingNode, Line: base.Line, Column: base.Column}
	merged.Content = append(merged.Content, base.Content...)
	parser.files[merged] = parser.files[base]
	for i := 0; i+1 < len(overlay.Content); i += 2 {
		parser.mergeKey(merged, overlay.Content[i], overlay.Content[i+1])
	}
	return merged
}

func (parser *parser) mergeKey(merged, key, value *yaml.Node) {
	index := indexOfKey(merged, key.Value)
	switch {
	case index < 0 && value.Tag == "!!null":
		parser.problems.add(Problem{File: parser.files[key], Line: key.Line, Field: key.Value,
			Message: "null removes a key that the base file does not define"})
	case index < 0:
		merged.Content = append(merged.Content, key, value)
	case value.Tag == "!!null":
		merged.Content = append(merged.Content[:index:index], merged.Content[index+2:]...)
	default:
		merged.Content[index] = key
		merged.Content[index+1] = parser.merge(merged.Content[index+1], value)
	}
}

func indexOfKey(mapping *yaml.Node, name string) int {
	for i := 0; i+1 < len(mapping.Content); i += 2 {
		if mapping.Content[i].Value == name {
			return i
		}
	}
	return -1
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
