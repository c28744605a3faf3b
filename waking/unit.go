package waking

import (
	"strings"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// SplitUnit divides "model/adapter" into its two names; a plain model has no adapter.
func SplitUnit(id celerylanding.ModelID) (model celerylanding.ModelID, adapter string) {
	name, adapter, _ := strings.Cut(string(id), "/")
	return celerylanding.ModelID(name), adapter
}

// ParseUnit returns the unit that a name stands for.
func ParseUnit(id celerylanding.ModelID) feed.Unit {
	model, adapter := SplitUnit(id)
	return feed.Unit{Model: model, Adapter: adapter}
}
