package operation

import (
	"portflow/internal/cluster/apierror"
	"portflow/internal/cluster/config"
)

// conditionKey returns the key of the item that an operation changes, if its outcome depends on what that item is now.
func (o Operation) conditionKey() (key config.Key, depends bool) {
	switch o.Kind {
	case Evacuate:
		return config.Key{Kind: config.KindEvacuations, Name: o.Name}, true
	case BeginRollout:
		return config.Key{Kind: config.KindRollouts, Name: o.Name}, true
	}
	return config.Key{}, false
}

// DependsOnState reports whether it depends on the present state that the operation is done already. It does not for a change of the
// configuration, where a version has one content for ever, nor for a restore, whose name is kept.
func (o Operation) DependsOnState() bool {
	_, depends := o.conditionKey()
	return depends
}

// Bind returns the operation with the condition that the item it changes is as in s. Copies of it may then be sent to other processes:
// none of them takes effect after a later operation on that item.
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

// ifCurrent returns items, which the operation sets, or an error if it sets some and its condition does not hold any more.
func (o Operation) checkCondition(s *config.Set, items []config.Item) ([]config.Item, error) {
	if len(items) > 0 && o.isStale(s) {
		return nil, apierror.New(apierror.Unavailable, "%s: it was changed since the order was handed over", o.Name)
	}
	return items, nil
}

// isStale reports whether the operation has a condition that does not hold.
func (o Operation) isStale(s *config.Set) bool {
	key, depends := o.conditionKey()
	item, _ := s.Lookup(key)
	return depends && o.Conditional && item.Version != o.BaseVersion
}
