package operation

import (
	"bytes"
	"encoding/json"
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/cluster/rollout"
)

// setEvacuation begins or withdraws the evacuation of a zone.
func setEvacuation(s *config.Set, o Operation) []config.Item {
	key := config.Key{Kind: config.KindEvacuations, Name: o.Name}
	body, _ := json.Marshal(map[string]bool{"begun": o.Active}) // can't fail
	old, exists := s.Lookup(key)
	if exists && bytes.Equal(old.Body, body) || !exists && !o.Active {
		return nil
	}
	return []config.Item{{Kind: key.Kind, Name: key.Name, Version: old.Version + 1, Body: body}}
}

// currentRollout returns the newest rollout of a service, running or ended, or the zero Rollout if there was none.
func currentRollout(s *config.Set, service string) rollout.Rollout {
	item, _ := s.Lookup(config.Key{Kind: config.KindRollouts, Name: service})
	return rollout.FromItem(item)
}

// beginRollout begins a rollout. It has no effect if one to the same version is running, or if the operation is a late copy.
func beginRollout(s *config.Set, o Operation) ([]config.Item, error) {
	current := currentRollout(s, o.Name)
	running := current.VisibleState() == rollout.Running
	if running && current.Target == o.TargetVersion || o.isLateCopy(current) {
		return nil, nil
	}
	service, exists := s.Lookup(config.Key{Kind: config.KindServices, Name: o.Name})
	switch {
	case !exists || service.Deleted:
		return nil, apierror.New(apierror.Invalid, "service: %s does not stand", o.Name)
	case running:
		return nil, apierror.New(apierror.InProgress, "%s is being moved to %s", o.Name, current.Target)
	}
	initial, _ := s.Lookup(config.Key{Kind: config.KindStableVersions, Name: o.Name})
	next := current.Next()
	next.Service = o.Name
	next.From = rollout.StableVersion(initial, current)
	next.Target = o.TargetVersion
	next.Duration = o.Duration
	next.StartedAt = o.SubmittedAt
	next.ClocksAgreed = o.ClockAgreed
	return []config.Item{next.Item()}, nil
}

// isLateCopy reports whether the operation is a copy of one that began an earlier rollout, or the current one if that has ended. Clients
// retry an operation until RetryWindow after the rollout's duration at the latest. A submitter that did not know the current rollout
// submitted the operation before that rollout began.
func (o Operation) isLateCopy(current rollout.Rollout) bool {
	submittedBefore := current.Number != o.KnownRollout
	ended := current.State > rollout.Running
	if ended && current.Target == o.TargetVersion && current.Duration == o.Duration {
		if submittedBefore || o.KnownRolloutAge < current.Duration+o.RetryWindow {
			return true
		}
	}
	// The operation of an earlier rollout was first submitted before the current rollout began, so RetryWindow counts from there.
	began := slices.Contains(current.PastDigests[:], rollout.Digest(o.TargetVersion, o.Duration))
	return began && (submittedBefore || o.KnownRolloutAge < o.RetryWindow)
}

// endRollout ends the rollout with the expected number. It has no effect if that rollout is not running or the outcome
// is invalid.
func endRollout(s *config.Set, o Operation) []config.Item {
	current := currentRollout(s, o.Name)
	validOutcome := o.Outcome == rollout.Completed || o.Outcome == rollout.RolledBack
	if current.Number != o.Expected || current.State != rollout.Running || !validOutcome {
		return nil
	}
	current.State = o.Outcome
	current.EndedAt = o.SubmittedAt
	current.Switching = o.Outcome == rollout.Completed
	return []config.Item{current.Item()}
}

// completeSwitch records that the proxies have left the old instances of the rollout with the expected number.
func completeSwitch(s *config.Set, o Operation) []config.Item {
	current := currentRollout(s, o.Name)
	if current.Number != o.Expected || !current.Switching {
		return nil
	}
	current.Switching = false
	return []config.Item{current.Item()}
}

// setInitialVersion sets the first stable version of a service, unless it has one.
func setInitialVersion(s *config.Set, o Operation) []config.Item {
	key := config.Key{Kind: config.KindStableVersions, Name: o.Name}
	if _, exists := s.Lookup(key); exists {
		return nil
	}
	body, _ := json.Marshal(map[string]string{"version": o.Version}) // can't fail
	return []config.Item{{Kind: key.Kind, Name: key.Name, Version: 1, Body: body}}
}
