package proxy

import (
	"strings"

	"k8s.io/klog/v2"

	"portflow/internal/cluster/rollout"
	"portflow/internal/cluster/settings"
	"portflow/internal/cluster/update"
	"portflow/internal/decision"
	"portflow/internal/dispatch"
)

// decisionLog is an io.Writer that logs the messages of a decision engine. They report changed votes with their evidence.
type decisionLog struct{ service string }

func (l decisionLog) Write(line []byte) (int, error) {
	klog.InfoS("rules", "service", l.service, "note", strings.TrimSpace(string(line)))
	return len(line), nil
}

const (
	voterCount   = rollout.RequiredVotes
	voteLifetime = rollout.VoteLifetime
)

// evidenceInterval is the number of engine ticks between two reports of a voter's evidence to control.
const evidenceInterval = 20

// exposureUtilization is the fraction of the allowed exposure of a trial that a proxy uses.
const exposureUtilization = 0.8

// trialShare returns the fraction of its requests that a proxy may send to a version on trial. It is below the allowed exposure because
// that fraction also counts rejected requests, which don't reach the service.
func trialShare(terms settings.Terms) float64 { return exposureUtilization * terms.ExposureShare }

// notifyRollout notifies the decision engine of the state of the rollout.
func (s *service) notifyRollout(r decision.Rollout) {
	s.engineRollout.Store(&r)
	s.dispatcher.Post(dispatch.RolloutChanged{Rollout: r})
}

// Vote implements dispatch.RolloutPlatform. It sends control this proxy's vote on a rollout, with the evidence.
func (s *service) Vote(v decision.Verdict, build, _ int) {
	vote := update.Vote{Service: s.name, Number: uint64(build), Verdict: uint8(v), ReceivedAt: s.proxy.clock()}
	if v != decision.NoVote { // NoVote only withdraws the last vote
		vote.Evidence = s.trialEvidence()
	}
	s.proxy.SendVote(vote)
	r := *s.engineRollout.Load()
	r.VoteReply = true
	go s.dispatcher.Post(dispatch.RolloutChanged{Rollout: r}) // ends once posted: Post may block, and the caller is the engine's goroutine
}

// trialEvidence returns the statistics by which the decision engine evaluates a trial. It must be called only from an effect of the engine.
func (s *service) trialEvidence() *update.Evidence {
	statistics := s.dispatcher.TrialStatistics()
	return &update.Evidence{
		Outcomes:  statistics.Outcomes,
		Excess:    statistics.Excess,
		Error:     statistics.StandardError,
		Threshold: statistics.Threshold,
		Allowance: statistics.RemainingBurst,
	}
}

// SendGossip implements dispatch.Peers. It gossips only while a version is on trial, as there is nothing to share otherwise. Voters also
// report their evidence to control.
func (s *service) SendGossip(_ int, message []byte) {
	r := s.engineRollout.Load()
	if r.State != decision.OnTrial {
		return
	}
	s.proxy.gossiper.Send(s.name, message)
	s.trialTicks++
	if s.trialTicks%evidenceInterval == 0 && s.proxy.snapshot.Load().rank <= voterCount {
		s.proxy.SendVote(update.Vote{
			Service:    s.name,
			Number:     uint64(r.Build),
			ReceivedAt: s.proxy.clock(),
			Evidence:   s.trialEvidence(),
			ReportOnly: true,
		})
	}
}

// SendVote sends control a vote of a decision engine. It does not block. The vote is dropped if there is no link to control.
func (p *Proxy) SendVote(vote update.Vote) {
	go func() { // ends once sent; the engine's goroutine must not lock mu, as a goroutine that holds it may be waiting in Post
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.control != nil && decision.Verdict(vote.Verdict) <= decision.RollBack {
			p.control.stream.Send(update.Message{Votes: []update.Vote{vote}})
		}
	}()
}

// receiveGossip passes a gossip message of another proxy to the decision engine of a service. The topic is the service's name.
func (p *Proxy) receiveGossip(topic string, message []byte) {
	snapshot := p.snapshot.Load()
	if s := snapshot.services[topic]; s != nil && snapshot.count > 1 {
		s.dispatcher.Post(dispatch.GossipReceived{Peer: (snapshot.rank + 1) % snapshot.count, Message: message})
	}
}
