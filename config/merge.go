package config

import (
	"errors"
	"io"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// maxAliasDepth bounds the nesting of a file.
const maxDepth = 64

// source remembers which file each node of the merged tree came from.
type source struct {
	files    map[*yaml.Node]string
	problems *problems
}

// parse reads one file into a tree of nodes.
func (source *source) parse(file, text string) *yaml.Node {
	decoder := yaml.NewDecoder(strings.NewReader(text))
	var document yaml.Node
	if err := decoder.Decode(&document); err != nil {
		if errors.Is(err, io.EOF) {
			return &yaml.Node{Kind: yaml.MappingNode}
		}
		source.problems.add(syntaxProblem(file, err))
		return nil
	}
	var further yaml.Node
	if err := decoder.Decode(&further); !errors.Is(err, io.EOF) {
		source.problems.add(Problem{File: file, Line: max(further.Line, 1), Message: "only one document is allowed in a file"})
	}
	root := document.Content[0]
	source.claim(file, "", root, 0)
	return root
}

// syntaxProblem takes the line out of the YAML library's message.
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

// claim records the file of each node and reports repeated keys.
func (source *source) claim(file, path string, node *yaml.Node, depth int) {
	source.files[node] = file
	if node.Kind == yaml.AliasNode || depth > maxDepth {
		source.problems.add(Problem{File: file, Line: node.Line, Field: path, Message: "aliases and deep nesting are not allowed"})
		return
	}
	for i, child := range node.Content {
		name := path
		if node.Kind == yaml.MappingNode {
			name = join(path, node.Content[i-i%2].Value)
		}
		source.claim(file, name, child, depth+1)
	}
	if node.Kind == yaml.MappingNode {
		source.reportRepeatedKeys(file, path, node)
	}
}

func (source *source) reportRepeatedKeys(file, path string, node *yaml.Node) {
	seen := make(map[string]int)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		if line, ok := seen[key.Value]; ok {
			source.problems.add(Problem{File: file, Line: key.Line, Field: join(path, key.Value),
				Message: "already stated on line " + strconv.Itoa(line)})
		}
		seen[key.Value] = key.Line
	}
}

// merge lays the overlay over the base: mappings merge by key, null removes a key, everything else replaces.
func (source *source) merge(base, overlay *yaml.Node) *yaml.Node {
	if base == nil || overlay == nil {
		return base
	}
	if base.Kind != yaml.MappingNode || overlay.Kind != yaml.MappingNode {
		return overlay
	}
	merged := &yaml.Node{Kind: yaml.MappingNode, Line: base.Line, Column: base.Column}
	merged.Content = append(merged.Content, base.Content...)
	source.files[merged] = source.files[base]
	for i := 0; i+1 < len(overlay.Content); i += 2 {
		source.mergeKey(merged, overlay.Content[i], overlay.Content[i+1])
	}
	return merged
}

func (source *source) mergeKey(merged, key, value *yaml.Node) {
	at := indexOfKey(merged, key.Value)
	switch {
	case at < 0 && value.Tag == "!!null":
		source.problems.add(Problem{File: source.files[key], Line: key.Line, Field: key.Value,
			Message: "removes what the base does not have"})
	case at < 0:
		merged.Content = append(merged.Content, key, value)
	case value.Tag == "!!null":
		merged.Content = append(merged.Content[:at:at], merged.Content[at+2:]...)
	default:
		merged.Content[at] = key
		merged.Content[at+1] = source.merge(merged.Content[at+1], value)
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
