package consensus

import (
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/operation"
)

// buildValue makes a value of the orders that wait, and answers those that need none.
func (n *Node) buildValue(now int64) (value []config.Item, tags []uint64) {
	var next *config.Set // as it is with the value, which only a second order needs
	position, merged, size := map[config.Key]int{}, 0, 0
	var remaining []*pendingOperation
	for _, op := range n.pending {
		exclusive := op.operation.Kind == operation.RestoreSnapshot && len(value) > 0 || operation.ReplacesAll(value)
		if remaining = append(remaining, op); !op.proposeHere || exclusive || len(value) >= maxBatchItems || op.operation.Kind == operation.ChangeMembers && membershipIn(value).Epoch != 0 {
			continue
		}
		if op.operation.Kind == operation.ChangeMembers && !(n.confirmedLatest && n.mayChangeMembership(op.operation)) {
			if !n.confirmedLatest {
				n.prepared = false // it is looked at again when more than half have promised anew
				continue
			}
			remaining = remaining[:len(remaining)-1]
			n.finish(op, Result{Kind: apierror.Unavailable, Reason: "the new members can't be sure to take over"})
			continue
		}
		set := n.Set
		if len(value) > 0 {
			if next == nil {
				next = n.Set.Clone()
				n.Counts.Copied++
			}
			for _, i := range value[merged:] {
				next.Merge(i)
			}
			set, merged = next, len(value)
		}
		items, err := operation.Apply(set, op.operation)
		if (err != nil || len(items) == 0) && set != n.Set { // by what is not decided yet: it is looked at again
			if items, err = operation.Apply(n.Set, op.operation); err == nil && len(items) > 0 {
				continue
			}
		}
		switch {
		case err != nil:
			kind := apierror.KindOf(err)
			if kind != apierror.Conflict && op.proposedIndex == n.hardState.Applied+1 {
				continue // a vote on it may still be taken over: it isn't refused before that number is decided
			}
			if kind != apierror.Conflict && !n.confirmedLatest { // it may be wrong only by what this process doesn't know yet
				n.prepared = false
				continue
			}
			remaining = remaining[:len(remaining)-1]
			if kind != apierror.Conflict && op.forwards > 0 { // its copy may still be taken, once what it lacks is there
				n.finish(op, Result{Kind: apierror.Unavailable, Reason: "not clear yet: " + err.Error()})
				continue
			}
			n.finish(op, Result{Kind: kind, Reason: err.Error(), Index: n.hardState.Applied, NotProposed: op.proposedIndex == 0})
			continue
		case len(items) == 0 && op.operation.DependsOnState() && !n.confirmedLatest: // it may stand here alone, and be over where this process isn't heard
			n.prepared = false
			continue
		case len(items) == 0:
			remaining = remaining[:len(remaining)-1]
			n.finish(op, Result{Index: n.hardState.Applied})
			continue
		}
		if operation.ReplacesAll(items) {
			value, tags = items, append(tags, op.tag)
			continue
		}
		if size+config.EncodedSizeBound(items) > operation.MaxValueBytes { // it goes into a later number
			continue
		}
		size += config.EncodedSizeBound(items)
		for _, i := range items {
			if at, there := position[i.Key()]; there {
				if value[at] = i; at < merged {
					next.Merge(i)
				}
			} else {
				position[i.Key()] = len(value)
				value = append(value, i)
			}
		}
		tags = append(tags, op.tag)
	}
	n.pending = remaining
	return value, tags
}

// finishSatisfied ends the changes that stand already, as another brought them to their end, and tells whether there are orders that
// this process is to propose: a ballot that nothing needs would only beat the one that goes on. A change that stands does so
// for ever, by its versions; of other orders that is known only by who has what is decided now.
func (n *Node) finishSatisfied() (unsatisfied bool) {
	n.pending = slices.DeleteFunc(n.pending, func(p *pendingOperation) bool {
		if !p.proposeHere {
			return false
		}
		if p.operation.Kind == operation.ModifyConfig {
			if items, err := operation.Apply(n.Set, p.operation); err == nil && len(items) == 0 {
				n.finish(p, Result{Index: n.hardState.Applied})
				return true
			}
		}
		unsatisfied = true
		return false
	})
	return unsatisfied
}
