package soak_test

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"celerylanding.example/celerylanding/soak"
)

// TestShortSoak plays one seed for a few seconds; `celerylanding-soak` plays others and longer ones.
func TestShortSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "celerylanding")
	output, err := exec.Command("go", "build", "-o", binary, "../cmd/celerylanding").CombinedOutput()
	assert.NilError(t, err, string(output))
	var told strings.Builder
	err = soak.Run(t.Context(), soak.Options{Binary: binary, Folder: t.TempDir(), Seed: 7, Length: 5 * time.Second, Network: 78, Out: &told})
	assert.NilError(t, err, told.String())
}
