package server

import (
	"context"
	"encoding/json"
	"fmt"

	"k8s.io/klog/v2"

	"portflow/internal/cluster/apierror"
	"portflow/internal/control/consensus"
)

// CoreRecovery is what a recovery would lose, and the words that confirm it; or that it is done.
type CoreRecovery struct {
	Done          bool     `json:"done"`
	Node          string   `json:"node"`
	ConfirmPhrase string   `json:"confirm"`
	Losses        []string `json:"losses"`
}

// handleCoreRecover makes this process the whole core, where more than half of the members never come back. Without the words
// that confirm it, it tells what may be lost, and the words.
func (s *Server) handleCoreRecover(ctx context.Context, _ string, body []byte) (any, error) {
	var request struct {
		Confirm string `json:"confirm"`
		Force   bool   `json:"force"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, apierror.Wrap(apierror.Malformed, err, "the recovery")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	node := s.state.Node
	list := node.Membership()
	result := CoreRecovery{Node: s.Settings.Name, ConfirmPhrase: fmt.Sprintf("epoch %d number %d", list.Epoch, node.Applied())}
	if request.Confirm != "" && request.Confirm == s.recoveryPhrase { // the same once more
		return s.recovered(ctx, result)
	}
	switch {
	case node.Applied() == 0:
		return nil, apierror.New(apierror.Invalid, "%s holds no state", s.Settings.Name)
	case node.HasQuorum():
		return nil, apierror.New(apierror.Invalid, "more than half of the members are heard: nothing is to be recovered; see pilot core remove")
	case s.diskBehind || s.stopping:
		return nil, apierror.New(apierror.Unavailable, "%s can't take it on: its disk hangs, or it ends", s.Settings.Name)
	}
	for ip, peer := range s.state.Peers {
		if peer.Status.Number > node.Applied() && !request.Force {
			return nil, apierror.New(apierror.Invalid, "%s has number %d, this process %d: recover there, or --force", ip, peer.Status.Number, node.Applied())
		}
	}
	result.Losses = append(result.Losses, fmt.Sprintf("what was confirmed after number %d and only silent members hold", node.Applied()))
	for _, x := range list.Members {
		if d := s.describe(x); !d.Heard {
			result.Losses = append(result.Losses, fmt.Sprintf("the vote and the disk of %s, %s, in %s, silent for %.0f s", x.Name, x.IP, x.Zone, d.SilentSeconds))
		}
	}
	if !node.IsMember() {
		result.Losses = append(result.Losses, "this process was no member of the last list that it knows: others may have gone on without it")
	}
	if request.Confirm == "" {
		return result, nil
	}
	if request.Confirm != result.ConfirmPhrase {
		return nil, apierror.New(apierror.Invalid, "confirm: %q, and it would be from %q", request.Confirm, result.ConfirmPhrase)
	}
	klog.InfoS("recovery", "from", result.ConfirmPhrase, "losses", result.Losses)
	s.stepNode(consensus.Event{Recover: true})
	s.recoveryPhrase = request.Confirm
	return s.recovered(ctx, result)
}

// recovered answers once the recovery is on disk; the caller holds the lock.
func (s *Server) recovered(ctx context.Context, out CoreRecovery) (any, error) {
	kept := make(chan bool)
	if s.diskBehind || !s.writer.enqueue(writeJob{records: encodeHardState(s.state.Node.HardState()), done: func() { close(kept) }}) {
		return nil, apierror.New(apierror.Unavailable, "it isn't on disk yet")
	}
	s.mu.Unlock()
	defer s.mu.Lock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	select {
	case <-kept:
	case <-ctx.Done():
		return nil, apierror.Wrap(apierror.Unavailable, ctx.Err(), "it isn't on disk yet")
	}
	out.Done = true
	return out, nil
}
