package consensus

import (
	"slices"

	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
	"portflow/internal/control/operation"
)

// batch collects the changes of several operations into one value to propose.
type batch struct {
	value    []config.Item
	tags     []uint64           // tags of the operations in value
	position map[config.Key]int // index in value, by item key
	preview  *config.Set        // the set with the first merged items of value applied; nil until a second operation is evaluated
	merged   int                // number of items of value that are applied to preview
	size     int                // upper bound on the encoded size of value, in bytes
}

// admits reports whether an operation may be added to the value. A value that replaces the entire set contains nothing else, and
// a value changes the membership at most once.
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

// state returns the set with all items of the value applied. preview must not be nil.
func (b *batch) state() *config.Set {
	for _, item := range b.value[b.merged:] {
		b.preview.Merge(item)
	}
	b.merged = len(b.value)
	return b.preview
}

// add adds the items changed by an operation, unless the value would become too large for a message.
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

// put adds an item, replacing an older version of it in the value.
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

// buildValue builds a value from the pending operations that this process proposes, and returns it with the tags of the
// operations in it. It finishes operations that need no vote, because they change nothing or fail.
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

// addToBatch adds an operation to the batch, or finishes it and returns true. An operation that is neither added nor finished
// stays pending.
func (n *Node) addToBatch(b *batch, op *pendingOperation) (finished bool) {
	if !op.proposeHere || !b.admits(op.operation) {
		return false
	}
	if op.operation.Kind == operation.ChangeMembers {
		if !n.proposer.confirmedLatest {
			return n.requirePrepare()
		}
		if !n.mayChangeMembership(op.operation) {
			n.finish(op, Result{Kind: apierror.Unavailable, Reason: "membership change might leave the new members without a quorum"})
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

// requirePrepare leaves an operation pending until a majority has promised a new ballot, because this process may not have
// applied the latest state.
func (n *Node) requirePrepare() (finished bool) {
	n.proposer.prepared = false
	return false
}

// evaluate returns the items that an operation changes when it is applied after the operations in the batch. The result is
// undecided if the operation fails or changes nothing there but would change something on the applied set: it then depends on
// whether the batch is decided.
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

// finishWithError finishes an operation with an error if the error is final, and reports whether it did. Only a conflict is
// always final; any other error may be due to this process not having applied the latest state.
func (n *Node) finishWithError(op *pendingOperation, err error) (finished bool) {
	kind := apierror.KindOf(err)
	final := Result{Kind: kind, Reason: err.Error(), Index: n.hardState.Applied, NotProposed: op.proposedIndex == 0}
	switch {
	case kind == apierror.Conflict:
		n.finish(op, final)
	case op.proposedIndex == n.nextIndex(): // an earlier proposal of it may still be decided at this index
		return false
	case !n.proposer.confirmedLatest:
		return n.requirePrepare()
	case op.forwards > 0: // a copy at another member may still succeed
		n.finish(op, Result{Kind: apierror.Unavailable, Reason: "not clear yet: " + err.Error()})
	default:
		n.finish(op, final)
	}
	return true
}

// finishWithoutVote finishes an operation that changes nothing. If its outcome depends on the state, this process must first
// confirm that it has applied the latest state.
func (n *Node) finishWithoutVote(op *pendingOperation) (finished bool) {
	if op.operation.DependsOnState() && !n.proposer.confirmedLatest {
		return n.requirePrepare()
	}
	n.finish(op, Result{Index: n.hardState.Applied})
	return true
}

// finishSatisfied finishes configuration changes that are already decided through another proposer, and reports whether
// operations to propose remain: a needless ballot would only preempt other proposers. Item versions ensure that a decided
// configuration change stays decided. For other operations, only a process with the latest state can tell.
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

// isSatisfied reports whether an operation is a configuration change that the applied set already contains.
func (n *Node) isSatisfied(op operation.Operation) bool {
	if op.Kind != operation.ModifyConfig {
		return false
	}
	items, err := operation.Apply(n.Set, op)
	return err == nil && len(items) == 0
}
