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

// setting is one node of the merged tree together with its place in the files.
type setting struct {
	source *source
	node   *yaml.Node
	key    *yaml.Node
	path   string
}

// fields maps the known keys of a mapping to their readers.
type fields map[string]func(setting)

func (at setting) fail(format string, args ...any) {
	node := at.node
	if at.key != nil {
		node = at.key
	}
	at.source.problems.add(Problem{File: at.source.files[node], Line: max(node.Line, 1),
		Field: at.path, Message: fmt.Sprintf(format, args...)})
}

// each calls the reader for every key of a mapping.
func (at setting) each(read func(name string, child setting)) {
	if at.node.Kind != yaml.MappingNode {
		at.fail("must be a mapping")
		return
	}
	for i := 0; i+1 < len(at.node.Content); i += 2 {
		key := at.node.Content[i]
		child := at
		child.key = key
		child.node = at.node.Content[i+1]
		child.path = join(at.path, key.Value)
		read(key.Value, child)
	}
}

// mapping reads the known keys and reports all others.
func (at setting) mapping(known fields) {
	at.each(func(name string, child setting) {
		read, ok := known[name]
		if !ok {
			child.fail("unknown key")
			return
		}
		read(child)
	})
}

func (at setting) list(read func(child setting)) {
	if at.node.Kind != yaml.SequenceNode {
		at.fail("must be a list")
		return
	}
	for i, node := range at.node.Content {
		child := at
		child.key = nil
		child.node = node
		child.path = fmt.Sprintf("%s[%d]", at.path, i)
		read(child)
	}
}

func (at setting) text() string {
	if at.node.Kind != yaml.ScalarNode || at.node.Tag == "!!null" {
		at.fail("must be a text")
		return ""
	}
	return at.node.Value
}

func (at setting) integer(least, most int) int {
	number, err := strconv.Atoi(at.text())
	if err != nil || number < least || number > most {
		at.fail("%q must be a whole number from %d to %d", at.node.Value, least, most)
		return least
	}
	return number
}

func (at setting) number(least, most float64) float64 {
	number, err := strconv.ParseFloat(at.text(), 64)
	if err != nil || math.IsNaN(number) || number < least || number > most {
		at.fail("%q must be a number from %g to %g", at.node.Value, least, most)
		return least
	}
	return number
}

func (at setting) duration() time.Duration {
	duration, err := time.ParseDuration(at.text())
	if err != nil || duration <= 0 {
		at.fail("%q must be a positive duration with a unit, such as 30s", at.node.Value)
		return 0
	}
	return duration
}

func (at setting) bytes() celerylanding.Bytes {
	text := at.text()
	if _, err := strconv.ParseFloat(strings.TrimSpace(text), 64); err == nil && text != "0" {
		at.fail("%q needs a unit, such as 18GiB", text)
		return 0
	}
	size, err := humanize.ParseBytes(text)
	if err != nil || size > math.MaxInt64 {
		at.fail("%q must be a size with a unit, such as 18GiB", text)
		return 0
	}
	return celerylanding.Bytes(size)
}

// name reads a key that becomes part of identifiers and URLs.
func (at setting) checkName(name string) {
	valid := name != "" && len(name) <= 128
	for _, char := range name {
		isLetter := char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z'
		isDigit := char >= '0' && char <= '9'
		valid = valid && (isLetter || isDigit || char == '-' || char == '_' || char == '.')
	}
	if !valid {
		at.fail("name %q may hold letters, digits, '-', '_' and '.' only", name)
	}
}
