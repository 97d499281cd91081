// Package settings reads the settings' JSON, which the simulator and a real router's configuration share.
package settings

import (
	"encoding/json"
	"fmt"

	"portflow/rules"
)

// Settings are those of the rules and what else a router on sockets needs of the JSON.
type Settings struct {
	rules.Settings
	Bands, Carriers   []string // their names, by position
	Zones, Kinds      []string
	ReportFields      []string // the values' names in a load report that comes in answers; none where it does not
	ConnectIn, IdleIn int64    // how long a connection may take to come up, and may then stand idle
}

// text is the part of the JSON that is read.
type text struct {
	Azs     []string
	Kinds   []string
	Classes []struct {
		Name                              string
		AimNs, HardLimitNs, DedupWindowNs int64
		Effect, Group                     string
		Worth, LateWorth                  float64
	}
	Contract struct {
		ColdFrom, FallMultiple float64
		ColdNs, AskEveryNs     int64
	}
	Discovery  string
	FamilyInfo struct {
		BackVotes, ToAdvance, ToPause int
		CapScope, GateMode, Layout    string
		ComplaintShare, SpareTries    float64
		ExposureCaps                  []float64
		KeysStay                      bool
		Shielded                      int
		VoteTtlNs, VoteWaitNs         int64
	}
	Limits struct {
		Cancel, ParallelTries, PeerMessages, RetryAfter bool
		MaxAttempts, OpenCap                            int
		ConnIdleNs, ConnectTimeoutNs, MaxRetryAfterNs   int64
	}
	OverShareWorth float64
	Projects       []struct {
		AllowancePerS float64
		Name          string
	}
	Rank         int
	ReplicasOfMe int
	Report       struct {
		Fields []string
		Source string
	}
	TickNs int64
}

var (
	repeats = map[string]rules.Repeat{"repeatable": rules.Replayable, "by_key": rules.Referenced, "once": rules.SingleUse}
	groups  = map[string]rules.Group{"": rules.AllHosts, "all": rules.AllHosts, "zone": rules.SameZone, "cell": rules.SameCell}
	gates   = map[string]rules.Gate{"single": rules.AnyOne, "majority": rules.Share, "clocked": rules.Clock}
	reports = map[string]rules.Report{"concurrent": rules.Holding, "depth": rules.Waiting, "load_share": rules.Busy,
		"mean_ms": rules.MeanTime}
)

// Read reads the settings' JSON; keys that it does not know are skipped.
func Read(raw []byte) (Settings, error) {
	var p text
	if err := json.Unmarshal(raw, &p); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	fam, lim := p.FamilyInfo, p.Limits
	s := Settings{Zones: p.Azs, Kinds: p.Kinds, ConnectIn: lim.ConnectTimeoutNs, IdleIn: lim.ConnIdleNs}
	s.Settings = rules.Settings{
		Rank: p.Rank, Routers: p.ReplicasOfMe, OverShare: p.OverShareWorth, Tick: p.TickNs,
		Subscribe: p.Discovery == "subscribe", MaxHandOffs: lim.MaxAttempts, Most: lim.OpenCap, Copies: lim.ParallelTries,
		Recalls: lim.Cancel, Peers: lim.PeerMessages,
		OnVotes: fam.ToAdvance, BackVotes: fam.BackVotes,
		HoldVotes: fam.ToPause, VoteLife: fam.VoteTtlNs, VoteWait: fam.VoteWaitNs, Free: fam.SpareTries,
		CapByBand: fam.CapScope == "per_lane", Guarded: fam.Shielded, Beside: fam.Layout == "side_by_side", KeysStay: fam.KeysStay,
		FlagShare: fam.ComplaintShare, ColdFrom: p.Contract.ColdFrom, ColdFor: p.Contract.ColdNs,
		FallMultiple: p.Contract.FallMultiple, AskEvery: p.Contract.AskEveryNs,
	}
	if lim.RetryAfter {
		s.MaxAdvice = lim.MaxRetryAfterNs
	}
	if len(fam.ExposureCaps) > 0 {
		s.FirstCap = fam.ExposureCaps[0]
	}
	var ok bool
	if s.Gate, ok = gates[fam.GateMode]; !ok {
		return s, fmt.Errorf("settings: gateMode %q is unknown", fam.GateMode)
	}
	if s.Routers < 1 || s.Rank < 0 || s.Rank >= s.Routers || s.Tick < 1 || s.MaxHandOffs < 1 || len(p.Classes) == 0 {
		return s, fmt.Errorf("settings: rank %d of %d, tick %d, %d attempts, %d classes", s.Rank, s.Routers, s.Tick,
			s.MaxHandOffs, len(p.Classes))
	}
	for i, c := range p.Classes {
		b := rules.Band{Contract: c.AimNs, CutOff: c.HardLimitNs, Memory: c.DedupWindowNs, Importance: c.Worth,
			LateOf: c.LateWorth}
		var known bool
		b.Repeat, ok = repeats[c.Effect]
		if b.Group, known = groups[c.Group]; !ok || !known || b.Contract < 1 {
			return s, fmt.Errorf("settings: class %d: effect %q, group %q, aim %d", i, c.Effect, c.Group, c.AimNs)
		}
		s.Settings.Bands = append(s.Settings.Bands, b)
		s.Bands = append(s.Bands, c.Name)
	}
	for _, t := range p.Projects {
		s.Settings.Carriers = append(s.Settings.Carriers, rules.Carrier{PerSecond: t.AllowancePerS})
		s.Carriers = append(s.Carriers, t.Name)
	}
	for _, name := range p.Report.Fields {
		s.Reports = append(s.Reports, reports[name])
	}
	if p.Report.Source == "piggyback" {
		s.ReportFields = p.Report.Fields
	}
	return s, nil
}
