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

// busyTickInterval is the interval between ticks of the consensus node while it is busy.
const busyTickInterval = 50 * time.Millisecond

// errStateReplaced ends subscriptions whose subscribers need a snapshot.
var errStateReplaced = errors.New("state was replaced; a snapshot is required")

// stepNode passes an event to the consensus node and performs the resulting effects. The caller holds mu.
func (s *Server) stepNode(event consensus.Event) {
	event.Now, event.Random = s.clock(), s.random.Float64()
	node := s.state.Node
	epoch, applied, caughtUp := node.Membership().Epoch, node.Applied(), node.CaughtUp()

	effects := node.Step(event)
	s.saveEffects(effects)
	s.sendMessages(effects.Send)
	for _, answer := range effects.Answers {
		s.calls.resolve(answer)
	}
	s.state.Publish(s.clock(), effects.Updated, caughtUp) // changes applied during catch-up may predate the start of this process
	recovered := applied > 0 && node.Applied() >= applied+consensus.RecoveryIndexJump
	if effects.Replaced || recovered {
		s.restartSubscriptions()
	}
	if list := node.Membership(); list.Epoch != epoch {
		klog.InfoS("members", "epoch", list.Epoch, "of", len(list.Members), "down", node.Unreachable(), "member", node.IsMember())
	}
	if effects.Changed {
		s.subscriptions.notify()
	}
	s.announceStatusChange()
	if event.PeerLost || event.Peer != nil || node.Membership().Epoch != epoch { // the next tick may miss a short loss
		s.updateTolerance()
	}
	s.scheduleBusyTick()
}

// saveEffects queues the writes that the consensus node requests. The messages in SendAfterSync are sent only after these writes have
// been fsynced. The caller holds mu.
func (s *Server) saveEffects(effects consensus.Effects) {
	if effects.HardState == nil || s.diskBehind {
		return
	}
	synced := effects.SendAfterSync
	job := writeJob{
		items:   effects.SaveItems,
		removed: effects.DeleteKeys,
		records: encodeHardState(*effects.HardState),
		done:    func() { s.sendAfterSync(synced) },
	}
	// If the disk is stalled, all writes are skipped until rewriteDisk has queued the complete state. The disk thus stays consistent
	// as of one index.
	if !s.writer.enqueue(job) {
		s.diskBehind = true
		s.state.Node.SetMuted(true)
	}
}

// sendAfterSync sends messages that depend on a completed fsync. The disk writer's goroutine calls it without mu.
func (s *Server) sendAfterSync(messages map[string][]consensus.Message) {
	if len(messages) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendMessages(messages)
}

// restartSubscriptions ends all subscriptions and changes the incarnation, so that every subscriber receives a snapshot: entries that
// disappeared when the state was replaced can't be sent as updates. The caller holds mu.
func (s *Server) restartSubscriptions() {
	s.incarnation += "+"
	s.subscriptions.closeAll(errStateReplaced)
}

// scheduleBusyTick schedules another tick of the consensus node if it is busy. The timer function does nothing once ctx has ended. The
// caller holds mu.
func (s *Server) scheduleBusyTick() {
	if !s.state.Node.Busy() || s.tickScheduled {
		return
	}
	s.tickScheduled = true
	time.AfterFunc(busyTickInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.tickScheduled = false
		if s.ctx.Err() == nil {
			s.stepNode(consensus.Event{Tick: true})
		}
	})
}

// sendMessages sends messages of the consensus node. Messages to a process without a stream are dropped: Paxos tolerates lost messages.
// The caller holds mu.
func (s *Server) sendMessages(messages map[string][]consensus.Message) {
	for ip, toPeer := range messages {
		for _, message := range toPeer {
			if ip == s.Settings.IP {
				s.stepNode(consensus.Event{From: ip, Message: &message})
				continue
			}
			peerStream := s.streamTo(ip)
			if peerStream == nil {
				continue
			}
			raw, err := json.Marshal(message)
			if err != nil {
				klog.ErrorS(err, "consensus message", "to", ip)
				continue
			}
			s.consensusMessages++
			peerStream.Send(update.Message{Consensus: raw})
		}
	}
}

// streamTo returns the stream to another control process: the one that this process dialled or, until that is established, the one
// that the other process dialled; nil if there is neither. The caller holds mu.
func (s *Server) streamTo(ip string) *stream.Conn[update.Message] {
	if conn := s.peers[ip]; conn != nil && conn.stream != nil {
		return conn.stream
	}
	return s.subscriptions.peerStreams[ip]
}

// handleConsensusMessage steps the consensus node with a message from another control process. The caller holds mu.
func (s *Server) handleConsensusMessage(from string, raw []byte) {
	var message consensus.Message
	if err := json.Unmarshal(raw, &message); err != nil {
		stream.MalformedFrames.Add(1)
		return
	}
	s.stepNode(consensus.Event{From: from, Message: &message})
}

// submit proposes an operation to the voting members. It returns nil once the operation has been applied and stored by a majority, and
// an error once it is rejected for good. If ctx ends or callTimeout expires first, the outcome is unknown at that time; it is decided
// soon afterwards.
func (s *Server) submit(ctx context.Context, op operation.Operation) error {
	return s.await(ctx, consensus.Event{Operation: &op})
}

// confirmLatest performs a quorum read: it returns nil once this process has applied everything that had been committed when the call
// began.
func (s *Server) confirmLatest(ctx context.Context) error {
	return s.await(ctx, consensus.Event{Read: true})
}

// await passes an event that has an answer to the consensus node and waits for the answer, at most for callTimeout.
func (s *Server) await(ctx context.Context, event consensus.Event) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	tag, result, err := s.beginCall(event)
	if err != nil {
		return err
	}
	defer s.endCall(tag)
	return s.awaitResult(ctx, result)
}

// awaitResult waits for the result of a call that has begun.
func (s *Server) awaitResult(ctx context.Context, result <-chan consensus.Result) error {
	select {
	case answer := <-result:
		return answer.Err()
	case <-ctx.Done():
		return apierror.Wrap(apierror.Unavailable, ctx.Err(), "not confirmed by a majority of the voting members in time")
	case <-s.ctx.Done():
		return apierror.Wrap(apierror.Unavailable, s.ctx.Err(), "this process is shutting down")
	}
}

func (s *Server) beginCall(event consensus.Event) (tag uint64, result <-chan consensus.Result, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.beginCallLocked(event)
}

// beginCallLocked is beginCall for a caller that holds mu.
func (s *Server) beginCallLocked(event consensus.Event) (tag uint64, result <-chan consensus.Result, err error) {
	check := s.checkReady
	if event.Operation != nil && event.Operation.Kind == operation.ChangeMembers { // a process that is shutting down may submit its own removal
		check = s.checkQuorum
	}
	if err := check(); err != nil {
		return 0, nil, err
	}
	tag, result = s.calls.add()
	event.Tag = tag
	s.stepNode(event)
	return tag, result, nil
}

func (s *Server) endCall(tag uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.remove(tag)
}

// announceStatusChange logs a change of this process's status and notifies subscribers. The caller holds mu.
func (s *Server) announceStatusChange() {
	status := s.state.Status()
	if status == s.lastStatus {
		return
	}
	klog.InfoS("standing", "from", s.lastStatus, "to", status, "heard", len(s.state.Peers), "core", s.state.Node.String())
	s.lastStatus = status
	s.subscriptions.notify()
}

// checkReady returns an apierror.Unavailable error if this process must not serve calls. The caller holds mu.
func (s *Server) checkReady() error {
	if s.stopping {
		return apierror.New(apierror.Unavailable, "this process is shutting down")
	}
	return s.checkQuorum()
}

// checkQuorum returns an apierror.Unavailable error if this process has not caught up or has no quorum. The caller holds mu.
func (s *Server) checkQuorum() error {
	if status := s.state.Status(); status != registry.HasQuorum {
		return apierror.New(apierror.Unavailable, "this process is %v: %v, unreachable members %v", status, s.state.Node, s.state.Node.Unreachable())
	}
	return nil
}
