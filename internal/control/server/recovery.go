package server

import (
	"context"
	"encoding/json"
	"fmt"

	"k8s.io/klog/v2"

	"portflow/internal/cluster/apierror"
	"portflow/internal/control/consensus"
)

// CoreRecovery reports that a recovery is done or, before that, what it may lose and the phrase that confirms it.
type CoreRecovery struct {
	Done          bool     `json:"done"`
	Node          string   `json:"node"`
	ConfirmPhrase string   `json:"confirm"`
	Losses        []string `json:"losses"`
}

// recoveryRequest requests a recovery or, with an empty phrase, what it may lose.
type recoveryRequest struct {
	Confirm string `json:"confirm"`
	Force   bool   `json:"force"` // even if another process has applied a higher index
}

// handleCoreRecover makes this process the only voting member, for use when a majority of the members is lost permanently. Without the
// confirmation phrase it changes nothing, and returns what may be lost and the phrase.
func (s *Server) handleCoreRecover(ctx context.Context, _ string, body []byte) (any, error) {
	var request recoveryRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, apierror.Wrap(apierror.Malformed, err, "recovery request")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	node := s.state.Node
	result := CoreRecovery{
		Node:          s.Settings.Name,
		ConfirmPhrase: fmt.Sprintf("epoch %d number %d", node.Membership().Epoch, node.Applied()),
	}
	if request.Confirm != "" && request.Confirm == s.recoveryPhrase { // repeated request
		return s.awaitRecoverySaved(ctx, result)
	}
	if err := s.checkRecoverable(request.Force); err != nil {
		return nil, err
	}
	result.Losses = s.recoveryLosses()
	if request.Confirm == "" {
		return result, nil
	}
	if request.Confirm != result.ConfirmPhrase {
		return nil, apierror.New(apierror.Invalid, "confirm: the phrase is %q, expected %q", request.Confirm, result.ConfirmPhrase)
	}
	klog.InfoS("recovery", "from", result.ConfirmPhrase, "losses", result.Losses)
	s.stepNode(consensus.Event{Recover: true})
	s.recoveryPhrase = request.Confirm
	return s.awaitRecoverySaved(ctx, result)
}

// checkRecoverable rejects a recovery if there is nothing to recover, if this process is shutting down or its disk is stalled, or, unless
// force is set, if a connected process has applied a higher index. The caller holds mu.
func (s *Server) checkRecoverable(force bool) error {
	node := s.state.Node
	switch {
	case node.Applied() == 0:
		return apierror.New(apierror.Invalid, "%s has no state to recover from", s.Settings.Name)
	case node.HasQuorum():
		return apierror.New(apierror.Invalid, "a majority of the voting members is connected, so there is nothing to recover; see portflowctl core remove")
	case s.diskBehind || s.stopping:
		return apierror.New(apierror.Unavailable, "%s can't recover: its disk is stalled, or it is shutting down", s.Settings.Name)
	}
	if force {
		return nil
	}
	for ip, peer := range s.state.Peers {
		if peer.Status.Number > node.Applied() {
			return apierror.New(apierror.Invalid, "%s has applied index %d, this process %d: recover there, or use --force", ip, peer.Status.Number, node.Applied())
		}
	}
	return nil
}

// recoveryLosses returns descriptions of what a recovery may lose. The caller holds mu.
func (s *Server) recoveryLosses() []string {
	node := s.state.Node
	losses := []string{fmt.Sprintf("changes committed after index %d that only disconnected members have", node.Applied())}
	for _, member := range node.Membership().Members {
		if status := s.describe(member); !status.Heard {
			losses = append(losses, fmt.Sprintf("the vote and the disk of %s, %s, in zone %s, disconnected for %.0f s", member.Name, member.IP, member.Zone, status.SilentSeconds))
		}
	}
	if !node.IsMember() {
		losses = append(losses, "this process is not in the last member list that it knows: the members may have continued without it")
	}
	return losses
}

// awaitRecoverySaved answers once the recovery has been fsynced. The caller holds mu, which is released during the wait.
func (s *Server) awaitRecoverySaved(ctx context.Context, result CoreRecovery) (any, error) {
	saved := make(chan struct{})
	job := writeJob{records: encodeHardState(s.state.Node.HardState()), done: func() { close(saved) }}
	if s.diskBehind || !s.writer.enqueue(job) {
		return nil, apierror.New(apierror.Unavailable, "the recovery is not on disk yet")
	}
	s.mu.Unlock()
	defer s.mu.Lock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case <-saved:
	case <-ctx.Done():
		return nil, apierror.Wrap(apierror.Unavailable, ctx.Err(), "the recovery is not on disk yet")
	}
	result.Done = true
	return result, nil
}
