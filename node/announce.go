package node

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// maxAnnouncement bounds an announcement in bytes.
	maxAnnouncement = 4 << 20
	maxNameLength   = 256
)

// observe takes an announcement and reports whether it was news.
func (ctl *control) observe(now time.Time, announcement celerylanding.Announcement) bool {
	if !ctl.directory.Observe(now, announcement) {
		return false
	}
	ctl.dirty = true
	if announcement.Leaving {
		ctl.recorder.Record(now, celerylanding.Event{Kind: "target_leaving", Target: announcement.Target})
	}
	return true
}

// hear takes a target's own announcement and passes it on to all members.
func (ctl *control) hear(now time.Time, announcement celerylanding.Announcement) {
	if !ctl.observe(now, announcement) {
		return
	}
	ctl.broadcast("Peer.Announce", &AnnounceArgs{Announcements: []celerylanding.Announcement{announcement}})
}

// broadcast calls every other member; lost calls are made up for by the next announcement.
func (ctl *control) broadcast(method string, args any) {
	for _, member := range ctl.core.Members() {
		if member.ID != ctl.member.ID {
			ctl.peers.Notify(member.Address, method, args)
		}
	}
}

// refused takes word that an incarnation refuses new work.
func (ctl *control) refused(now time.Time, target celerylanding.TargetID, incarnation celerylanding.Incarnation) bool {
	if !ctl.directory.Refused(target, incarnation) {
		return false
	}
	ctl.dirty = true
	ctl.recorder.Record(now, celerylanding.Event{Kind: "target_leaving", Target: target, Detail: "refused work"})
	return true
}

// serveAnnouncement is the interface for targets.
func (node *Node) serveAnnouncement(writer http.ResponseWriter, request *http.Request) {
	var announcement celerylanding.Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxAnnouncement))
	err := decoder.Decode(&announcement)
	if err == nil {
		err = checkAnnouncement(announcement)
	}
	if err != nil {
		node.metrics.Counter("announcements_refused").Inc(1)
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if err := node.control.ask(request.Context(), func(now time.Time) { node.control.hear(now, announcement) }); err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// checkAnnouncement names the first field that is wrong.
func checkAnnouncement(announcement celerylanding.Announcement) error {
	if err := checkNames(announcement); err != nil {
		return err
	}
	if announcement.Incarnation == 0 {
		return celerylanding.NewFieldError("incarnation", "must be a positive number")
	}
	if host, _, err := net.SplitHostPort(announcement.Address); err != nil || net.ParseIP(host) == nil {
		return celerylanding.NewFieldError("address", "must be an IP address with a port")
	}
	if announcement.Kind != celerylanding.KindEngine && announcement.Kind != celerylanding.KindService {
		return celerylanding.NewFieldError("kind", "must be engine or service")
	}
	if announcement.Memory < 0 || (announcement.Kind == celerylanding.KindEngine && announcement.Memory == 0) {
		return celerylanding.NewFieldError("memory", "must be positive for an engine")
	}
	for i, found := range announcement.Inventory {
		if found.Model == "" || found.Bytes < 0 {
			return celerylanding.NewFieldError(fmt.Sprintf("inventory[%d]", i), "needs a model and its bytes")
		}
	}
	return nil
}

func checkNames(announcement celerylanding.Announcement) error {
	for _, field := range []struct{ name, text string }{
		{"target", string(announcement.Target)},
		{"failure_domain", string(announcement.Domain)},
		{"group", announcement.Group},
	} {
		if field.text == "" || len(field.text) > maxNameLength {
			return celerylanding.NewFieldError(field.name, "must hold 1 to %d bytes", maxNameLength)
		}
	}
	return nil
}
