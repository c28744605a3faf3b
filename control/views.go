package control

import (
	"slices"
	"time"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/feed"
	"celerylanding.example/celerylanding/loadplan"
	"celerylanding.example/celerylanding/membership"
	"celerylanding.example/celerylanding/routing"
)

// publish raises the revision of the feed if the published state of the target has changed.
func (ctl *Control) publish(now time.Time, target *membership.Target) {
	view := ctl.targetView(now, target)
	entry := ctl.feed.targets[view.ID]
	if entry != nil && isSameView(&entry.target, &view) {
		entry.target = view
		return
	}
	ctl.feed.advance()
	ctl.feed.targets[view.ID] = &publishedTarget{target: view, revision: ctl.feed.revision}
}

// isSameView reports whether two published states are equal, apart from the sequence of the last heartbeat and the time that a notice has left.
func isSameView(a, b *feed.Target) bool {
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.Address == b.Address && a.Leaving == b.Leaving &&
		a.Silent == b.Silent && a.Slots == b.Slots && slices.EqualFunc(a.Loaded, b.Loaded, func(x, y feed.LoadedModel) bool {
		return x.Model == y.Model && x.Draining == y.Draining && slices.Equal(x.Adapters, y.Adapters)
	}) && a.Domain == b.Domain && slices.Equal(a.OnDisk, b.OnDisk) && slices.Equal(a.InMemory, b.InMemory) && a.Fetching == b.Fetching &&
		a.Outlier == b.Outlier && a.Software == b.Software && (a.Notice > 0) == (b.Notice > 0)
}

func (ctl *Control) targetView(now time.Time, target *membership.Target) feed.Target {
	announcement := target.Announcement()
	view := feed.Target{
		ID:          announcement.Target,
		Incarnation: announcement.Incarnation,
		Service:     celerylanding.ServiceID(announcement.Group),
		Address:     announcement.Address,
		Domain:      announcement.Domain,
		Slots:       announcement.Slots,
		Leaving:     announcement.Leaving,
		Notice:      announcement.Notice,
		Silent:      !target.IsRoutable(),
		Sequence:    announcement.Sequence,
		Software:    announcement.Software,
		Outlier:     ctl.outliers.IsEjected(now, announcement.Target, announcement.Incarnation),
	}
	switch {
	case ctl.engineSpec(view.Service) == nil:
	case ctl.leaderSince.IsZero():
		view.Loaded = loadedModels(announcement.Inventory)
	default:
		view.Loaded = ctl.planner.LoadedModels(now, announcement.Target)
		view.Fetching = ctl.planner.Fetching(announcement.Target)
	}
	for _, cached := range announcement.Cached {
		if cached.Tier == celerylanding.TierMemory {
			view.InMemory = append(view.InMemory, cached.Model)
		} else {
			view.OnDisk = append(view.OnDisk, cached.Model)
		}
	}
	return view
}

func (ctl *Control) engineSpec(id celerylanding.ServiceID) *routing.Engine {
	if ctl.configuration == nil {
		return nil
	}
	service, ok := ctl.configuration.Service(id)
	if !ok {
		return nil
	}
	return service.Engine
}

// loadedModels groups the entries of an inventory by model.
func loadedModels(inventory []celerylanding.LoadedModel) []feed.LoadedModel {
	var list []feed.LoadedModel
	for _, entry := range inventory {
		unit := loadplan.ParseUnit(entry.Model)
		at := slices.IndexFunc(list, func(loaded feed.LoadedModel) bool { return loaded.Model == unit.Model })
		if at < 0 {
			at = len(list)
			list = append(list, feed.LoadedModel{Model: unit.Model})
		}
		if unit.Adapter != "" {
			list[at].Adapters = append(list[at].Adapters, unit.Adapter)
		}
	}
	return list
}

// announcementOf converts the published state of a target back into an announcement.
func announcementOf(view *feed.Target) celerylanding.Announcement {
	announcement := celerylanding.Announcement{
		Target:      view.ID,
		Incarnation: view.Incarnation,
		Sequence:    view.Sequence,
		Domain:      view.Domain,
		Group:       string(view.Service),
		Address:     view.Address,
		Leaving:     view.Leaving,
		Notice:      view.Notice,
		Slots:       view.Slots,
		Fetching:    view.Fetching,
		Software:    view.Software,
	}
	for _, loaded := range view.Loaded {
		announcement.Inventory = append(announcement.Inventory, celerylanding.LoadedModel{Model: loaded.Model})
		for _, adapter := range loaded.Adapters {
			unit := feed.Unit{Model: loaded.Model, Adapter: adapter}
			announcement.Inventory = append(announcement.Inventory, celerylanding.LoadedModel{Model: celerylanding.ModelID(unit.String())})
		}
	}
	for _, id := range view.OnDisk {
		announcement.Cached = append(announcement.Cached, celerylanding.CachedCheckpoint{Model: id, Tier: celerylanding.TierDisk})
	}
	for _, id := range view.InMemory {
		announcement.Cached = append(announcement.Cached, celerylanding.CachedCheckpoint{Model: id, Tier: celerylanding.TierMemory})
	}
	return announcement
}
