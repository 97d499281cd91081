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

// busyTickInterval is the time between ticks of the consensus node while something of it is in progress.
const busyTickInterval = 50 * time.Millisecond

// errStateReplaced ends subscriptions whose subscribers need a snapshot.
var errStateReplaced = errors.New("the set was taken over")

// stepNode gives the consensus node an event and carries out its effects. The caller holds mu.
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
	s.state.Publish(s.clock(), effects.Updated, caughtUp) // before it had caught up, changes may be from before it started
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
	if event.PeerLost || event.Peer != nil || node.Membership().Epoch != epoch { // a loss may be over before the next tick
		s.updateTolerance()
	}
	s.scheduleBusyTick()
}

// saveEffects has the disk writer save what the consensus node asks for, and sends afterwards what must not be sent before. The
// caller holds mu.
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
	if !s.writer.enqueue(job) { // the disk hangs: it stays consistent as of one index, and gets nothing until it can get everything
		s.diskBehind = true
		s.state.Node.SetMuted(true)
	}
}

// sendAfterSync is called by the disk writer's goroutine, without mu.
func (s *Server) sendAfterSync(messages map[string][]consensus.Message) {
	if len(messages) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sendMessages(messages)
}

// restartSubscriptions ends all subscriptions: what isn't in the state any more can't be sent as a change, so that subscribers must
// take a snapshot. The caller holds mu.
func (s *Server) restartSubscriptions() {
	s.incarnation += "+"
	s.subscriptions.closeAll(errStateReplaced)
}

// scheduleBusyTick steps the consensus node again soon while it is busy. The timer's function does nothing once ctx has ended. The
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

// sendMessages sends the consensus node's messages. What can't be sent is lost, as it may be on the network. The caller holds mu.
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
			peerStream.Send(update.Message{Consensus: raw})
		}
	}
}

// streamTo is the stream to another control process: the one that this process dialled or, until that is up, the one that the other
// dialled. It is nil without any. The caller holds mu.
func (s *Server) streamTo(ip string) *stream.Conn[update.Message] {
	if conn := s.peers[ip]; conn != nil && conn.stream != nil {
		return conn.stream
	}
	return s.subscriptions.peerStreams[ip]
}

// handleConsensusMessage gives the consensus node a message from another control process. The caller holds mu.
func (s *Server) handleConsensusMessage(from string, raw []byte) {
	var message consensus.Message
	if err := json.Unmarshal(raw, &message); err != nil {
		stream.MalformedFrames.Add(1)
		return
	}
	s.stepNode(consensus.Event{From: from, Message: &message})
}

// submit proposes an operation to the voters. It returns once the operation is applied and kept by a majority, or is refused for
// good, or the context ends: then its outcome is unknown, and decided soon.
func (s *Server) submit(ctx context.Context, op operation.Operation) error {
	return s.await(ctx, consensus.Event{Operation: &op})
}

// confirmLatest waits until this process has applied all that was decided when it was called, as a majority of the members confirms.
func (s *Server) confirmLatest(ctx context.Context) error {
	return s.await(ctx, consensus.Event{Read: true})
}

// await gives the consensus node an event that has an answer, and waits for it until callTimeout.
func (s *Server) await(ctx context.Context, event consensus.Event) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	tag, result, err := s.beginCall(event)
	if err != nil {
		return err
	}
	defer s.endCall(tag)
	select {
	case answer := <-result:
		return answer.Err()
	case <-ctx.Done():
		return apierror.Wrap(apierror.Unavailable, ctx.Err(), "not yet known to more than half of the core")
	case <-s.ctx.Done():
		return apierror.Wrap(apierror.Unavailable, s.ctx.Err(), "this process ends")
	}
}

func (s *Server) beginCall(event consensus.Event) (tag uint64, result <-chan consensus.Result, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	check := s.checkReady
	if event.Operation != nil && event.Operation.Kind == operation.ChangeMembers { // a process that leaves submits its own removal
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

// announceStatusChange is the one place where a change of this process's status is noted. The caller holds mu.
func (s *Server) announceStatusChange() {
	status := s.state.Status()
	if status == s.lastStatus {
		return
	}
	klog.InfoS("standing", "from", s.lastStatus, "to", status, "heard", len(s.state.Peers), "core", s.state.Node.String())
	s.lastStatus = status
	s.subscriptions.notify()
}

// checkReady returns an apierror.Unavailable error where this process may not take calls. The caller holds mu.
func (s *Server) checkReady() error {
	if s.stopping {
		return apierror.New(apierror.Unavailable, "this process ends")
	}
	return s.checkQuorum()
}

// checkQuorum returns an apierror.Unavailable error where this process doesn't reach a majority. The caller holds mu.
func (s *Server) checkQuorum() error {
	if status := s.state.Status(); status != registry.HasQuorum {
		return apierror.New(apierror.Unavailable, "this process is %v: %v, down %v", status, s.state.Node, s.state.Node.Unreachable())
	}
	return nil
}
