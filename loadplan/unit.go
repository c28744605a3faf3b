package loadplan

import (
	"strings"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
)

// SplitUnit splits "model/adapter" into its two names; the adapter is "" for a plain model.
func SplitUnit(id celerylanding.ModelID) (model celerylanding.ModelID, adapter string) {
	name, adapter, _ := strings.Cut(string(id), "/")
	return celerylanding.ModelID(name), adapter
}

// ParseUnit parses a unit's name, "model" or "model/adapter".
func ParseUnit(id celerylanding.ModelID) feed.Unit {
	model, adapter := SplitUnit(id)
	return feed.Unit{Model: model, Adapter: adapter}
}
