package harbourmaster

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
	"k8s.io/klog/v2"

	"portflow/internal/harbour/faults"
	"portflow/internal/harbour/muster"
	"portflow/internal/harbour/orders"
	"portflow/internal/harbour/quorum"
	"portflow/internal/harbour/rpc"
)

// CoreSurvey is the core as one control process sees it. Times are seconds.
type CoreSurvey struct {
	Node       string       `json:"node"`
	Standing   string       `json:"standing"`
	Current    bool         `json:"current"` // more than half of the members have confirmed that nothing newer was decided
	Epoch      uint64       `json:"epoch"`
	Number     uint64       `json:"number"` // of the last change that is applied here
	Members    []CoreMember `json:"members"`
	Learners   []CoreMember `json:"learners"` // heard, and not members
	Held       []CoreMember `json:"held"`     // let go by an operator: not voted in again by themselves with these disks
	Bears      int          `json:"bears"`    // members more that may be lost; below 0 no order can be taken
	BearsZones []string     `json:"bears_zones"`
	Margin     CoreMargin   `json:"margin"`
}

// CoreMember is a control process.
type CoreMember struct {
	IP      string  `json:"ip"`
	Name    string  `json:"name"`
	Zone    string  `json:"zone"`
	Disk    string  `json:"disk"` // its ID
	Heard   bool    `json:"heard"`
	Silent  float64 `json:"silent"` // for how long it hasn't been heard
	Whole   bool    `json:"whole"`
	Leaving bool    `json:"leaving"`
	Epoch   uint64  `json:"epoch"`
	Number  uint64  `json:"number"`
}

// CoreMargin is how long the core has borne less than before a loss, and did the last time; as this process has seen it
// since it started.
type CoreMargin struct {
	Level int      `json:"level"` // members that could be lost before
	Lost  []string `json:"lost"`  // who isn't heard since
	Since float64  `json:"since"` // how long ago the loss came, 0 for none
	Last  float64  `json:"last"`  // how long the last one took until the margin was back
}

// CoreChange asks for a change of the members.
type CoreChange struct {
	Do    string `json:"do"`   // remove, add or replace
	Who   string `json:"who"`  // an IP number or a name
	With  string `json:"with"` // who comes in its place
	Dry   bool   `json:"dry"`
	Force bool   `json:"force"`
}

// CoreOutcome tells what the core bears before and after a change.
type CoreOutcome struct {
	Done    bool        `json:"done"` // it stands; else it was only weighed
	Epoch   uint64      `json:"epoch"`
	Members []string    `json:"members"` // names, afterwards
	Bears   [2]int      `json:"bears"`   // before and after
	Zones   [2][]string `json:"zones"`   // each of which alone may be lost, before and after
}

// CoreRecovery is what a recovery would lose, and the words that confirm it; or that it is done.
type CoreRecovery struct {
	Done    bool     `json:"done"`
	Node    string   `json:"node"`
	Confirm string   `json:"confirm"`
	Losses  []string `json:"losses"`
}

// coreCalls are the operators' calls that are about the core itself.
func (m *Master) coreCalls() []rpc.Call {
	return []rpc.Call{
		{Name: "core.read", Most: small, Do: m.core},
		{Name: "core.change", Most: small, Do: m.changeCore},
		{Name: "core.recover", Most: small, Do: m.recoverCore},
	}
}

// down are those of a list that can't be counted on: not heard, heard with another disk, or leaving; the caller holds the
// lock.
func (m *Master) down(l muster.List) (ips []string) {
	for _, x := range l.Members {
		if !m.counts(x) {
			ips = append(ips, x.IP)
		}
	}
	return ips
}

func (m *Master) counts(x muster.Member) bool {
	if x.IP == m.Boot.IP {
		return x.ID == m.state.Self.ID && !m.leaving
	}
	p, e := m.state.Peers[x.IP], m.ends[x.IP]
	return p != nil && e != nil && e.member.ID == x.ID && !p.Status.Leaving
}

// keepMargin follows how many losses the core bears; the caller holds the lock.
func (m *Master) keepMargin() {
	list := m.state.Node.List()
	switch began, over := m.margin.See(m.clock(), list, m.down(list)); {
	case began:
		klog.InfoS("margin lost", "bears", m.margin.Now, "before", m.margin.Level, "lost", m.margin.Lost, "epoch", list.Epoch)
	case over:
		klog.InfoS("margin restored", "after_ms", m.margin.Last/1e6, "bears", m.margin.Now, "epoch", list.Epoch, "of", len(list.Members))
	}
}

// learners are the control processes that are heard and aren't members; the caller holds the lock.
func (m *Master) learners() (all []muster.Member) {
	list := m.state.Node.List()
	for ip := range m.state.Peers {
		if e := m.ends[ip]; e != nil && !list.Has(ip, e.member.ID) {
			all = append(all, e.member)
		}
	}
	if self := m.self(); !m.state.Node.Member() {
		all = append(all, self)
	}
	slices.SortFunc(all, func(a, b muster.Member) int { return strings.Compare(a.IP, b.IP) })
	return all
}

func (m *Master) self() muster.Member {
	return muster.Member{IP: m.Boot.IP, ID: m.state.Self.ID, Name: m.Boot.Name, Zone: m.Boot.Zone}
}

// describe tells how a process stands; the caller holds the lock.
func (m *Master) describe(x muster.Member) CoreMember {
	c := CoreMember{IP: x.IP, Name: x.Name, Zone: x.Zone, Disk: x.ID}
	if x.IP == m.Boot.IP && x.ID == m.state.Self.ID {
		n := m.state.Node
		c.Heard, c.Whole, c.Leaving, c.Epoch, c.Number = true, n.Whole(), m.leaving, n.List().Epoch, n.Applied()
	} else if p, e := m.state.Peers[x.IP], m.ends[x.IP]; p != nil && e != nil && e.member.ID == x.ID {
		c.Heard, c.Whole, c.Leaving, c.Epoch, c.Number = true, p.Status.Whole, p.Status.Leaving, p.Status.Epoch, p.Status.Number
	} else {
		c.Silent = float64(m.state.Node.Silent(m.clock())[x.IP]) / 1e9
	}
	return c
}

// core tells of the core, in any standing.
func (m *Master) core(ctx context.Context, _ string, _ []byte) (any, error) {
	err := m.confirm(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.state.Node.List()
	all := func(of []muster.Member) []CoreMember {
		return lo.Map(of, func(x muster.Member, _ int) CoreMember { return m.describe(x) })
	}
	s := CoreSurvey{Node: m.Boot.Name, Standing: m.state.Standing().String(), Current: err == nil, Epoch: list.Epoch, Number: m.state.Node.Applied(),
		Members: all(list.Members), Learners: all(m.learners()), Held: all(list.Held),
		Margin: CoreMargin{Level: m.margin.Level, Lost: m.margin.Lost, Last: float64(m.margin.Last) / 1e9}}
	s.Bears, s.BearsZones = list.Bears(m.down(list))
	if m.margin.Since != 0 {
		s.Margin.Since = float64(m.clock()-m.margin.Since) / 1e9
	}
	return s, nil
}

// named finds a process by its IP number or its name; one that is given an address may have the port left on.
func named(all []muster.Member, who string) (muster.Member, bool) {
	return lo.Find(all, func(x muster.Member) bool { return x.IP == who || x.Name == who })
}

// weigh makes an order of a change of members, and tells what the core bears before and after it. Nothing is ordered where
// it stands already. The caller holds the lock.
func (m *Master) weigh(c CoreChange) (o orders.Order, out CoreOutcome, err error) {
	list := m.state.Node.List()
	old, member := named(list.Members, c.Who)
	learners := m.learners()
	o = orders.Order{Kind: orders.Join, Number: list.Epoch}
	enters := func(who string) error {
		x, ok := named(learners, who)
		if !ok {
			return faults.New(faults.Missing, "%s is not heard: start it, with a seed that is up", who)
		}
		if d := m.describe(x); !d.Whole {
			return faults.New(faults.Unready, "%s doesn't hold the whole state yet: number %d of %d", who, d.Number, m.state.Node.Applied())
		}
		o.In = append(o.In, x)
		return nil
	}
	switch c.Do {
	case "remove":
		x, learner := named(learners, c.Who)
		_, held := named(list.Held, c.Who)
		switch {
		case member:
			o.Out, o.Hold = []string{old.IP}, []muster.Member{old}
		case learner:
			o.Hold = []muster.Member{x}
		case !held:
			return o, out, faults.New(faults.Missing, "who: no member or learner %q", c.Who)
		}
	case "add":
		if !member || !m.counts(old) {
			if err := enters(c.Who); err != nil {
				return o, out, err
			}
		}
	case "replace":
		_, held := named(list.Held, c.Who)
		if !member && !held {
			return o, out, faults.New(faults.Missing, "who: no member %q", c.Who)
		}
		if x, there := named(list.Members, c.With); !there || !m.counts(x) {
			if err := enters(c.With); err != nil {
				return o, out, err
			}
		}
		if member {
			o.Hold = []muster.Member{old}
			if !slices.ContainsFunc(o.In, func(x muster.Member) bool { return x.IP == old.IP }) {
				o.Out = []string{old.IP}
			}
		}
	default:
		return o, out, faults.New(faults.Invalid, "do: %q is not remove, add or replace", c.Do)
	}
	next := list.Join(o.In, o.Out)
	if next.Epoch == list.Epoch && len(list.Members) == len(o.Out) {
		return o, out, faults.New(faults.Invalid, "the last member can't go")
	}
	out = CoreOutcome{Epoch: list.Epoch, Members: lo.Map(next.Members, func(x muster.Member, _ int) string { return x.Name })}
	out.Bears[0], out.Zones[0] = list.Bears(m.down(list))
	out.Bears[1], out.Zones[1] = next.Bears(m.down(next))
	return o, out, nil
}

// changeCore has members go and come by an order, or tells what that would do.
func (m *Master) changeCore(ctx context.Context, _ string, body []byte) (any, error) {
	var c CoreChange
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, faults.Wrap(faults.Malformed, err, "the change of members")
	}
	if err := m.confirm(ctx); err != nil {
		return nil, err
	}
	m.mu.Lock()
	o, out, err := m.weigh(c)
	m.mu.Unlock()
	switch {
	case err != nil:
		return nil, err
	case c.Dry:
		return out, nil
	case out.Bears[1] < 0:
		return nil, faults.New(faults.Invalid, "of the members that this leaves more than half aren't heard, so it can't be taken over; bring them back, or see pilot core recover")
	case out.Bears[1] < 1 && out.Bears[1] < out.Bears[0] && !c.Force:
		return nil, faults.New(faults.Invalid, "the core would bear no loss afterwards, and bears %d now; --force does it all the same", out.Bears[0])
	}
	if len(o.In)+len(o.Out)+len(o.Hold) > 0 {
		if err := m.submit(ctx, o); err != nil {
			return nil, err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	out.Done, out.Epoch = true, m.state.Node.List().Epoch
	return out, nil
}

// recoverCore makes this process the whole core, where more than half of the members never come back. Without the words
// that confirm it, it tells what may be lost, and the words.
func (m *Master) recoverCore(ctx context.Context, _ string, body []byte) (any, error) {
	var c struct {
		Confirm string `json:"confirm"`
		Force   bool   `json:"force"`
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, faults.Wrap(faults.Malformed, err, "the recovery")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	node := m.state.Node
	list := node.List()
	out := CoreRecovery{Node: m.Boot.Name, Confirm: fmt.Sprintf("epoch %d number %d", list.Epoch, node.Applied())}
	if c.Confirm != "" && c.Confirm == m.recovery { // the same once more
		return m.recovered(ctx, out)
	}
	switch {
	case node.Applied() == 0:
		return nil, faults.New(faults.Invalid, "%s holds no state", m.Boot.Name)
	case node.Hears():
		return nil, faults.New(faults.Invalid, "more than half of the members are heard: nothing is to be recovered; see pilot core remove")
	case m.dirty || m.leaving:
		return nil, faults.New(faults.Unready, "%s can't take it on: its disk hangs, or it ends", m.Boot.Name)
	}
	for ip, p := range m.state.Peers {
		if p.Status.Number > node.Applied() && !c.Force {
			return nil, faults.New(faults.Invalid, "%s has number %d, this process %d: recover there, or --force", ip, p.Status.Number, node.Applied())
		}
	}
	out.Losses = append(out.Losses, fmt.Sprintf("what was confirmed after number %d and only silent members hold", node.Applied()))
	for _, x := range list.Members {
		if d := m.describe(x); !d.Heard {
			out.Losses = append(out.Losses, fmt.Sprintf("the vote and the disk of %s, %s, in %s, silent for %.0f s", x.Name, x.IP, x.Zone, d.Silent))
		}
	}
	if !node.Member() {
		out.Losses = append(out.Losses, "this process was no member of the last list that it knows: others may have gone on without it")
	}
	if c.Confirm == "" {
		return out, nil
	}
	if c.Confirm != out.Confirm {
		return nil, faults.New(faults.Invalid, "confirm: %q, and it would be from %q", c.Confirm, out.Confirm)
	}
	klog.InfoS("recovery", "from", out.Confirm, "losses", out.Losses)
	m.step(quorum.Event{Recover: true})
	m.recovery = c.Confirm
	return m.recovered(ctx, out)
}

// recovered answers once the recovery is on disk; the caller holds the lock.
func (m *Master) recovered(ctx context.Context, out CoreRecovery) (any, error) {
	kept := make(chan bool)
	if m.dirty || !m.keeper.keep(job{cells: record(m.state.Node.Disk()), done: func() { close(kept) }}) {
		return nil, faults.New(faults.Unready, "it isn't on disk yet")
	}
	m.mu.Unlock()
	defer m.mu.Lock()
	ctx, cancel := context.WithTimeout(ctx, answerIn)
	defer cancel()
	select {
	case <-kept:
	case <-ctx.Done():
		return nil, faults.Wrap(faults.Unready, ctx.Err(), "it isn't on disk yet")
	}
	out.Done = true
	return out, nil
}

const (
	leaveIn    = 4 * time.Second // at most, and half of the grace
	leaveAgain = 50 * time.Millisecond
)

// Leave ends this process's part in the core, on SIGTERM: it takes no more calls, brings those that are under way to their
// end, and is voted out where the core bears more without it than with it counted and gone. It returns within the smaller of
// half of the grace and leaveIn.
func (m *Master) Leave() {
	within := leaveIn
	if half := time.Duration(m.Boot.Bounds.Grace) / 2; half > 0 {
		within = min(within, half)
	}
	ctx, cancel := context.WithTimeout(m.ctx, within)
	defer cancel()
	began := time.Now()
	m.mu.Lock()
	m.leaving = true
	m.wake()
	m.mu.Unlock()
	pause := func() bool {
		select {
		case <-time.After(leaveAgain):
			return true
		case <-ctx.Done():
			return false
		}
	}
	for m.underWay() && pause() {
	}
	asked := 0
	for {
		o, worth := m.worth()
		if !worth {
			break
		}
		if asked++; m.submit(ctx, o) != nil && !pause() {
			break
		}
	}
	for !m.known() && pause() { // that it is out
	}
	m.mu.Lock()
	list := m.state.Node.List()
	klog.InfoS("leaves", "counted", m.state.Node.Member(), "epoch", list.Epoch, "of", len(list.Members), "asked", asked, "unanswered", len(m.waits),
		"took_ms", time.Since(began).Milliseconds())
	m.mu.Unlock()
	m.Log()
}

func (m *Master) underWay() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.waits) > 0
}

// worth is the order that votes this process out, and whether the core then bears more than with it counted and gone, and
// at least one loss. So an even number becomes an odd one, and an odd one stays: then a vote more gains nothing, and where
// all are told to end, more than one or two never go.
func (m *Master) worth() (orders.Order, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := m.state.Node.List()
	if !m.state.Node.Member() || m.inTouch() != nil {
		return orders.Order{}, false
	}
	next := list.Join(nil, []string{m.Boot.IP})
	with, _ := list.Bears(m.down(list))
	without, _ := next.Bears(m.down(next))
	return orders.Order{Kind: orders.Join, Out: []string{m.Boot.IP}, Number: list.Epoch}, without >= 1 && without > with
}

// known tells whether more than half of the members go by this process's list; or it is a member still.
func (m *Master) known() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	list, yes := m.state.Node.List(), map[string]string{}
	for ip, p := range m.state.Peers {
		if e := m.ends[ip]; e != nil && p.Status.Epoch >= list.Epoch {
			yes[ip] = e.member.ID
		}
	}
	return m.state.Node.Member() || list.Quorum(yes)
}
