package server

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/stream"
	"portflow/internal/cluster/update"
	"portflow/internal/control/consensus"
	"portflow/internal/control/operation"
	"portflow/internal/control/registry"
)

// stepNode steps the agreement, and does what comes of it. The caller holds the lock.
func (s *Server) stepNode(event consensus.Event) {
	event.Now, event.Random = s.clock(), s.random.Float64()
	epoch, index, caughtUp := s.state.Node.Membership().Epoch, s.state.Node.Applied(), s.state.Node.CaughtUp()
	effects := s.state.Node.Step(event)
	if effects.HardState != nil && !s.diskBehind {
		synced := effects.SendAfterSync
		queued := s.writer.enqueue(writeJob{items: effects.SaveItems, removed: effects.DeleteKeys, records: encodeHardState(*effects.HardState), done: func() {
			if len(synced) == 0 {
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.sendMessages(synced)
		}})
		if !queued { // the disk hangs: what it has is of one number still, and nothing more goes to it until all does
			s.diskBehind = true
			s.state.Node.SetMuted(true)
		}
	}
	s.sendMessages(effects.Send)
	for _, answer := range effects.Answers {
		if waiter := s.waiters[answer.Tag]; waiter != nil {
			delete(s.waiters, answer.Tag)
			waiter <- answer.Result
		}
	}
	s.state.Publish(s.clock(), effects.Updated, caughtUp) // what comes before it is whole may be from before it started
	recovered := index > 0 && s.state.Node.Applied() >= index+consensus.RecoveryIndexJump
	if effects.Replaced || recovered { // what isn't there any more can't be told as a change: who follows takes a snapshot
		s.incarnation += "+"
		for sub := range s.subscribers {
			sub.stream.Close(errors.New("the set was taken over"))
		}
	}
	if list := s.state.Node.Membership(); list.Epoch != epoch {
		klog.InfoS("members", "epoch", list.Epoch, "of", len(list.Members), "down", s.state.Node.Unreachable(), "member", s.state.Node.IsMember())
	}
	if effects.Changed {
		s.notifySubscribers()
	}
	s.noteStatusChange()
	if event.PeerLost || event.Peer != nil || s.state.Node.Membership().Epoch != epoch { // a loss may be over before the next look
		s.updateTolerance()
	}
	if s.state.Node.Busy() && !s.tickScheduled {
		s.tickScheduled = true
		time.AfterFunc(busyTickInterval, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.tickScheduled = false; s.ctx.Err() == nil {
				s.stepNode(consensus.Event{Tick: true})
			}
		})
	}
}

const busyTickInterval = 50 * time.Millisecond // between ticks of the agreement while something of it is under way

// sendMessages sends messages of the agreement, on either line between two processes; what can't be sent is lost, as on its way. The
// caller holds the lock.
func (s *Server) sendMessages(messages map[string][]consensus.Message) {
	for ip, toPeer := range messages {
		for _, message := range toPeer {
			if ip == s.Settings.IP {
				s.stepNode(consensus.Event{From: ip, Message: &message})
				continue
			}
			peerStream := s.inbound[ip] // the line that it dialled, until this process's own is up
			if conn := s.peers[ip]; conn != nil && conn.stream != nil {
				peerStream = conn.stream
			}
			if peerStream == nil {
				continue
			}
			raw, err := json.Marshal(message)
			if err != nil {
				klog.ErrorS(err, "agreement")
				continue
			}
			peerStream.Send(update.Message{Consensus: raw})
		}
	}
}

// handleConsensusMessage takes a message of the agreement; the caller holds the lock.
func (s *Server) handleConsensusMessage(from string, raw []byte) {
	var message consensus.Message
	if err := json.Unmarshal(raw, &message); err != nil {
		stream.MalformedFrames.Add(1)
		return
	}
	s.stepNode(consensus.Event{From: from, Message: &message})
}

// submit has the core take an order. It returns once the order stands, kept by more than half, or is refused for good, or
// the context ends: then it may stand or not, and is decided or gone soon.
func (s *Server) submit(ctx context.Context, op operation.Operation) error {
	return s.await(ctx, consensus.Event{Operation: &op})
}

// confirmLatest waits until this process has all that was decided when the call came: it asks more than half of the members.
func (s *Server) confirmLatest(ctx context.Context) error {
	return s.await(ctx, consensus.Event{Read: true})
}

func (s *Server) await(ctx context.Context, event consensus.Event) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.mu.Lock()
	err := s.checkReady()
	if event.Operation != nil && event.Operation.Kind == operation.ChangeMembers { // also one that leaves asks for it
		err = s.checkQuorum()
	}
	if err != nil {
		s.mu.Unlock()
		return err
	}
	s.lastTag++
	event.Tag = s.lastTag
	done := make(chan consensus.Result, 1)
	s.waiters[event.Tag] = done
	s.stepNode(event)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.waiters, event.Tag)
	}()
	select {
	case result := <-done:
		return result.Err()
	case <-ctx.Done():
		return apierror.Wrap(apierror.Unavailable, ctx.Err(), "not yet known to more than half of the core")
	case <-s.ctx.Done():
		return apierror.Wrap(apierror.Unavailable, s.ctx.Err(), "this process ends")
	}
}

// noteStatusChange is the one place where this process's standing is noted; the caller holds the lock.
func (s *Server) noteStatusChange() {
	if status := s.state.Status(); status != s.lastStatus {
		klog.InfoS("standing", "from", s.lastStatus, "to", status, "heard", len(s.state.Peers), "core", s.state.Node.String())
		s.lastStatus = status
		s.notifySubscribers()
	}
}

// checkReady tells whether this process may take orders; the caller holds the lock.
func (s *Server) checkReady() error {
	if s.stopping {
		return apierror.New(apierror.Unavailable, "this process ends")
	}
	return s.checkQuorum()
}

func (s *Server) checkQuorum() error {
	if status := s.state.Status(); status != registry.HasQuorum {
		return apierror.New(apierror.Unavailable, "this process is %v: %v, down %v", status, s.state.Node, s.state.Node.Unreachable())
	}
	return nil
}
