package routing

import (
	"net"
	"slices"
	"strings"

	celerylanding "celerylanding.example/celerylanding"
)

// Table is an immutable index of one configuration's routes, services and models.
type Table struct {
	configuration *Configuration
	// hosts holds the routes of each host, the longest prefix first.
	hosts    map[string][]*Route
	services map[celerylanding.ServiceID]*Service
	models   map[celerylanding.ModelID]bool
	// workspaces holds the workspace of each key.
	workspaces map[celerylanding.KeyDigest]*Workspace
	ranks      ranks
}

// NewTable returns the table of a configuration, which must be valid.
func NewTable(configuration *Configuration) *Table {
	table := &Table{
		configuration: configuration,
		hosts:         make(map[string][]*Route),
		services:      make(map[celerylanding.ServiceID]*Service),
		models:        make(map[celerylanding.ModelID]bool),
		workspaces:    make(map[celerylanding.KeyDigest]*Workspace),
		ranks:         newRanks(configuration),
	}
	for i := range configuration.Workspaces {
		workspace := &configuration.Workspaces[i]
		for _, digest := range workspace.Keys {
			table.workspaces[digest] = workspace
		}
	}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		host := hostKey(route.Host)
		table.hosts[host] = append(table.hosts[host], route)
	}
	for _, routes := range table.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range configuration.Services {
		service := &configuration.Services[i]
		table.services[service.ID] = service
		table.addModels(service.Engine)
	}
	return table
}

func (table *Table) addModels(engine *Engine) {
	if engine == nil {
		return
	}
	for _, model := range engine.Models {
		table.models[model.ID] = true
	}
}

// HasModel reports whether an engine of some service can load the model.
func (table *Table) HasModel(id celerylanding.ModelID) bool { return table.models[id] }

// Version returns the version of the configuration.
func (table *Table) Version() uint64 { return table.configuration.Version }

// Limits returns the limits on callers' requests.
func (table *Table) Limits() Limits { return table.configuration.Limits }

// Service finds a service.
func (table *Table) Service(id celerylanding.ServiceID) (*Service, bool) {
	service, ok := table.services[id]
	return service, ok
}

// Services returns all services.
func (table *Table) Services() []Service { return table.configuration.Services }

// NeedsKeys reports whether callers need a key, except on public routes.
func (table *Table) NeedsKeys() bool {
	return table.configuration.NeedsKeys || len(table.configuration.Workspaces) > 0
}

// WorkspaceOf returns the workspace that a key belongs to, or nil if the key is unknown.
func (table *Table) WorkspaceOf(digest celerylanding.KeyDigest) *Workspace {
	return table.workspaces[digest]
}

// Workspace returns the workspace with a name, or nil if there is none.
func (table *Table) Workspace(id celerylanding.WorkspaceID) *Workspace {
	for i := range table.configuration.Workspaces {
		if workspace := &table.configuration.Workspaces[i]; workspace.ID == id {
			return workspace
		}
	}
	return nil
}

// Match returns the route of the host whose prefix is the longest one that the path starts with.
func (table *Table) Match(host, path string) (*Route, bool) {
	for _, route := range table.hosts[hostKey(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// ChooseService returns the service of the route for a random number in [0, 1), in proportion to the weights.
func (route *Route) ChooseService(draw float64) celerylanding.ServiceID {
	sum := 0
	for _, share := range route.Shares {
		sum += share.Weight
	}
	point := int(draw * float64(sum))
	for _, share := range route.Shares {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return route.Shares[len(route.Shares)-1].Service
}

// hostKey returns the host in canonical form for comparison: in lower case, without a port and a trailing dot.
func hostKey(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
