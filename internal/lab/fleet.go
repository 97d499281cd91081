package lab

import (
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"portflow/internal/decision"
	"portflow/internal/dispatch"
	"portflow/internal/standin"
)

// Fleet is an experiment in virtual time on what routers ask for by themselves: the program's reducers without a
// command, a discovery that serves all of them in turn, and a platform that takes so many calls a second. A build is on
// trial from the second second on; a share of the routers is killed at once and starts again from nothing.
type Fleet struct {
	Routers, Hosts int
	Serves         float64 // seconds in which discovery takes one call of each router
	Calls          float64 // that the platform takes a second
	Need           int     // routers that must stand for a stage
	Killed         float64 // part of them
	Seed           uint64
}

// FleetResult counts over the whole fleet. Times are seconds, below 0 for never.
type FleetResult struct {
	Asked, Late, Refused  int     // calls to discovery, and those that it answered too late or turned away
	Listed, ListedAgain   float64 // until each router had its list: from the start, and from the kill
	Votes, Full, TakenOff int     // calls to the platform, those turned away, and those that took a vote back
	Stages                []float64
}

const (
	killAt      = 20 * 1e9
	startsAfter = int64(1e9)
	fleetEnds   = 90 * 1e9
	onTrial     = 2 * 1e9
	dwell       = int64(1.8e9)
	patience    = int64(2e9) // of a call to discovery
)

type fleet struct {
	Fleet
	timeline
	nodes  []*lone
	line   standin.Line // discovery
	bucket float64
	filled int64
	stands []int64 // until when each router's vote for the stage stands
	stage  int
	since  int64
	result FleetResult
}

// lone is a router of the fleet.
type lone struct {
	*fleet
	stepped
	rank   int
	listed bool
}

// EmulateFleet plays it.
func EmulateFleet(s Fleet) FleetResult {
	f := &fleet{Fleet: s, stands: make([]int64, s.Routers), stage: -1}
	f.line = standin.Line{Takes: min(int64(1e9), int64(s.Serves*1e9)/int64(s.Routers)), Longest: 3 * patience, Patience: patience}
	f.result.Listed, f.result.ListedAgain = -1, -1
	f.bucket = 2 * s.Calls
	f.nodes = make([]*lone, s.Routers)
	for rank := range s.Routers {
		f.begin(rank, s.Seed)
	}
	f.after(onTrial, func() { f.move(0) })
	f.after(killAt, func() {
		for rank := range int(s.Killed * float64(s.Routers)) {
			f.nodes[rank].gone = true
			f.after(startsAfter, func() { f.begin(rank, s.Seed+1) })
		}
	})
	f.run(fleetEnds)
	f.result.Asked, f.result.Late, f.result.Refused = f.line.Calls, f.line.Late, f.line.Refused
	return f.result
}

func (f *fleet) begin(rank int, seed uint64) {
	n := &lone{fleet: f, rank: rank}
	n.stepped.timeline = &f.timeline
	f.nodes[rank] = n
	n.router = dispatch.New(func() int64 { return f.now + 1 }, zerolog.Nop())
	set := Defaults()
	set.Routers, set.Hosts = f.Routers, f.Hosts
	known := set.settings(rank)
	known.Subscribe, known.AskEvery, known.OnVotes, known.BackVotes = true, 10e9, f.Need, f.Need
	n.router.Begin(dispatch.Start{Settings: known, Seed: seed*1e6 + uint64(rank), List: dispatch.List{Form: decision.Cached, Hosts: f.hosts(1)},
		News: dispatch.News{News: f.news()}}, dispatch.Out{Hosts: n, Platform: n, Peers: n, List: n})
	n.pump()
}

// hosts are those of a build.
func (f *fleet) hosts(build int) (all []dispatch.Host) {
	for i := range f.Hosts {
		name := strconv.Itoa(build) + "-" + strconv.Itoa(i)
		all = append(all, dispatch.Host{Name: name, Address: name, Health: decision.Ready, Build: build, Size: 1, Started: int64(build-1) * onTrial})
	}
	return all
}

func (f *fleet) news() decision.News {
	if f.stage < 0 {
		return decision.News{Build: 1, Standing: decision.Released, Cap: 1, Age: 60e9}
	}
	return decision.News{Build: 2, Stage: f.stage, Cap: 0.3, Age: f.now - f.since}
}

// move brings the build to a stage, and all routers hear of it.
func (f *fleet) move(stage int) {
	if f.stage, f.since = stage, f.now; stage > 0 {
		f.result.Stages = append(f.result.Stages, float64(f.now)/1e9)
	}
	clear(f.stands)
	for _, n := range f.nodes {
		n.post(3e8, dispatch.News{News: f.news()})
	}
}

// Watch is a call to discovery.
func (n *lone) Watch(bool) {
	ok, at := n.line.Call(n.now)
	if !ok {
		n.post(at-n.now, dispatch.List{Form: decision.CallFailed})
		return
	}
	n.post(at-n.now, dispatch.List{Form: decision.Changes, Hosts: n.hosts(1)})
	n.after(at-n.now, func() {
		n.listed = !n.gone
		for _, other := range n.nodes {
			if !other.listed {
				return
			}
		}
		if n.result.Listed < 0 {
			n.result.Listed = float64(n.now) / 1e9
		} else if n.now > killAt {
			n.result.ListedAgain = float64(n.now-killAt) / 1e9
		}
	})
}

// Vote is a call to the platform.
func (n *lone) Vote(v decision.Verdict, build, stage int) {
	n.result.Votes++
	if v == decision.NoVote {
		n.result.TakenOff++
	}
	n.bucket = min(2*n.Calls, n.bucket+n.Calls*float64(n.now-n.filled)/1e9)
	n.filled = n.now
	reply := decision.News{Reply: true, Ending: decision.CallsFull}
	if n.bucket >= 1 {
		n.bucket--
		if reply = n.news(); v == decision.NoVote {
			n.stands[n.rank] = 0
		} else if v == decision.On && stage == n.stage {
			n.stands[n.rank] = n.now + 4e9
		}
		reply.Reply = true
	} else {
		n.result.Full++
	}
	n.post(1e8, dispatch.News{News: reply})
	standing := 0
	for _, until := range n.stands {
		if until > n.now {
			standing++
		}
	}
	if n.stage >= 0 && standing >= n.Need && n.now-n.since > dwell {
		n.move(n.stage + 1)
	}
}

// Tell carries a message to a router that is there.
func (n *lone) Tell(peer int, message []byte) {
	n.nodes[peer].post(5e6, dispatch.Heard{Peer: n.rank, Message: message})
}

func (n *lone) Close(string)  {}
func (n *lone) Forget(string) {}

func (n *lone) HandOff(dispatch.Host, *dispatch.Request, time.Duration, func(dispatch.Outcome)) dispatch.HandOff {
	return nil
}
