package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/routing"
)

const validBase = `revision: 3
site: s
groups:
  g: {target_memory: 80GiB}
  p: {kind: service}
models:
  m:
    group: g
    versions:
      v1: {memory: 18GiB, kv_reserve: 4GiB}
adapters:
  a: {base: m, memory: 200MiB}
services:
  pay: {group: p}
`

// digestOfK is the SHA-256 sum of the key "k".
const digestOfK = "8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"

func parse(base, overlay string) (*config.Config, error) {
	return config.Parse(config.Document{BaseName: "base.yaml", Base: base, OverlayName: "overlay.yaml", Overlay: overlay})
}

func TestProblemsNameFileLineAndField(t *testing.T) {
	for _, row := range []struct {
		name    string
		old     string
		new     string
		overlay string
		want    []string
	}{
		{"unknown key", "    group: g\n", "    group: g\n    colour: red\n", "", []string{`base.yaml:9: models.m.colour: unknown key`}},
		{"missing unit", "18GiB", "18", "", []string{`base.yaml:10: models.m.versions.v1.memory: "18" needs a unit`}},
		{"bad unit", "18GiB", "18Gigs", "", []string{`base.yaml:10: models.m.versions.v1.memory: "18Gigs" must be a size`}},
		{"missing base model", "base: m", "base: other", "", []string{`base.yaml:12: adapters.a.base: base model "other" is not defined`}},
		{"more memory than any target", "18GiB", "78GiB", "", []string{`base.yaml:10: models.m.versions.v1: needs`, `bytes including its KV cache reserve; the largest target in group "g" has`}},
		{"unknown group", "    group: g\n", "    group: h\n", "", []string{`base.yaml:8: models.m.group: group "h" is not defined`}},
		{"group of another kind", "pay: {group: p}", "pay: {group: g}", "", []string{`base.yaml:14: services.pay.group: group "g" is of kind engine`}},
		{"bad replicas", "    group: g\n", "    group: g\n    replicas: {min: 3, max: 2}\n", "", []string{`base.yaml:9: models.m.replicas: min 3 is more than max 2`}},
		{"repeated key", "site: s\n", "site: s\nsite: t\n", "", []string{`base.yaml:3: site: already defined on line 2`}},
		{"bad YAML", "groups:\n", "groups: [\n", "", []string{`base.yaml:`}},
		{"two documents", "site: s\n", "site: s\n---\nsite: t\n", "", []string{`only one document`}},
		{"no revision", "revision: 3\n", "", "", []string{`revision is missing`}},
		{"bad revision", "revision: 3", "revision: three", "", []string{`base.yaml:1: revision: "three" must be a whole number`}},
		{"name with a slash", "  pay:", "  pay/me:", "", []string{`base.yaml:14: services.pay/me: name "pay/me" may contain only`}},
		{"mistake in the overlay", "", "", "models:\n  m:\n    deadline: soon\n", []string{`overlay.yaml:3: models.m.deadline: "soon" must be a positive duration`}},
		{"overlay removes a key that the base lacks", "", "", "models:\n  n: null\n", []string{`overlay.yaml:2: n: null removes a key that the base file does not define`}},
		{"list in place of a mapping", "  pay: {group: p}", "  pay: [1]", "", []string{`base.yaml:14: services.pay: must be a mapping`}},
		{"bad role", "target_memory: 80GiB", "target_memory: 80GiB, role: chief", "", []string{`base.yaml:4: groups.g.role: "chief" must be mixed, prefill or decode`}},
		{"alias", "  g: {target_memory: 80GiB}", "  g: &x {target_memory: 80GiB}\n  h: *x", "", []string{`aliases`}},
		{"weight out of range", "site: s\n", "site: s\nidling: {cold_start_weight: 2}\n", "", []string{`base.yaml:3: idling.cold_start_weight: "2" must be a number from 0 to 1`}},
		{"unknown unit", "site: s\n", "site: s\nworkspaces:\n  w: {unit: bytes}\n", "", []string{`base.yaml:4: workspaces.w.unit: "bytes" must be requests or tokens`}},
		{"negative rate", "site: s\n", "site: s\nworkspaces:\n  w: {rate: -3}\n", "", []string{`base.yaml:4: workspaces.w.rate: "-3" must be a number from 0`}},
		{"public, but how", "pay: {group: p}", "pay: {group: p, public: maybe}", "", []string{`base.yaml:14: services.pay.public: "maybe" must be true or false`}},
		{"two workspaces with one key", "", "", "workspaces:\n  w: {keys: [" + digestOfK + "]}\n  v:\n    keys:\n    - " + digestOfK + "\n",
			[]string{`overlay.yaml:5: workspaces.v.keys[0]: workspace "v" has a key of workspace "w"`}},
		{"several at once", "    group: g\n", "    group: h\n    colour: red\n", "site: {}\n",
			[]string{`base.yaml:9: models.m.colour: unknown key`, `base.yaml:8: models.m.group`, `overlay.yaml:1: site: must be a string`}},
	} {
		t.Run(row.name, func(t *testing.T) {
			_, err := parse(strings.Replace(validBase, row.old, row.new, 1), row.overlay)
			assert.Assert(t, errorx.IsOfType(err, config.ErrInvalid), "%v", err)
			for _, want := range row.want {
				assert.ErrorContains(t, err, want)
			}
		})
	}
}

func TestOverlayOverridesTheBase(t *testing.T) {
	parsed, err := parse(validBase, "site: other\nmodels:\n  m:\n    replicas: {max: 3}\nadapters:\n  a: null\n")
	assert.NilError(t, err)
	assert.Equal(t, parsed.Site(), "other")
	model, ok := parsed.Resolve("m")
	assert.Assert(t, ok)
	assert.Equal(t, model.Replicas(), config.Replicas{Max: 3})
	assert.Equal(t, string(model.ID()), "m@v1")
	_, ok = parsed.Resolve("a")
	assert.Assert(t, !ok, "null removes a key of the base file")
}

func TestWorkspaces(t *testing.T) {
	parsed, err := parse(validBase, "workspaces:\n  w: {keys: ["+digestOfK+"], priority: batch, rate: 2.5, burst: 4, unit: tokens, default_tokens: 7}\n"+
		"models:\n  m: {public: true}\n")
	assert.NilError(t, err)
	key := celerylanding.Key("k").Digest()
	assert.DeepEqual(t, parsed.Workspaces(), []routing.Workspace{{ID: "w", Keys: []celerylanding.KeyDigest{key}, Priority: int(celerylanding.PriorityBatch),
		Quota: routing.Quota{Unit: routing.QuotaTokens, Rate: 2.5, Burst: 4, DefaultTokens: 7}}})
	assert.Equal(t, parsed.Access().WorkspaceOf(key).ID, celerylanding.WorkspaceID("w"))
	model, _ := parsed.Resolve("m")
	adapter, _ := parsed.Resolve("a")
	service, _ := parsed.Service("pay")
	assert.Assert(t, model.IsPublic() && parsed.HasPublicModels() && !adapter.IsPublic() && !service.IsPublic())
	for overlay, want := range map[string]bool{"": false, "workspaces: {}\n": true} {
		parsed, err := parse(validBase, overlay)
		assert.NilError(t, err)
		assert.Equal(t, parsed.Access().NeedsKeys(), want, "an empty section lets nobody in")
	}
}

// TestKeysInClearAreNotRepeated guards against problems that show a key which was written in clear by mistake.
func TestKeysInClearAreNotRepeated(t *testing.T) {
	const secret = "a-secret-of-this-test"
	for _, keys := range []string{secret, "[" + secret + "]", "[{" + secret + ": x}]", "[" + digestOfK + secret + "]", "[47114711]", "[null]"} {
		_, err := parse(validBase, "workspaces:\n  w: {keys: "+keys+"}\n")
		assert.ErrorContains(t, err, "overlay.yaml:2: workspaces.w.keys")
		assert.Assert(t, !strings.Contains(err.Error(), secret) && !strings.Contains(err.Error(), "4711"), "%v", err)
	}
}

func TestDigestCoversBothTexts(t *testing.T) {
	one := config.Document{Base: "ab", Overlay: "c"}
	other := config.Document{Base: "a", Overlay: "bc"}
	assert.Assert(t, one.Digest() != other.Digest())
	one.BaseName = "elsewhere"
	assert.Equal(t, one.Digest(), config.Document{Base: "ab", Overlay: "c"}.Digest())
}

// TestExamples checks that the example sites, which have the sizes of real deployments, are valid and complete.
func TestExamples(t *testing.T) {
	for _, row := range []struct {
		site             string
		models, adapters int
	}{
		{"kz-central", 70, 65},
		{"sul", 65, 75},
	} {
		t.Run(row.site, func(t *testing.T) {
			folder := filepath.Join("..", "examples", row.site)
			base, err := os.ReadFile(filepath.Join(folder, "base.yaml"))
			assert.NilError(t, err)
			overlay, err := os.ReadFile(filepath.Join(folder, "overlay.yaml"))
			assert.NilError(t, err)
			parsed, err := parse(string(base), string(overlay))
			assert.NilError(t, err)
			adapters := 0
			for _, model := range parsed.Models() {
				if model.IsAdapter() {
					adapters++
				}
			}
			assert.Equal(t, adapters, row.adapters)
			assert.Equal(t, len(parsed.Models())-adapters, row.models)
			assert.Equal(t, parsed.Site(), row.site)
		})
	}
}

// TestExampleWithWorkspaces checks the overlay that the README applies to the demo.
func TestExampleWithWorkspaces(t *testing.T) {
	base, err := os.ReadFile(filepath.Join("..", "commands", "demo", "base.yaml"))
	assert.NilError(t, err)
	overlay, err := os.ReadFile(filepath.Join("..", "examples", "workspaces", "overlay.yaml"))
	assert.NilError(t, err)
	parsed, err := parse(string(base), string(overlay))
	assert.NilError(t, err)
	for id, key := range map[celerylanding.WorkspaceID]celerylanding.Key{"astana": "demo-key-astana", "almaty": "demo-key-almaty"} {
		assert.Equal(t, parsed.Access().WorkspaceOf(key.Digest()).ID, id)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validBase, "site: x\n")
	f.Add("a: [1, {b: *c}]", "")
	f.Fuzz(func(t *testing.T, base, overlay string) {
		parsed, err := parse(base, overlay)
		if err != nil {
			assert.Assert(t, errorx.IsOfType(err, config.ErrInvalid), "%v", err)
			return
		}
		for _, model := range parsed.Models() {
			assert.Assert(t, model.Replicas().Min <= model.Replicas().Max)
			assert.Assert(t, model.Memory() > 0 && model.Deadline() > 0)
		}
	})
}
