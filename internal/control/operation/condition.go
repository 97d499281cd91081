package operation

import (
	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
)

// conditionKey returns the key of the item that the operation changes, if the outcome depends on the current state of that item.
func (o Operation) conditionKey() (key config.Key, depends bool) {
	switch o.Kind {
	case Evacuate:
		return config.Key{Kind: config.KindEvacuations, Name: o.Name}, true
	case BeginRollout:
		return config.Key{Kind: config.KindRollouts, Name: o.Name}, true
	}
	return config.Key{}, false
}

// DependsOnState reports whether the current state decides if the operation has been carried out already, as for evacuations and the
// beginning of rollouts. It is false, for example, for a configuration change, where a version never changes its content, and for a
// restore, whose name is remembered.
func (o Operation) DependsOnState() bool {
	_, depends := o.conditionKey()
	return depends
}

// Bind returns the operation with the condition that the item it changes still has the version that it has in s. Copies may then be sent
// to several processes: none takes effect once a later operation has changed the item. Operations that do not depend on the state are
// returned unchanged.
func Bind(s *config.Set, o Operation) Operation {
	key, depends := o.conditionKey()
	if !depends {
		return o
	}
	item, _ := s.Lookup(key)
	o.Conditional = true
	o.BaseVersion = item.Version
	return o
}

// checkCondition returns the items that the operation sets, or an error if there are any although its condition is no longer met.
func (o Operation) checkCondition(s *config.Set, items []config.Item) ([]config.Item, error) {
	if len(items) > 0 && o.isStale(s) {
		return nil, apierror.New(apierror.Unavailable, "%s: it was changed since the order was handed over", o.Name)
	}
	return items, nil
}

// isStale reports whether the operation has a condition that is not met.
func (o Operation) isStale(s *config.Set) bool {
	key, depends := o.conditionKey()
	item, _ := s.Lookup(key)
	return depends && o.Conditional && item.Version != o.BaseVersion
}
