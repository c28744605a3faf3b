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
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 4 << 20
	maxNameBytes         = 256
	// heartbeatInterval is the time between two batches of target heartbeats.
	heartbeatInterval = time.Second
	// fullAnnouncementInterval is the time after which an announcement is forwarded in full even if only its heartbeat has changed.
	fullAnnouncementInterval = 10 * time.Second
	// forwardTimeout bounds the wait for another node to acknowledge that a target is leaving.
	forwardTimeout = time.Second
)

// observe records an announcement and reports whether it is newer than the last one of its target.
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

// receiveAnnouncement records a target's own announcement and forwards it to all members: in full and at once if it changes more
// than the heartbeat, and otherwise only its heartbeat, batched with those of other targets.
func (ctl *control) receiveAnnouncement(now time.Time, announcement celerylanding.Announcement) {
	known, ok := ctl.directory.Target(announcement.Target)
	isHeartbeat := ok && announcement.DiffersOnlyInHeartbeat(known.Announcement()) && now.Before(ctl.fullAnnouncementDue[announcement.Target])
	if !ctl.observe(now, announcement) {
		return
	}
	if isHeartbeat {
		ctl.heartbeatBatch = append(ctl.heartbeatBatch, announcement.Heartbeat())
		return
	}
	ctl.fullAnnouncementDue[announcement.Target] = now.Add(fullAnnouncementInterval)
	ctl.broadcast("Peer.Announce", &AnnounceArgs{Announcements: []celerylanding.Announcement{announcement}})
}

// receiveForwarded records an announcement that another node has forwarded to all members.
func (ctl *control) receiveForwarded(now time.Time, announcement celerylanding.Announcement) {
	ctl.fullAnnouncementDue[announcement.Target] = now.Add(fullAnnouncementInterval)
	ctl.observe(now, announcement)
}

// broadcastHeartbeats sends the batched heartbeats to all other members, in one call to each.
func (ctl *control) broadcastHeartbeats(now time.Time) {
	if len(ctl.heartbeatBatch) == 0 || now.Before(ctl.heartbeatBatchDue) {
		return
	}
	ctl.heartbeatBatchDue = now.Add(heartbeatInterval)
	ctl.broadcast("Peer.Announce", &AnnounceArgs{Heartbeats: ctl.heartbeatBatch})
	ctl.heartbeatBatch = nil
}

// broadcast calls every other member without waiting for a reply; the next announcement makes up for a lost call.
func (ctl *control) broadcast(method string, args any) {
	for _, address := range ctl.otherAddresses() {
		ctl.peers.Notify(address, method, args)
	}
}

// otherAddresses returns the addresses of all other members.
func (ctl *control) otherAddresses() []string {
	var addresses []string
	for _, member := range ctl.core.Members() {
		if member.ID != ctl.member.ID {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// recordRefusal records that an incarnation refuses new work and reports whether that changes the state of its target.
func (ctl *control) recordRefusal(now time.Time, target celerylanding.TargetID, incarnation celerylanding.Incarnation) bool {
	if !ctl.directory.MarkRefused(target, incarnation) {
		return false
	}
	ctl.dirty = true
	ctl.recorder.Record(now, celerylanding.Event{Kind: "target_leaving", Target: target, Detail: "refused work"})
	return true
}

// serveAnnouncement handles the announcements that targets post.
func (node *Node) serveAnnouncement(writer http.ResponseWriter, request *http.Request) {
	var announcement celerylanding.Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxAnnouncementBytes))
	err := decoder.Decode(&announcement)
	if err == nil {
		err = validateAnnouncement(announcement)
	}
	if err != nil {
		node.metrics.Counter("announcements_refused").Inc(1)
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	var others []string
	err = node.control.call(request.Context(), func(now time.Time) {
		node.control.receiveAnnouncement(now, announcement)
		others = node.control.otherAddresses()
	})
	if err == nil && announcement.Leaving {
		err = node.forwardLeaving(request.Context(), announcement, others)
	}
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// forwardLeaving waits until another node has acknowledged that the target is leaving, since this node may crash right after its response.
func (node *Node) forwardLeaving(ctx context.Context, announcement celerylanding.Announcement, others []string) error {
	if len(others) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
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

// validateAnnouncement returns an error for the first invalid field.
func validateAnnouncement(announcement celerylanding.Announcement) error {
	if err := validateNames(announcement); err != nil {
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
	for i, entry := range announcement.Inventory {
		if entry.Model == "" || entry.Bytes < 0 {
			return celerylanding.NewFieldError(fmt.Sprintf("inventory[%d]", i), "needs a model and its bytes")
		}
	}
	return nil
}

func validateNames(announcement celerylanding.Announcement) error {
	for _, field := range []struct{ name, text string }{
		{"target", string(announcement.Target)},
		{"failure_domain", string(announcement.Domain)},
		{"group", announcement.Group},
	} {
		if field.text == "" || len(field.text) > maxNameBytes {
			return celerylanding.NewFieldError(field.name, "must hold 1 to %d bytes", maxNameBytes)
		}
	}
	return nil
}
