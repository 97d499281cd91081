package consensus

import (
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/operation"
)

// batch is a value in the making, of several operations.
type batch struct {
	value    []config.Item
	tags     []uint64           // of the operations in it
	position map[config.Key]int // where an item is in value
	preview  *config.Set        // the set with the first merged items of value; nil until a second operation needs it
	merged   int
	size     int // of value, a bound on its encoding in bytes
}

// admits reports whether an operation may go into the value beside what is in it: a value replaces the set alone, and changes
// the members once.
func (b *batch) admits(op operation.Operation) bool {
	switch {
	case operation.ReplacesAll(b.value), len(b.value) >= maxBatchItems:
		return false
	case op.Kind == operation.RestoreSnapshot:
		return len(b.value) == 0
	case op.Kind == operation.ChangeMembers:
		return membershipIn(b.value).Epoch == 0
	}
	return true
}

// state returns the set with all of the value applied; preview must be set.
func (b *batch) state() *config.Set {
	for _, item := range b.value[b.merged:] {
		b.preview.Merge(item)
	}
	b.merged = len(b.value)
	return b.preview
}

// add adds what an operation changes, unless the value would get too large for a message.
func (b *batch) add(tag uint64, items []config.Item) {
	if operation.ReplacesAll(items) {
		b.value = items
		b.tags = append(b.tags, tag)
		return
	}
	size := config.EncodedSizeBound(items)
	if b.size+size > operation.MaxValueBytes {
		return
	}
	b.size += size
	for _, item := range items {
		b.put(item)
	}
	b.tags = append(b.tags, tag)
}

// put adds an item, or replaces the older version of it that is in the value.
func (b *batch) put(item config.Item) {
	at, exists := b.position[item.Key()]
	if !exists {
		b.position[item.Key()] = len(b.value)
		b.value = append(b.value, item)
		return
	}
	b.value[at] = item
	if at < b.merged {
		b.preview.Merge(item)
	}
}

// buildValue returns a value of the pending operations that are proposed here, with the tags of those in it. It ends those that need
// no vote, because they are done already or can't be.
func (n *Node) buildValue() (value []config.Item, tags []uint64) {
	b := &batch{position: map[config.Key]int{}}
	var remaining []*pendingOperation
	for _, op := range n.forwarder.pending {
		if finished := n.addToBatch(b, op); !finished {
			remaining = append(remaining, op)
		}
	}
	n.forwarder.pending = remaining
	return b.value, b.tags
}

// addToBatch adds an operation to the value, or ends it and reports so. An operation that is neither added nor ended stays pending.
func (n *Node) addToBatch(b *batch, op *pendingOperation) (finished bool) {
	if !op.proposeHere || !b.admits(op.operation) {
		return false
	}
	if op.operation.Kind == operation.ChangeMembers {
		if !n.proposer.confirmedLatest {
			return n.requirePrepare()
		}
		if !n.mayChangeMembership(op.operation) {
			n.finish(op, Result{Kind: apierror.Unavailable, Reason: "the new members can't be sure to take over"})
			return true
		}
	}
	items, undecided, err := n.evaluate(b, op.operation)
	switch {
	case undecided:
		return false
	case err != nil:
		return n.finishWithError(op, err)
	case len(items) == 0:
		return n.finishWithoutVote(op)
	}
	b.add(op.tag, items)
	return false
}

// requirePrepare leaves an operation pending until a majority has promised anew: what this process has applied may not be the latest.
func (n *Node) requirePrepare() (finished bool) {
	n.proposer.prepared = false
	return false
}

// evaluate returns what an operation changes after those in the value. Where it fails or changes nothing by them, while without them
// it would change something, that is undecided until they are.
func (n *Node) evaluate(b *batch, op operation.Operation) (items []config.Item, undecided bool, err error) {
	if len(b.value) == 0 {
		items, err = operation.Apply(n.Set, op)
		return items, false, err
	}
	if b.preview == nil {
		b.preview = n.Set.Clone()
		n.Counts.Copied++
	}
	items, err = operation.Apply(b.state(), op)
	if err == nil && len(items) > 0 {
		return items, false, nil
	}
	items, err = operation.Apply(n.Set, op)
	return items, err == nil && len(items) > 0, err
}

// finishWithError ends an operation with an error, if the error is final. Only a conflict is always final; anything else may be wrong here just
// because this process does not know the latest state.
func (n *Node) finishWithError(op *pendingOperation, err error) (finished bool) {
	kind := apierror.KindOf(err)
	final := Result{Kind: kind, Reason: err.Error(), Index: n.hardState.Applied, NotProposed: op.proposedIndex == 0}
	switch {
	case kind == apierror.Conflict:
		n.finish(op, final)
	case op.proposedIndex == n.nextIndex(): // a vote on it may still be decided at that index
		return false
	case !n.proposer.confirmedLatest:
		return n.requirePrepare()
	case op.forwards > 0: // a copy of it elsewhere may still succeed
		n.finish(op, Result{Kind: apierror.Unavailable, Reason: "not clear yet: " + err.Error()})
	default:
		n.finish(op, final)
	}
	return true
}

// finishWithoutVote ends an operation that changes nothing. If that depends on the state, this process must know that it has the
// latest.
func (n *Node) finishWithoutVote(op *pendingOperation) (finished bool) {
	if op.operation.DependsOnState() && !n.proposer.confirmedLatest {
		return n.requirePrepare()
	}
	n.finish(op, Result{Index: n.hardState.Applied})
	return true
}

// finishSatisfied ends changes that another proposer has brought to a decision, and reports whether operations are left that are
// proposed here: a ballot that nothing needs would only get in the way of the others. That a change of the configuration is done
// stays true, by its versions; of other operations only one with the latest state knows.
func (n *Node) finishSatisfied() (remaining bool) {
	n.forwarder.pending = slices.DeleteFunc(n.forwarder.pending, func(op *pendingOperation) bool {
		if !op.proposeHere {
			return false
		}
		if n.isSatisfied(op.operation) {
			n.finish(op, Result{Index: n.hardState.Applied})
			return true
		}
		remaining = true
		return false
	})
	return remaining
}

// isSatisfied reports whether a change of the configuration is decided.
func (n *Node) isSatisfied(op operation.Operation) bool {
	if op.Kind != operation.ModifyConfig {
		return false
	}
	items, err := operation.Apply(n.Set, op)
	return err == nil && len(items) == 0
}
