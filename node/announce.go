package node

import (
	"context"
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
	// heartbeatInterval is the time between two messages with the heartbeats of targets.
	heartbeatInterval = time.Second
	// wholeInterval is the time after which an announcement is passed on whole though it says nothing new.
	wholeInterval = 10 * time.Second
	// shareTimeout bounds the wait for another node to hear that a target is leaving.
	shareTimeout = time.Second
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

// receiveAnnouncement takes a target's own announcement and passes it on to all members: at once and whole when it says something new,
// otherwise its heartbeat together with those of other targets.
func (ctl *control) receiveAnnouncement(now time.Time, announcement celerylanding.Announcement) {
	known, ok := ctl.directory.Target(announcement.Target)
	isHeartbeat := ok && announcement.DiffersOnlyInHeartbeat(known.Announcement()) && now.Before(ctl.wholeDue[announcement.Target])
	if !ctl.observe(now, announcement) {
		return
	}
	if isHeartbeat {
		ctl.heartbeats = append(ctl.heartbeats, announcement.Heartbeat())
		return
	}
	ctl.wholeDue[announcement.Target] = now.Add(wholeInterval)
	ctl.broadcast("Peer.Announce", &AnnounceArgs{Announcements: []celerylanding.Announcement{announcement}})
}

// receiveForwarded takes an announcement that another node has passed on to all members.
func (ctl *control) receiveForwarded(now time.Time, announcement celerylanding.Announcement) {
	ctl.wholeDue[announcement.Target] = now.Add(wholeInterval)
	ctl.observe(now, announcement)
}

// passHeartbeats sends the collected heartbeats to all members in one call each.
func (ctl *control) passHeartbeats(now time.Time) {
	if len(ctl.heartbeats) == 0 || now.Before(ctl.heartbeatsDue) {
		return
	}
	ctl.heartbeatsDue = now.Add(heartbeatInterval)
	ctl.broadcast("Peer.Announce", &AnnounceArgs{Heartbeats: ctl.heartbeats})
	ctl.heartbeats = nil
}

// broadcast calls every other member; lost calls are made up for by the next announcement.
func (ctl *control) broadcast(method string, args any) {
	for _, address := range ctl.otherAddresses() {
		ctl.peers.Notify(address, method, args)
	}
}

// otherAddresses returns where all other members are reached.
func (ctl *control) otherAddresses() []string {
	var addresses []string
	for _, member := range ctl.core.Members() {
		if member.ID != ctl.member.ID {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// refused takes word that an incarnation refuses new work.
func (ctl *control) refused(now time.Time, target celerylanding.TargetID, incarnation celerylanding.Incarnation) bool {
	if !ctl.directory.MarkRefused(target, incarnation) {
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
	var others []string
	err = node.control.ask(request.Context(), func(now time.Time) {
		node.control.receiveAnnouncement(now, announcement)
		others = node.control.otherAddresses()
	})
	if err == nil && announcement.Leaving {
		err = node.shareLeaving(request.Context(), announcement, others)
	}
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// shareLeaving waits until a second node knows that the target is leaving, since this one may die right after its answer.
func (node *Node) shareLeaving(ctx context.Context, announcement celerylanding.Announcement, others []string) error {
	if len(others) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	results := make(chan error, len(others))
	args := &AnnounceArgs{Announcements: []celerylanding.Announcement{announcement}}
	for _, address := range others {
		node.tasks.Go(func(context.Context) { results <- node.peers.Call(ctx, address, "Peer.Announce", args, &Empty{}) })
	}
	var err error
	for range others {
		select {
		case err = <-results:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err == nil {
			return nil
		}
	}
	return err
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
	if announcement.Role != "" && !announcement.Role.IsValid() {
		return celerylanding.NewFieldError("role", "must be mixed, prefill or decode")
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
