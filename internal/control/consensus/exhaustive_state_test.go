//go:build !race

package consensus

import (
	"encoding/binary"
	"fmt"
	"hash"
	"hash/fnv"
	"math/bits"
	"reflect"
	"slices"
	"strings"
	"unsafe"

	"portflow/internal/cluster/config"
)

// process is the state of a process in a searched world. It is immutable.
type process struct {
	node        *Node
	hardState   HardState
	items       []config.Item
	now         int64
	incarnation int
	digest      uint64 // of node, hardState, now and incarnation
}

// packet is a message in flight.
type packet struct {
	from, to int
	message  Message
	digest   uint64
}

// searchState is a state of a world. States share their processes, packets and slices.
type searchState struct {
	processes [4]*process
	packets   []*packet    // in flight, sorted by digest
	decided   []decidedSet // the set at each index that any process has applied, sorted by index
	confirmed [2]bool      // which of the rivals are confirmed
	budget    budget
	previous  *searchState
	describe  func() string // describes the event that led from previous to this state
	digest    uint64        // of all fields except previous and describe
}

// fork returns a copy of the state that has it as its previous state.
func (st *searchState) fork(describe func() string) *searchState {
	return &searchState{
		processes: st.processes,
		packets:   st.packets,
		decided:   st.decided,
		confirmed: st.confirmed,
		budget:    st.budget,
		previous:  st,
		describe:  describe,
	}
}

func newPacket(from, to int, m Message) *packet {
	return &packet{from, to, m, digestOf(from, to, m)}
}

// decidedSet identifies the set that a process has at an index by its checksum.
type decidedSet struct{ index, digest uint64 }

// budget is the number of events of each kind that may still happen.
type budget struct {
	ticks       int
	powerLosses int
	wipes       int // restarts with a wiped disk
}

// accessible returns a value that can be read and set even if it is an unexported field.
func accessible(v reflect.Value) reflect.Value {
	if v.CanInterface() || !v.CanAddr() {
		return v
	}
	return reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem()
}

// deepCopy returns a copy that shares only byte slices with the value. They are never modified.
func deepCopy(v reflect.Value) reflect.Value {
	to := reflect.New(v.Type()).Elem()
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return to
		}
		if s, ok := v.Interface().(*config.Set); ok {
			to.Set(reflect.ValueOf(s.Clone()))
			return to
		}
		to.Set(reflect.New(v.Type().Elem()))
		to.Elem().Set(deepCopy(v.Elem()))
	case reflect.Struct:
		to.Set(v)
		from := reflect.New(v.Type()).Elem()
		from.Set(v)
		for n := range v.NumField() {
			switch v.Type().Field(n).Type.Kind() {
			case reflect.Pointer, reflect.Struct, reflect.Map, reflect.Slice:
				accessible(to.Field(n)).Set(deepCopy(accessible(from.Field(n))))
			}
		}
	case reflect.Map:
		if v.IsNil() {
			return to
		}
		to.Set(reflect.MakeMapWithSize(v.Type(), v.Len()))
		for _, k := range v.MapKeys() {
			to.SetMapIndex(k, deepCopy(v.MapIndex(k)))
		}
	case reflect.Slice:
		if v.IsNil() {
			return to
		}
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return v
		}
		to.Set(reflect.MakeSlice(v.Type(), v.Len(), v.Len()))
		for n := range v.Len() {
			to.Index(n).Set(deepCopy(v.Index(n)))
		}
	default:
		to.Set(v)
	}
	return to
}

// digest adds a value to a hash. Equal values have equal digests. Node.Counts is skipped, as it does not affect the behavior of a node.
func digest(h hash.Hash64, v reflect.Value) {
	var b [8]byte
	word := func(x uint64) {
		binary.LittleEndian.PutUint64(b[:], x)
		h.Write(b[:])
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			word(0)
			return
		}
		if s, ok := v.Interface().(*config.Set); ok {
			word(s.Checksum())
			return
		}
		digest(h, v.Elem())
	case reflect.Struct:
		from := reflect.New(v.Type()).Elem()
		from.Set(v)
		for n := range v.NumField() {
			if v.Type() != reflect.TypeFor[Node]() || v.Type().Field(n).Name != "Counts" {
				digest(h, accessible(from.Field(n)))
			}
		}
	case reflect.Map:
		all := v.MapKeys()
		slices.SortFunc(all, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		word(uint64(len(all)))
		for _, k := range all {
			digest(h, k)
			digest(h, v.MapIndex(k))
		}
	case reflect.Slice, reflect.Array:
		word(uint64(v.Len()))
		if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Uint8 {
			h.Write(v.Bytes())
			return
		}
		for n := range v.Len() {
			digest(h, v.Index(n))
		}
	case reflect.String:
		word(uint64(v.Len()))
		h.Write([]byte(v.String()))
	case reflect.Bool:
		if v.Bool() {
			word(1)
		} else {
			word(0)
		}
	case reflect.Int, reflect.Int64, reflect.Int32, reflect.Int8:
		word(uint64(v.Int()))
	case reflect.Uint, reflect.Uint64, reflect.Uint32, reflect.Uint8:
		word(v.Uint())
	case reflect.Float64:
		word(uint64(v.Float() * 1e6))
	default:
		panic(v.Kind())
	}
}

func digestOf(all ...any) uint64 {
	h := fnv.New64a()
	for _, x := range all {
		digest(h, reflect.ValueOf(x))
	}
	return h.Sum64()
}

// computeDigest sets the digest, which identifies the state.
func (st *searchState) computeDigest() {
	h := uint64(14695981039346656037)
	mix := func(x uint64) { h = bits.RotateLeft64((h^x)*0x9E3779B97F4A7C15, 29) * 1099511628211 }
	mix(uint64(st.budget.ticks)<<16 | uint64(st.budget.powerLosses)<<8 | uint64(st.budget.wipes))
	for n, confirmed := range st.confirmed {
		if confirmed {
			mix(uint64(n) + 77)
		}
	}
	for _, p := range st.processes {
		mix(p.digest)
	}
	for _, set := range st.decided {
		mix(set.index)
		mix(set.digest)
	}
	for _, inFlight := range st.packets {
		mix(inFlight.digest)
	}
	st.digest = h
}

// trace describes the events that led to the state.
func (st *searchState) trace() string {
	var all []string
	for ; st.previous != nil; st = st.previous {
		all = append(all, st.describe())
	}
	slices.Reverse(all)
	return strings.Join(all, "; ")
}
