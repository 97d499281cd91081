// Package settings reads the JSON settings that are part of a router's configuration and also used by the simulator.
package settings

import (
	"encoding/json"
	"fmt"

	"portflow/internal/decision"
)

// Settings are the settings of the decision engine, and further ones that a router with network connections needs.
type Settings struct {
	decision.Settings
	ClassNames, CustomerNames   []string // by index in Classes and Customers
	Zones, Kinds                []string
	AnswerReportFields          []string // names of the load report values in responses, in order; empty if responses have no load report
	ConnectTimeout, IdleTimeout int64    // nanoseconds; for connections to hosts
}

// settingsJSON has the keys of the JSON that are used.
type settingsJSON struct {
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
	idempotencies = map[string]decision.Idempotency{"repeatable": decision.Idempotent, "by_key": decision.IdempotentByKey, "once": decision.NonIdempotent}
	dedupScopes   = map[string]decision.DedupScope{"": decision.AllHosts, "all": decision.AllHosts, "zone": decision.SameZone, "cell": decision.SameCell}
	gates         = map[string]decision.Gate{"single": decision.SingleVote, "majority": decision.MajorityVote, "clocked": decision.Timed}
	loadFields    = map[string]decision.LoadField{"concurrent": decision.InFlight, "depth": decision.QueueLength, "load_share": decision.Utilization,
		"mean_ms": decision.MeanServiceTime}
)

// Read parses and validates settings. It ignores unknown keys.
func Read(raw []byte) (Settings, error) {
	var in settingsJSON
	if err := json.Unmarshal(raw, &in); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	family, limits := in.FamilyInfo, in.Limits
	s := Settings{Zones: in.Azs, Kinds: in.Kinds, ConnectTimeout: limits.ConnectTimeoutNs, IdleTimeout: limits.ConnIdleNs}
	s.Settings = decision.Settings{
		Rank: in.Rank, Routers: in.ReplicasOfMe, OverQuotaValue: in.OverShareWorth, TimerResolution: in.TickNs,
		Subscribe: in.Discovery == "subscribe", MaxAttempts: limits.MaxAttempts, MaxOpen: limits.OpenCap, Hedging: limits.ParallelTries,
		Cancellation: limits.Cancel, Gossip: limits.PeerMessages,
		AdvanceVotes: family.ToAdvance, RollBackVotes: family.BackVotes,
		HoldVotes: family.ToPause, VoteLifetime: family.VoteTtlNs, VoteTimeout: family.VoteWaitNs, TrialBurst: family.SpareTries,
		CapPerClass: family.CapScope == "per_lane", GuardedStages: family.Shielded, SideBySide: family.Layout == "side_by_side", KeyAffinity: family.KeysStay,
		ReportedShare: family.ComplaintShare, ColdCapacity: in.Contract.ColdFrom, WarmUpTime: in.Contract.ColdNs,
		CollapseFactor: in.Contract.FallMultiple, FetchInterval: in.Contract.AskEveryNs,
	}
	if limits.RetryAfter {
		s.MaxRetryAfter = limits.MaxRetryAfterNs
	}
	if len(family.ExposureCaps) > 0 {
		s.FirstStageCap = family.ExposureCaps[0]
	}
	var ok bool
	if s.Gate, ok = gates[family.GateMode]; !ok {
		return s, fmt.Errorf("settings: unknown gateMode %q", family.GateMode)
	}
	if s.Routers < 1 || s.Rank < 0 || s.Rank >= s.Routers || s.TimerResolution < 1 || s.MaxAttempts < 1 || len(in.Classes) == 0 {
		return s, fmt.Errorf("settings: invalid rank %d of replicasOfMe %d, tickNs %d, maxAttempts %d or number of classes %d", s.Rank, s.Routers, s.TimerResolution,
			s.MaxAttempts, len(in.Classes))
	}
	for i, c := range in.Classes {
		class := decision.RequestClass{LatencyTarget: c.AimNs, Timeout: c.HardLimitNs, DedupWindow: c.DedupWindowNs, Value: c.Worth,
			LateValue: c.LateWorth}
		var known bool
		class.Idempotency, ok = idempotencies[c.Effect]
		if class.DedupScope, known = dedupScopes[c.Group]; !ok || !known || class.LatencyTarget < 1 {
			return s, fmt.Errorf("settings: class %d: invalid effect %q, group %q or aimNs %d", i, c.Effect, c.Group, c.AimNs)
		}
		s.Settings.Classes = append(s.Settings.Classes, class)
		s.ClassNames = append(s.ClassNames, c.Name)
	}
	for _, project := range in.Projects {
		s.Settings.Customers = append(s.Settings.Customers, decision.Customer{PerSecond: project.AllowancePerS})
		s.CustomerNames = append(s.CustomerNames, project.Name)
	}
	for _, name := range in.Report.Fields {
		s.LoadFields = append(s.LoadFields, loadFields[name])
	}
	if in.Report.Source == "piggyback" {
		s.AnswerReportFields = in.Report.Fields
	}
	return s, nil
}
