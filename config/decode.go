package config

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
	"go.yaml.in/yaml/v3"

	celerylanding "celerylanding.example/celerylanding"
)

// fieldNode is one YAML node of the merged tree with its key and its dotted path. Its methods decode the node and report problems at its
// position in the files.
type fieldNode struct {
	parser *parser
	node   *yaml.Node
	key    *yaml.Node
	path   string
}

// fields maps the known keys of a mapping to the functions that read their values.
type fields map[string]func(fieldNode)

func (field fieldNode) addProblem(format string, args ...any) {
	node := field.node
	if field.key != nil {
		node = field.key
	}
	field.parser.problems.add(Problem{File: field.parser.files[node], Line: max(node.Line, 1),
		Field: field.path, Message: fmt.Sprintf(format, args...)})
}

// forEachKey calls read for every key of a mapping.
func (field fieldNode) forEachKey(read func(name string, child fieldNode)) {
	if field.node.Kind != yaml.MappingNode {
		field.addProblem("must be a mapping")
		return
	}
	for i := 0; i+1 < len(field.node.Content); i += 2 {
		key := field.node.Content[i]
		child := field
		child.key = key
		child.node = field.node.Content[i+1]
		child.path = join(field.path, key.Value)
		read(key.Value, child)
	}
}

// readMapping reads the known keys of a mapping and reports every other key as a problem.
func (field fieldNode) readMapping(known fields) {
	field.forEachKey(func(name string, child fieldNode) {
		read, ok := known[name]
		if !ok {
			child.addProblem("unknown key")
			return
		}
		read(child)
	})
}

func (field fieldNode) forEachItem(read func(child fieldNode)) {
	if field.node.Kind != yaml.SequenceNode {
		field.addProblem("must be a list")
		return
	}
	for i, node := range field.node.Content {
		child := field
		child.key = nil
		child.node = node
		child.path = fmt.Sprintf("%s[%d]", field.path, i)
		read(child)
	}
}

func (field fieldNode) text() string {
	if field.node.Kind != yaml.ScalarNode || field.node.Tag == "!!null" {
		field.addProblem("must be a string")
		return ""
	}
	return field.node.Value
}

func (field fieldNode) boolean() bool {
	value, err := strconv.ParseBool(field.text())
	if err != nil {
		field.addProblem("%q must be true or false", field.node.Value)
	}
	return value
}

func (field fieldNode) integer(minimum, maximum int) int {
	number, err := strconv.Atoi(field.text())
	if err != nil || number < minimum || number > maximum {
		field.addProblem("%q must be a whole number from %d to %d", field.node.Value, minimum, maximum)
		return minimum
	}
	return number
}

func (field fieldNode) number(minimum, maximum float64) float64 {
	number, err := strconv.ParseFloat(field.text(), 64)
	if err != nil || math.IsNaN(number) || number < minimum || number > maximum {
		field.addProblem("%q must be a number from %g to %g", field.node.Value, minimum, maximum)
		return minimum
	}
	return number
}

func (field fieldNode) duration() time.Duration {
	duration, err := time.ParseDuration(field.text())
	if err != nil || duration <= 0 {
		field.addProblem("%q must be a positive duration with a unit, such as 30s", field.node.Value)
		return 0
	}
	return duration
}

func (field fieldNode) bytes() celerylanding.Bytes {
	text := field.text()
	if _, err := strconv.ParseFloat(strings.TrimSpace(text), 64); err == nil && text != "0" {
		field.addProblem("%q needs a unit, such as 18GiB", text)
		return 0
	}
	size, err := humanize.ParseBytes(text)
	if err != nil || size > math.MaxInt64 {
		field.addProblem("%q must be a size with a unit, such as 18GiB", text)
		return 0
	}
	return celerylanding.Bytes(size)
}

// checkName reports a name that is empty, longer than 128 bytes or has characters that are not allowed in identifiers and URLs.
func (field fieldNode) checkName(name string) {
	valid := name != "" && len(name) <= 128
	for _, char := range name {
		isLetter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
		isDigit := char >= '0' && char <= '9'
		valid = valid && (isLetter || isDigit || char == '-' || char == '_' || char == '.')
	}
	if !valid {
		field.addProblem("name %q may contain only letters, digits, '-', '_' and '.'", name)
	}
}
