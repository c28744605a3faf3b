package node

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	celerylanding "celerylanding.example/celerylanding"
	"celerylanding.example/celerylanding/config"
	"celerylanding.example/celerylanding/state"
)

const (
	// maxSubmissionBytes bounds the body of a submission.
	maxSubmissionBytes = 32 << 20
	submitTimeout      = 10 * time.Second
	statusTimeout      = 2 * time.Second
)

// The outcomes of a submission.
const (
	OutcomeAccepted        = "accepted"
	OutcomeAlreadyAccepted = "already accepted"
	OutcomeRefused         = "refused"
	OutcomeUnknown         = "unknown"
)

// SubmitReply is the response to a submission.
type SubmitReply struct {
	Outcome string        `json:"outcome"`
	Number  uint64        `json:"number,omitempty"`
	Digest  config.Digest `json:"digest,omitempty"`
	Detail  string        `json:"detail,omitempty"`
}

// ShowReply is the intended and the actual state of a site.
type ShowReply struct {
	Site     string         `json:"site"`
	Revision uint64         `json:"revision"`
	Digest   config.Digest  `json:"digest"`
	Nodes    []Status       `json:"nodes"`
	Targets  []TargetStatus `json:"targets"`
	Models   []ModelStatus  `json:"models"`
	// Workspaces is empty if callers need no key.
	Workspaces []WorkspaceStatus `json:"workspaces,omitempty"`
}

// WorkspaceStatus is one workspace of the configuration, without its keys.
type WorkspaceStatus struct {
	Workspace celerylanding.WorkspaceID `json:"workspace"`
	Keys      int                       `json:"keys"`
	Priority  string                    `json:"priority"`
	Rate      float64                   `json:"rate"`
	Burst     float64                   `json:"burst"`
	Unit      string                    `json:"unit"`
}

// WorkspacesOf returns the workspaces of a configuration.
func WorkspacesOf(configuration *config.Config) []WorkspaceStatus {
	var list []WorkspaceStatus
	for _, workspace := range configuration.Workspaces() {
		list = append(list, WorkspaceStatus{Workspace: workspace.ID, Keys: len(workspace.Keys),
			Priority: celerylanding.Priority(workspace.Priority).String(), Rate: workspace.Quota.Rate, Burst: workspace.Quota.Burst,
			Unit: workspace.Quota.Unit.String()})
	}
	return list
}

// TargetStatus is one target as the queried node sees it.
type TargetStatus struct {
	Target        celerylanding.TargetID      `json:"target"`
	Incarnation   celerylanding.Incarnation   `json:"incarnation"`
	Domain        celerylanding.FailureDomain `json:"failure_domain"`
	Group         string                      `json:"group"`
	State         string                      `json:"state"`
	Role          celerylanding.Role          `json:"role,omitempty"`
	Memory        celerylanding.Bytes         `json:"memory"`
	ReservedBytes celerylanding.Bytes         `json:"used"`
	Replicas      int                         `json:"replicas"`
}

// ModelStatus is one model with its replicas, or the reason why it has none.
type ModelStatus struct {
	Model    celerylanding.ModelID `json:"model"`
	Min      int                   `json:"min"`
	Max      int                   `json:"max"`
	Replicas []ReplicaStatus       `json:"replicas"`
	Reason   string                `json:"reason,omitempty"`
}

// ReplicaStatus is one replica of a model.
type ReplicaStatus struct {
	Target celerylanding.TargetID    `json:"target"`
	State  string                    `json:"state"`
	Order  celerylanding.OrderNumber `json:"order"`
}

// serveSubmit commits a submitted configuration and responds after the commit.
func (node *Node) serveSubmit(writer http.ResponseWriter, request *http.Request) {
	var document config.Document
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, maxSubmissionBytes)).Decode(&document); err != nil {
		node.metrics.Counter("submissions_malformed").Inc(1)
		writeReply(writer, http.StatusBadRequest, SubmitReply{Outcome: OutcomeRefused, Detail: err.Error()})
		return
	}
	if _, err := config.Parse(document); err != nil {
		node.metrics.Counter("submissions_invalid").Inc(1)
		writeReply(writer, http.StatusBadRequest, SubmitReply{Outcome: OutcomeRefused, Detail: err.Error()})
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), submitTimeout)
	defer cancel()
	result, err := node.control.propose(ctx, state.Command{Submit: &state.Submit{Document: document}})
	reply := submitReply(result, err)
	status := http.StatusOK
	switch reply.Outcome {
	case OutcomeRefused:
		status = http.StatusConflict
	case OutcomeUnknown:
		status = http.StatusServiceUnavailable
	}
	node.recorder.Record(time.Now(), celerylanding.Event{Kind: "submit", Detail: reply.Outcome})
	writeReply(writer, status, reply)
}

func submitReply(result state.Result, err error) SubmitReply {
	if err != nil {
		outcome := OutcomeUnknown
		if errorx.IsOfType(err, celerylanding.ErrCallFailed) && celerylanding.VerdictOf(err) == celerylanding.NotRun {
			outcome = OutcomeRefused
		}
		return SubmitReply{Outcome: outcome, Detail: err.Error()}
	}
	reply := SubmitReply{Outcome: OutcomeRefused, Number: result.Number, Digest: result.Digest, Detail: result.Detail}
	switch result.Code {
	case state.CodeAccepted:
		reply.Outcome = OutcomeAccepted
	case state.CodeUnchanged:
		reply.Outcome = OutcomeAlreadyAccepted
	}
	return reply
}

// writeReply responds to an operator. It ignores a write error, which means that the operator has disconnected.
func writeReply(writer http.ResponseWriter, status int, reply any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(reply)
}

// status returns this node's status.
func (node *Node) status(ctx context.Context) (Status, error) {
	var status Status
	err := node.control.call(ctx, func(time.Time) { status = node.control.status() })
	status.State = string(node.lifecycleState())
	return status, err
}

func (ctl *control) status() Status {
	status := Status{
		Node:    ctl.options.ID,
		Member:  ctl.member.ID,
		Domain:  ctl.options.Domain,
		Role:    ctl.core.Role().String(),
		Term:    ctl.core.Term(),
		Leader:  ctl.core.Leader(),
		Applied: ctl.state.Index(),
	}
	for _, member := range ctl.core.Members() {
		status.Voter = status.Voter || (member.ID == ctl.member.ID && !member.Learner)
	}
	configuration := ctl.state.Config()
	if configuration == nil {
		return status
	}
	status.Revision, status.Digest = configuration.Revision(), configuration.Digest()
	if ctl.currentLeaderState() == nil {
		return status
	}
	for _, model := range configuration.Models() {
		if reason := ctl.planner.Blocked(model.ID()); reason != "" {
			status.Blocked = append(status.Blocked, BlockedModel{model.ID(), reason})
		}
	}
	return status
}

// serveShow responds with the intended state and the actual state on each node.
func (node *Node) serveShow(writer http.ResponseWriter, request *http.Request) {
	var reply ShowReply
	var addresses []string
	err := node.control.call(request.Context(), func(time.Time) {
		reply = node.control.show()
		for _, member := range node.control.core.Members() {
			addresses = append(addresses, member.Address)
		}
	})
	if err != nil {
		http.Error(writer, err.Error(), http.StatusServiceUnavailable)
		return
	}
	reply.Nodes = node.memberStatuses(request.Context(), addresses)
	for _, status := range reply.Nodes {
		for _, blocked := range status.Blocked {
			reply.setReason(blocked)
		}
	}
	writeReply(writer, http.StatusOK, reply)
}

func (reply *ShowReply) setReason(blocked BlockedModel) {
	for i := range reply.Models {
		if reply.Models[i].Model == blocked.Model {
			reply.Models[i].Reason = blocked.Reason
		}
	}
}

// memberStatuses queries all members concurrently; one that does not answer is listed with the error.
func (node *Node) memberStatuses(ctx context.Context, addresses []string) []Status {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	statuses := make([]Status, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			if err := node.peers.Call(ctx, address, "Peer.Status", &Empty{}, &statuses[i]); err != nil {
				statuses[i] = Status{Member: "?", Error: address + ": " + err.Error()}
			}
		})
	}
	calls.Wait()
	return statuses
}

func (ctl *control) show() ShowReply {
	reply := ShowReply{Targets: []TargetStatus{}, Models: []ModelStatus{}}
	for _, target := range ctl.directory.Targets() {
		announcement := target.Announcement()
		reply.Targets = append(reply.Targets, TargetStatus{
			Target:        announcement.Target,
			Incarnation:   announcement.Incarnation,
			Domain:        announcement.Domain,
			Group:         announcement.Group,
			State:         string(target.State()),
			Role:          announcement.Role,
			Memory:        announcement.Memory,
			ReservedBytes: ctl.state.ReservedBytes(announcement.Target),
			Replicas:      len(ctl.state.ReplicasOn(announcement.Target)),
		})
	}
	configuration := ctl.state.Config()
	if configuration == nil {
		return reply
	}
	reply.Site, reply.Revision, reply.Digest = configuration.Site(), configuration.Revision(), configuration.Digest()
	reply.Workspaces = WorkspacesOf(configuration)
	for _, model := range configuration.Models() {
		status := ModelStatus{Model: model.ID(), Min: model.Replicas().Min, Max: model.Replicas().Max, Replicas: []ReplicaStatus{}}
		for _, replica := range ctl.state.ReplicasOf(model.ID()) {
			status.Replicas = append(status.Replicas, ReplicaStatus{replica.Target(), string(replica.State()), replica.Order()})
		}
		if len(status.Replicas) == 0 {
			status.Reason = "no request needs it"
			if failure := ctl.state.Failure(model.ID()); failure != "" {
				status.Reason = "the last load failed: " + failure
			}
		}
		reply.Models = append(reply.Models, status)
	}
	return reply
}
