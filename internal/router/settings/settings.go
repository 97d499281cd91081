// Package settings reads the settings' JSON, which the simulator and a real router's configuration share.
package settings

import (
	"encoding/json"
	"fmt"

	"portflow/internal/decision"
)

// Settings are those of the rules and what else a router on sockets needs of the JSON.
type Settings struct {
	decision.Settings
	Bands, Carriers   []string // their names, by position
	Zones, Kinds      []string
	ReportFields      []string // the values' names in a load report that comes in answers; none where it does not
	ConnectIn, IdleIn int64    // how long a connection may take to come up, and may then stand idle
}

// text is the part of the JSON that is read.
type text struct {
	Azs     []string `json:"azs"`
	Kinds   []string `json:"kinds"`
	Classes []struct {
		Name          string  `json:"name"`
		AimNs         int64   `json:"aimNs"`
		HardLimitNs   int64   `json:"hardLimitNs"`
		DedupWindowNs int64   `json:"dedupWindowNs"`
		Effect        string  `json:"effect"`
		Group         string  `json:"group"`
		Worth         float64 `json:"worth"`
		LateWorth     float64 `json:"lateWorth"`
	} `json:"classes"`
	Contract struct {
		ColdFrom     float64 `json:"coldFrom"`
		FallMultiple float64 `json:"fallMultiple"`
		ColdNs       int64   `json:"coldNs"`
		AskEveryNs   int64   `json:"askEveryNs"`
	} `json:"contract"`
	Discovery  string `json:"discovery"`
	FamilyInfo struct {
		BackVotes      int       `json:"backVotes"`
		ToAdvance      int       `json:"toAdvance"`
		ToPause        int       `json:"toPause"`
		CapScope       string    `json:"capScope"`
		GateMode       string    `json:"gateMode"`
		Layout         string    `json:"layout"`
		ComplaintShare float64   `json:"complaintShare"`
		SpareTries     float64   `json:"spareTries"`
		ExposureCaps   []float64 `json:"exposureCaps"`
		KeysStay       bool      `json:"keysStay"`
		Shielded       int       `json:"shielded"`
		VoteTtlNs      int64     `json:"voteTtlNs"`
		VoteWaitNs     int64     `json:"voteWaitNs"`
	} `json:"familyInfo"`
	Limits struct {
		Cancel           bool  `json:"cancel"`
		ParallelTries    bool  `json:"parallelTries"`
		PeerMessages     bool  `json:"peerMessages"`
		RetryAfter       bool  `json:"retryAfter"`
		MaxAttempts      int   `json:"maxAttempts"`
		OpenCap          int   `json:"openCap"`
		ConnIdleNs       int64 `json:"connIdleNs"`
		ConnectTimeoutNs int64 `json:"connectTimeoutNs"`
		MaxRetryAfterNs  int64 `json:"maxRetryAfterNs"`
	} `json:"limits"`
	OverShareWorth float64 `json:"overShareWorth"`
	Projects       []struct {
		AllowancePerS float64 `json:"allowancePerS"`
		Name          string  `json:"name"`
	} `json:"projects"`
	Rank         int `json:"rank"`
	ReplicasOfMe int `json:"replicasOfMe"`
	Report       struct {
		Fields []string `json:"fields"`
		Source string   `json:"source"`
	} `json:"report"`
	TickNs int64 `json:"tickNs"`
}

var (
	repeats = map[string]decision.Repeat{"repeatable": decision.Replayable, "by_key": decision.Referenced, "once": decision.SingleUse}
	groups  = map[string]decision.Group{"": decision.AllHosts, "all": decision.AllHosts, "zone": decision.SameZone, "cell": decision.SameCell}
	gates   = map[string]decision.Gate{"single": decision.AnyOne, "majority": decision.Share, "clocked": decision.Clock}
	reports = map[string]decision.Report{"concurrent": decision.Holding, "depth": decision.Waiting, "load_share": decision.Busy,
		"mean_ms": decision.MeanTime}
)

// Read reads the settings' JSON; keys that it does not know are skipped.
func Read(raw []byte) (Settings, error) {
	var p text
	if err := json.Unmarshal(raw, &p); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	fam, lim := p.FamilyInfo, p.Limits
	s := Settings{Zones: p.Azs, Kinds: p.Kinds, ConnectIn: lim.ConnectTimeoutNs, IdleIn: lim.ConnIdleNs}
	s.Settings = decision.Settings{
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
		b := decision.Band{Contract: c.AimNs, CutOff: c.HardLimitNs, Memory: c.DedupWindowNs, Importance: c.Worth,
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
		s.Settings.Carriers = append(s.Settings.Carriers, decision.Carrier{PerSecond: t.AllowancePerS})
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
