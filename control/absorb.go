package control

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	celerylanding "celerylanding.example/celerylanding"
)

const (
	// absorbInterval is the time between two messages in which a follower tells the leader of targets without news; short against
	// the interval of heartbeats.
	absorbInterval = 200 * time.Millisecond
	// absorbTrust is how long after an answer of the leader a follower takes heartbeats for it; later ones are passed on one by one, so
	// that targets look for another node when the leader is out of reach.
	absorbTrust = time.Second
	// maxAbsorbed is the number of targets, beside twice the known ones, that a follower remembers before it starts anew.
	maxAbsorbed = 256
	// spreadTargets is the number of targets from which heartbeats stay with the nodes that get them; below it the leader takes all
	// of them, which costs it 3 in 100 of a processor for each hundred targets.
	spreadTargets = 200
)

// Alive says that a target has said again what it had said before.
type Alive struct {
	Target      celerylanding.TargetID    `cbor:"1,keyasint"`
	Incarnation celerylanding.Incarnation `cbor:"2,keyasint"`
	Sequence    uint64                    `cbor:"3,keyasint"`
	// Digest stands for all that the target says of itself.
	Digest uint64 `cbor:"4,keyasint"`
}

// AliveArgs pass on heartbeats without news.
type AliveArgs struct {
	Targets []Alive `cbor:"1,keyasint"`
}

// AliveReply names the targets of which the leader knows something else; their next heartbeats must be passed on whole.
type AliveReply struct {
	Leads   bool                     `cbor:"1,keyasint"`
	Unknown []celerylanding.TargetID `cbor:"2,keyasint,omitempty"`
}

// absorbed is what a follower keeps of the heartbeats that it has passed on.
type absorbed struct {
	// known holds what the leader was told of each target by this node.
	known map[celerylanding.TargetID]Alive
	// waiting are the heartbeats without news since the last message.
	waiting map[celerylanding.TargetID]Alive
	// answered is when the leader last answered, and due when the next message goes out.
	answered time.Time
	due      time.Time
	sending  bool
}

func newAbsorbed() absorbed {
	return absorbed{known: make(map[celerylanding.TargetID]Alive), waiting: make(map[celerylanding.TargetID]Alive)}
}

// digestOf returns a number that differs when the announcement's content does.
func digestOf(announcement *celerylanding.Announcement) uint64 {
	digest := xxhash.New()
	// Writing to a digest never fails.
	write := func(text string) { _, _ = digest.WriteString(text + "\x00") }
	write(announcement.Group)
	write(announcement.Address)
	write(string(announcement.Domain))
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

func aliveOf(announcement *celerylanding.Announcement) Alive {
	return Alive{Target: announcement.Target, Incarnation: announcement.Incarnation, Sequence: announcement.Sequence,
		Digest: digestOf(announcement)}
}

// absorb takes a heartbeat that says nothing new, if this node follows a leader that has lately answered.
func (ctl *Control) absorb(now time.Time, announcement *celerylanding.Announcement) bool {
	if announcement == nil || announcement.Leaving || now.Sub(ctl.absorbed.answered) > absorbTrust {
		return false
	}
	alive := aliveOf(announcement)
	known, ok := ctl.absorbed.known[alive.Target]
	if !ok || known.Incarnation != alive.Incarnation || known.Digest != alive.Digest {
		return false
	}
	if alive.Sequence > known.Sequence {
		ctl.absorbed.known[alive.Target] = alive
		ctl.absorbed.waiting[alive.Target] = alive
	}
	return true
}

// passedOn notes a heartbeat that the leader has taken from this node.
func (ctl *Control) passedOn(now time.Time, announcement *celerylanding.Announcement) {
	ctl.absorbed.answered = now
	if announcement == nil || announcement.Leaving {
		return
	}
	if len(ctl.absorbed.known) > maxAbsorbed+2*ctl.directory.Len() {
		// Most of these targets are gone; the others are told whole once more.
		clear(ctl.absorbed.known)
	}
	ctl.absorbed.known[announcement.Target] = aliveOf(announcement)
}

// passAlive tells the leader of the heartbeats without news when it is due.
func (ctl *Control) passAlive(now time.Time) {
	waiting := ctl.absorbed.waiting
	leader := ctl.leaderAddress()
	if ctl.absorbed.sending || len(waiting) == 0 || now.Before(ctl.absorbed.due) || leader == "" || leader == ctl.member.Address {
		return
	}
	ctl.absorbed.due = now.Add(absorbInterval)
	ctl.absorbed.sending = true
	ctl.absorbed.waiting = make(map[celerylanding.TargetID]Alive)
	args := &AliveArgs{Targets: make([]Alive, 0, len(waiting))}
	for _, alive := range waiting {
		args.Targets = append(args.Targets, alive)
	}
	ctl.tasks.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, absorbTrust)
		defer cancel()
		var reply AliveReply
		err := ctl.peers.Call(ctx, leader, "Peer.Alive", args, &reply)
		ctl.post(context.WithoutCancel(ctx), func(now time.Time) { ctl.tookAlive(now, &reply, err) })
	})
}

// tookAlive takes the leader's answer; without one the next heartbeats are passed on whole.
func (ctl *Control) tookAlive(now time.Time, reply *AliveReply, err error) {
	ctl.absorbed.sending = false
	if err != nil || !reply.Leads {
		ctl.absorbed.answered = time.Time{}
		ctl.options.Log.Warn().Err(err).Bool("leads", reply.Leads).Msg("heartbeats without news were not taken")
		return
	}
	ctl.absorbed.answered = now
	for _, id := range reply.Unknown {
		delete(ctl.absorbed.known, id)
	}
}

// takeAlive takes heartbeats without news from a follower if this node leads.
func (ctl *Control) takeAlive(now time.Time, args *AliveArgs) AliveReply {
	reply := AliveReply{Leads: ctl.leads(now)}
	if !reply.Leads {
		return reply
	}
	for _, alive := range args.Targets {
		target, ok := ctl.directory.Target(alive.Target)
		if !ok {
			reply.Unknown = append(reply.Unknown, alive.Target)
			continue
		}
		known := target.Announcement()
		if known.Incarnation != alive.Incarnation || digestOf(&known) != alive.Digest {
			reply.Unknown = append(reply.Unknown, alive.Target)
			continue
		}
		wasRoutable := target.IsRoutable()
		if ctl.directory.Heartbeat(now, celerylanding.Heartbeat{Target: alive.Target, Incarnation: alive.Incarnation, Sequence: alive.Sequence}) &&
			(!wasRoutable || ctl.planner.IsSuspect(alive.Target)) {
			ctl.observeTarget(now, alive.Target)
		}
	}
	return reply
}

// DistributesHeartbeats reports whether targets should go on sending their heartbeats to any node, since there are too many for one.
func (ctl *Control) DistributesHeartbeats() bool {
	ctl.mutex.Lock()
	defer ctl.mutex.Unlock()
	return ctl.targets > spreadTargets
}
