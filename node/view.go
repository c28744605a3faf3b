package node

import (
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/membership"
	"celerylanding.example/celerylanding/router"
	"celerylanding.example/celerylanding/state"
)

// publishInterval is the shortest time between two snapshots for the gateway, unless the configuration changes.
const publishInterval = 5 * time.Millisecond

// publish passes an immutable snapshot to the gateway if anything has changed.
func (ctl *control) publish(now time.Time) {
	// A new configuration is in force on this node only once the gateway has it, so its snapshot is not delayed.
	isNewConfig := ctl.state.Config() != ctl.lastConfig
	if !ctl.dirty || (now.Sub(ctl.lastPublish) < publishInterval && !isNewConfig) {
		return
	}
	ctl.lastConfig = ctl.state.Config()
	ctl.dirty = false
	ctl.lastPublish = now
	ctl.publisher.Update(now, ctl.buildView(now))
}

func (ctl *control) buildView(now time.Time) *router.View {
	view := &router.View{
		Config:    ctl.state.Config(),
		Models:    make(map[celerylanding.ModelID]router.ModelView),
		Groups:    make(map[string][]router.Route),
		ColdStart: ctl.coldStart,
	}
	routes := make(map[celerylanding.TargetID]router.Route)
	for _, target := range ctl.directory.Targets() {
		if target.IsRoutable() {
			route := routeOf(target)
			routes[route.Endpoint.Target] = route
			view.Groups[target.Announcement().Group] = append(view.Groups[target.Announcement().Group], route)
		}
	}
	loading := make(map[celerylanding.OrderNumber]time.Time)
	for _, replica := range ctl.state.Replicas() {
		ctl.addReplica(now, view, routes, replica, loading)
	}
	ctl.loadingSince = loading
	return view
}

func routeOf(target *membership.Target) router.Route {
	announcement := target.Announcement()
	return router.Route{
		Endpoint: celerylanding.Endpoint{Target: announcement.Target, Incarnation: announcement.Incarnation,
			Address: announcement.Address},
		Domain:       announcement.Domain,
		ReportedLoad: announcement.Load.Running + announcement.Load.Waiting,
		Sequence:     announcement.Sequence,
		Slots:        announcement.Slots,
	}
}

func (ctl *control) addReplica(now time.Time, view *router.View, routes map[celerylanding.TargetID]router.Route,
	replica *state.Replica, loading map[celerylanding.OrderNumber]time.Time) {
	model := view.Models[replica.Model()]
	route, ok := routes[replica.Target()]
	if ok && route.Endpoint.Incarnation == replica.Incarnation() && ctl.state.IsRoutable(replica) {
		model.Routes = append(model.Routes, route)
	}
	if replica.State() == state.StateDecided {
		since, ok := ctl.loadingSince[replica.Order()]
		if !ok {
			since = now
		}
		loading[replica.Order()] = since
		model.LoadingSince = since
	}
	view.Models[replica.Model()] = model
}
