package control_test

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/control"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/quorum"
)

// builds are the earlier builds whose data and schemas are in testdata/builds.
var builds = []string{"58ffaf8", "d8245f4"}

// wireTypes are the types that control nodes and routers exchange or write to disk.
var wireTypes = []reflect.Type{control.ReplicatedType, reflect.TypeFor[quorum.Record](), reflect.TypeFor[quorum.Message](),
	reflect.TypeFor[control.DeliverArgs](), reflect.TypeFor[control.JoinArgs](), reflect.TypeFor[control.JoinReply](),
	reflect.TypeFor[control.ProposeArgs](), reflect.TypeFor[control.ProposeReply](), reflect.TypeFor[control.ReadReply](),
	reflect.TypeFor[control.AnnounceArgs](), reflect.TypeFor[control.AnnounceReply](), reflect.TypeFor[control.LastOrderArgs](),
	reflect.TypeFor[control.LastOrderReply](), reflect.TypeFor[control.UnchangedHeartbeatsArgs](), reflect.TypeFor[control.UnchangedHeartbeatsReply](),
	reflect.TypeFor[feed.WatchArgs](), reflect.TypeFor[feed.WatchReply](), reflect.TypeFor[feed.Target](), reflect.TypeFor[feed.OriginArgs](),
	reflect.TypeFor[feed.OriginReply](), reflect.TypeFor[feed.TrialArgs](), reflect.TypeFor[feed.TrialReply](), reflect.TypeFor[feed.WakeArgs](),
	reflect.TypeFor[feed.WakeReply](), reflect.TypeFor[feed.QuotaArgs](), reflect.TypeFor[feed.QuotaReply]()}

// schemaOf lists the encoded fields of types and of those that they contain: type, key or position, and the type of the field.
func schemaOf(types []reflect.Type) []string {
	var lines []string
	seen := make(map[reflect.Type]bool)
	var visit func(kind reflect.Type)
	visit = func(kind reflect.Type) {
		switch kind.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array:
			visit(kind.Elem())
		case reflect.Map:
			visit(kind.Key())
			visit(kind.Elem())
		case reflect.Struct:
			if seen[kind] {
				return
			}
			seen[kind] = true
			position := 0
			for _, field := range reflect.VisibleFields(kind) {
				if !field.IsExported() || field.Anonymous {
					continue
				}
				key, _, _ := strings.Cut(field.Tag.Get("cbor"), ",")
				if key == "" {
					key = fmt.Sprintf("%s/%d", field.Name, position)
				}
				position++
				lines = append(lines, fmt.Sprintf("%s %s %s", kind, key, field.Type))
				visit(field.Type)
			}
		}
	}
	for _, kind := range types {
		visit(kind)
	}
	slices.Sort(lines)
	return lines
}

// TestFieldsKeepTheirKeysAndTypes guards against a field that an earlier build reads as another one, or fails to decode.
func TestFieldsKeepTheirKeysAndTypes(t *testing.T) {
	today := schemaOf(wireTypes)
	for _, build := range builds {
		text, err := os.ReadFile(filepath.Join("testdata", "builds", build, "schema.txt"))
		assert.NilError(t, err)
		for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
			assert.Assert(t, slices.Contains(today, line), "%s: %q has changed", build, line)
		}
	}
}

// TestKeysOfFieldsAreUnique guards against two fields of a type with the same key, which the codec leaves out without an error.
func TestKeysOfFieldsAreUnique(t *testing.T) {
	used := make(map[string]bool)
	for _, line := range schemaOf(wireTypes) {
		words := strings.Fields(line)
		key := strings.Join(words[:2], " ")
		assert.Assert(t, !used[key], "key %s is used twice", key)
		used[key] = true
	}
}
