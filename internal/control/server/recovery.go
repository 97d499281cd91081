package server

import (
	"context"
	"encoding/json"
	"fmt"

	"k8s.io/klog/v2"

	"portflow/internal/cluster/apierror"
	"portflow/internal/control/consensus"
)

// CoreRecovery is what a recovery may lose, and the phrase that confirms it; or that it is done.
type CoreRecovery struct {
	Done          bool     `json:"done"`
	Node          string   `json:"node"`
	ConfirmPhrase string   `json:"confirm"`
	Losses        []string `json:"losses"`
}

// recoveryRequest asks for a recovery, or with an empty phrase for what it may lose.
type recoveryRequest struct {
	Confirm string `json:"confirm"`
	Force   bool   `json:"force"` // also where another process has applied more
}

// handleCoreRecover makes this process the only member, where a majority of the members never comes back. Without the phrase that
// confirms it, it answers with what may be lost, and the phrase.
func (s *Server) handleCoreRecover(ctx context.Context, _ string, body []byte) (any, error) {
	var request recoveryRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, apierror.Wrap(apierror.Malformed, err, "the recovery")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	node := s.state.Node
	result := CoreRecovery{
		Node:          s.Settings.Name,
		ConfirmPhrase: fmt.Sprintf("epoch %d number %d", node.Membership().Epoch, node.Applied()),
	}
	if request.Confirm != "" && request.Confirm == s.recoveryPhrase { // the same request once more
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
		return nil, apierror.New(apierror.Invalid, "confirm: %q, and it would be from %q", request.Confirm, result.ConfirmPhrase)
	}
	klog.InfoS("recovery", "from", result.ConfirmPhrase, "losses", result.Losses)
	s.stepNode(consensus.Event{Recover: true})
	s.recoveryPhrase = request.Confirm
	return s.awaitRecoverySaved(ctx, result)
}

// checkRecoverable refuses a recovery where there is nothing to recover, or this process is not the one to do it. The caller holds mu.
func (s *Server) checkRecoverable(force bool) error {
	node := s.state.Node
	switch {
	case node.Applied() == 0:
		return apierror.New(apierror.Invalid, "%s holds no state", s.Settings.Name)
	case node.HasQuorum():
		return apierror.New(apierror.Invalid, "more than half of the members are heard: nothing is to be recovered; see pilot core remove")
	case s.diskBehind || s.stopping:
		return apierror.New(apierror.Unavailable, "%s can't take it on: its disk hangs, or it ends", s.Settings.Name)
	}
	if force {
		return nil
	}
	for ip, peer := range s.state.Peers {
		if peer.Status.Number > node.Applied() {
			return apierror.New(apierror.Invalid, "%s has number %d, this process %d: recover there, or --force", ip, peer.Status.Number, node.Applied())
		}
	}
	return nil
}

// recoveryLosses is what a recovery may lose, one sentence each. The caller holds mu.
func (s *Server) recoveryLosses() []string {
	node := s.state.Node
	losses := []string{fmt.Sprintf("what was confirmed after number %d and only silent members hold", node.Applied())}
	for _, member := range node.Membership().Members {
		if status := s.describe(member); !status.Heard {
			losses = append(losses, fmt.Sprintf("the vote and the disk of %s, %s, in %s, silent for %.0f s", member.Name, member.IP, member.Zone, status.SilentSeconds))
		}
	}
	if !node.IsMember() {
		losses = append(losses, "this process was no member of the last list that it knows: others may have gone on without it")
	}
	return losses
}

// awaitRecoverySaved answers once the recovery is on disk. The caller holds mu, which is released while it waits.
func (s *Server) awaitRecoverySaved(ctx context.Context, result CoreRecovery) (any, error) {
	saved := make(chan struct{})
	job := writeJob{records: encodeHardState(s.state.Node.HardState()), done: func() { close(saved) }}
	if s.diskBehind || !s.writer.enqueue(job) {
		return nil, apierror.New(apierror.Unavailable, "it isn't on disk yet")
	}
	s.mu.Unlock()
	defer s.mu.Lock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case <-saved:
	case <-ctx.Done():
		return nil, apierror.Wrap(apierror.Unavailable, ctx.Err(), "it isn't on disk yet")
	}
	result.Done = true
	return result, nil
}
