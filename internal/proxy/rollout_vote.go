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

// decisionLog logs what a decision engine notes: a vote that has changed, with its evidence.
type decisionLog struct{ service string }

func (l decisionLog) Write(line []byte) (int, error) {
	klog.InfoS("rules", "service", l.service, "note", strings.TrimSpace(string(line)))
	return len(line), nil
}

const (
	voterCount   = rollout.RequiredVotes
	voteLifetime = rollout.VoteLifetime
)

// evidenceInterval is how many of its engine's ticks a voter lets pass between two reports of its evidence to control.
const evidenceInterval = 20

// exposureUtilization is the fraction of the allowed exposure that a proxy uses.
const exposureUtilization = 0.8

// trialShare is the fraction of its requests that a proxy gives to a version on trial: less than the bound, as a request that is
// rejected does not reach the service and yet counts as received.
func trialShare(terms settings.Terms) float64 { return exposureUtilization * terms.ExposureShare }

// notifyRollout notifies the decision engine of the rollout's state.
func (s *service) notifyRollout(r decision.Rollout) {
	s.engineRollout.Store(&r)
	s.dispatcher.Post(dispatch.RolloutChanged{Rollout: r})
}

// Vote sends control this proxy's decision on a rollout.
func (s *service) Vote(v decision.Verdict, build, _ int) {
	vote := update.Vote{Service: s.name, Number: uint64(build), Verdict: uint8(v), ReceivedAt: s.proxy.clock()}
	if v != decision.NoVote { // which only withdraws the last one
		vote.Evidence = s.trialEvidence()
	}
	s.proxy.SendVote(vote)
	r := *s.engineRollout.Load()
	r.VoteReply = true
	go s.dispatcher.Post(dispatch.RolloutChanged{Rollout: r}) // not from here: the engine is in the middle of a step
}

// trialEvidence is what the decision engine decides by; only an effect of the engine may call it.
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

// SendGossip gossips while a version is on trial, as there is nothing to share otherwise. Voters also report their evidence to control.
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

// SendVote sends control a vote of a decision engine.
func (p *Proxy) SendVote(vote update.Vote) {
	go func() { // ends once sent: the engine is in the middle of a step, and whoever posts to it may hold the lock
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.control != nil && decision.Verdict(vote.Verdict) <= decision.RollBack {
			p.control.stream.Send(update.Message{Votes: []update.Vote{vote}})
		}
	}()
}

// receiveGossip gives a decision engine what another proxy's engine gossiped; the topic is the service's name.
func (p *Proxy) receiveGossip(topic string, message []byte) {
	snapshot := p.snapshot.Load()
	if s := snapshot.services[topic]; s != nil && snapshot.count > 1 {
		s.dispatcher.Post(dispatch.GossipReceived{Peer: (snapshot.rank + 1) % snapshot.count, Message: message})
	}
}
