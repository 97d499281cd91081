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

type pilotageRollout = rollout.Rollout

// decisionLog takes what the rules note: a vote that has changed, with what it goes by.
type decisionLog struct{ service string }

func (l decisionLog) Write(line []byte) (int, error) {
	klog.InfoS("rules", "service", l.service, "note", strings.TrimSpace(string(line)))
	return len(line), nil
}

const (
	voterCount   = rollout.RequiredVotes
	voteLifetime = rollout.VoteLifetime
)

// statisticsEvery is how many ticks of the rules lie between two times that a voter tells control its figures.
const statisticsEvery = 20

// trialShare is the part of its requests that a router gives to a version on trial: under the bound, as what is turned away
// does not reach the service and yet was taken.
func trialShare(b settings.Terms) float64 { return 0.8 * b.ExposureShare }

// notifyRollout tells the rules how the rollout stands.
func (s *service) notifyRollout(n decision.Rollout) {
	s.rolloutNews.Store(&n)
	s.dispatcher.Post(dispatch.RolloutChanged{Rollout: n})
}

// Vote tells control what this router wants of a rollout.
func (s *service) Vote(v decision.Verdict, build, stage int) {
	p := update.Vote{Service: s.name, Number: uint64(build), Verdict: uint8(v), ReceivedAt: s.proxy.clock()}
	if v != decision.NoVote { // which only takes the last one back
		p.Evidence = s.trialStatistics()
	}
	s.proxy.SendVote(p)
	n := *s.rolloutNews.Load()
	n.VoteReply = true
	go s.dispatcher.Post(dispatch.RolloutChanged{Rollout: n}) // the rules are in the middle of a step
}

// trialStatistics is what the rules go by; it is for the midst of an effect.
func (s *service) trialStatistics() *update.Evidence {
	j := s.dispatcher.TrialStatistics()
	return &update.Evidence{Outcomes: j.Outcomes, Excess: j.Excess, Error: j.StandardError, Threshold: j.Threshold, Allowance: j.RemainingBurst}
}

// SendGossip gossips: while a version is on trial, as there is nothing to be said else. Those who vote tell control what they see.
func (s *service) SendGossip(_ int, message []byte) {
	n := s.rolloutNews.Load()
	if n.State != decision.OnTrial {
		return
	}
	s.proxy.gossiper.Send(s.name, message)
	if s.trialTicks++; s.trialTicks%statisticsEvery == 0 && s.proxy.snapshot.Load().rank <= voterCount {
		s.proxy.SendVote(update.Vote{Service: s.name, Number: uint64(n.Build), ReceivedAt: s.proxy.clock(), Evidence: s.trialStatistics(), ReportOnly: true})
	}
}

// SendVote tells control a vote, as the rules do.
func (p *Proxy) SendVote(poll update.Vote) {
	go func() { // the rules are in the middle of a step, and the lock may be held by who posts to them
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.control != nil && decision.Verdict(poll.Verdict) <= decision.RollBack {
			p.control.stream.Send(update.Message{Votes: []update.Vote{poll}})
		}
	}()
}

// receiveGossip hears what another router's rules say.
func (p *Proxy) receiveGossip(topic string, raw []byte) {
	v := p.snapshot.Load()
	if s := v.services[topic]; s != nil && v.count > 1 {
		s.dispatcher.Post(dispatch.GossipReceived{Peer: (v.rank + 1) % v.count, Message: raw})
	}
}
