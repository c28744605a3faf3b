package control

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// heartbeatBatchInterval is the time between two batches of unchanged heartbeats from a follower to the leader; short compared with
	// the heartbeat interval of targets.
	heartbeatBatchInterval = 200 * time.Millisecond
	// leaderReplyTimeout is the timeout of the call that sends a batch of heartbeats to the leader. When the leader's last reply is older than
	// this, a follower stops accepting heartbeats on the leader's behalf and forwards them one by one, so that targets switch to another node
	// when the leader is unreachable.
	leaderReplyTimeout = time.Second
	// maxStaleAcknowledged bounds a follower's record of acknowledged heartbeats, together with the number of known targets: the record is
	// cleared when it has more than maxStaleAcknowledged entries plus two for each known target.
	maxStaleAcknowledged = 256
	// maxLeaderTargets is the largest number of targets that send all heartbeats to the leader, which costs it 3% of a core per hundred
	// targets. With more targets, they send heartbeats to any node, which batches the unchanged ones.
	maxLeaderTargets = 200
)

// UnchangedHeartbeat is a heartbeat whose content equals that of the previous one from the same incarnation.
type UnchangedHeartbeat struct {
	Target      celerylanding.TargetID    `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64                    `cbor:"3,keyasint"`
	// Digest is the announcementDigest of the announcement that the heartbeat repeats.
	Digest uint64 `cbor:"4,keyasint"`
}

// UnchangedHeartbeatsArgs is a batch of unchanged heartbeats from a follower.
type UnchangedHeartbeatsArgs struct {
	Heartbeats []UnchangedHeartbeat `cbor:"1,keyasint"`
}

// UnchangedHeartbeatsReply lists the targets for which the leader has no announcement or a different one; their next heartbeats must be
// forwarded in full.
type UnchangedHeartbeatsReply struct {
	Leads bool                     `cbor:"1,keyasint"`
	Stale []celerylanding.TargetID `cbor:"2,keyasint,omitempty"`
}

// heartbeatBatch is the follower side of batching unchanged heartbeats.
type heartbeatBatch struct {
	// acknowledged holds the last heartbeat of each target that this node has batched, or forwarded to the leader in full.
	acknowledged map[celerylanding.TargetID]UnchangedHeartbeat
	// pending holds the unchanged heartbeats received since the last batch.
	pending map[celerylanding.TargetID]UnchangedHeartbeat
	// lastReply is when the leader last replied, and nextSend when the next batch is due.
	lastReply time.Time
	nextSend  time.Time
	sending   bool
}

func newHeartbeatBatch() heartbeatBatch {
	return heartbeatBatch{acknowledged: make(map[celerylanding.TargetID]UnchangedHeartbeat),
		pending: make(map[celerylanding.TargetID]UnchangedHeartbeat)}
}

// announcementDigest returns a hash of the announcement's group, address, failure domain, software, slots, leaving flag, inventory and
// cached models.
func announcementDigest(announcement *celerylanding.Announcement) uint64 {
	digest := xxhash.New()
	// A write to a hash never fails.
	write := func(text string) { _, _ = digest.WriteString(text + "\x00") }
	write(announcement.Group)
	write(announcement.Address)
	write(string(announcement.Domain))
	write(string(announcement.Software))
	write(strconv.Itoa(announcement.Slots))
	write(strconv.FormatBool(announcement.Leaving))
	for _, entry := range announcement.Inventory {
		write(string(entry.Model))
	}
	for _, cached := range announcement.Cached {
		write(string(cached.Tier) + "/" + string(cached.Model))
	}
	return digest.Sum64()
}

func unchangedHeartbeat(announcement *celerylanding.Announcement) UnchangedHeartbeat {
	return UnchangedHeartbeat{Target: announcement.Target, Incarnation: announcement.Incarnation, Sequence: announcement.Sequence,
		Digest: announcementDigest(announcement)}
}

// batchHeartbeat adds a heartbeat to the next batch and returns true, if it is unchanged and the leader has replied to this node recently.
func (ctl *Control) batchHeartbeat(now time.Time, announcement *celerylanding.Announcement) bool {
	if announcement == nil || announcement.Leaving || now.Sub(ctl.heartbeats.lastReply) > leaderReplyTimeout {
		return false
	}
	heartbeat := unchangedHeartbeat(announcement)
	known, ok := ctl.heartbeats.acknowledged[heartbeat.Target]
	if !ok || known.Incarnation != heartbeat.Incarnation || known.Digest != heartbeat.Digest {
		return false
	}
	if heartbeat.Sequence > known.Sequence {
		ctl.heartbeats.acknowledged[heartbeat.Target] = heartbeat
		ctl.heartbeats.pending[heartbeat.Target] = heartbeat
	}
	return true
}

// recordForwarded records an announcement that the leader has accepted from this node.
func (ctl *Control) recordForwarded(now time.Time, announcement *celerylanding.Announcement) {
	ctl.heartbeats.lastReply = now
	if announcement == nil || announcement.Leaving {
		return
	}
	if len(ctl.heartbeats.acknowledged) > maxStaleAcknowledged+2*ctl.directory.Len() {
		// Most entries belong to targets that no longer run; the next heartbeats of the others are forwarded in full.
		clear(ctl.heartbeats.acknowledged)
	}
	ctl.heartbeats.acknowledged[announcement.Target] = unchangedHeartbeat(announcement)
}

// sendHeartbeatBatch sends the pending heartbeats to the leader when the next batch is due.
func (ctl *Control) sendHeartbeatBatch(now time.Time) {
	batch := ctl.heartbeats.pending
	leader := ctl.leaderAddress()
	if ctl.heartbeats.sending || len(batch) == 0 || now.Before(ctl.heartbeats.nextSend) || leader == "" || leader == ctl.member.Address {
		return
	}
	ctl.heartbeats.nextSend = now.Add(heartbeatBatchInterval)
	ctl.heartbeats.sending = true
	ctl.heartbeats.pending = make(map[celerylanding.TargetID]UnchangedHeartbeat)
	args := &UnchangedHeartbeatsArgs{Heartbeats: make([]UnchangedHeartbeat, 0, len(batch))}
	for _, heartbeat := range batch {
		args.Heartbeats = append(args.Heartbeats, heartbeat)
	}
	ctl.tasks.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, leaderReplyTimeout)
		defer cancel()
		var reply UnchangedHeartbeatsReply
		err := ctl.peers.Call(ctx, leader, "Peer.Alive", args, &reply)
		ctl.post(context.WithoutCancel(ctx), func(now time.Time) { ctl.handleBatchReply(now, &reply, err) })
	})
}

// handleBatchReply processes the leader's reply; if the call failed or the called node does not lead, the next heartbeats are forwarded in
// full.
func (ctl *Control) handleBatchReply(now time.Time, reply *UnchangedHeartbeatsReply, err error) {
	ctl.heartbeats.sending = false
	if err != nil || !reply.Leads {
		ctl.heartbeats.lastReply = time.Time{}
		ctl.options.Log.Warn().Err(err).Bool("leads", reply.Leads).Msg("leader did not accept a batch of unchanged heartbeats")
		return
	}
	ctl.heartbeats.lastReply = now
	for _, id := range reply.Stale {
		delete(ctl.heartbeats.acknowledged, id)
	}
}

// applyHeartbeatBatch applies unchanged heartbeats from a follower if this node leads.
func (ctl *Control) applyHeartbeatBatch(now time.Time, args *UnchangedHeartbeatsArgs) UnchangedHeartbeatsReply {
	reply := UnchangedHeartbeatsReply{Leads: ctl.leads(now)}
	if !reply.Leads {
		return reply
	}
	for _, heartbeat := range args.Heartbeats {
		target, ok := ctl.directory.Target(heartbeat.Target)
		if !ok {
			reply.Stale = append(reply.Stale, heartbeat.Target)
			continue
		}
		known := target.Announcement()
		if known.Incarnation != heartbeat.Incarnation || announcementDigest(&known) != heartbeat.Digest {
			reply.Stale = append(reply.Stale, heartbeat.Target)
			continue
		}
		wasRoutable := target.IsRoutable()
		if ctl.directory.Heartbeat(now, celerylanding.Heartbeat{Target: heartbeat.Target, Incarnation: heartbeat.Incarnation,
			Sequence: heartbeat.Sequence}) &&
			(!wasRoutable || ctl.planner.IsSuspect(heartbeat.Target)) {
			ctl.observeTarget(now, heartbeat.Target)
		}
	}
	return reply
}

// DistributesHeartbeats reports whether targets should keep sending heartbeats to any node, because there are too many for the leader
// alone.
func (ctl *Control) DistributesHeartbeats() bool {
	ctl.mutex.Lock()
	defer ctl.mutex.Unlock()
	return ctl.targets > maxLeaderTargets
}
