package aqshard

import (
	"sort"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"acaciaquay/pkg/aqtype"
)

type workloadWire struct {
	Spec      SpecWire
	Tasks     []Task
	AtMillis  int64
	Cancelled bool
	Guest     bool           `msgpack:",omitempty"`
	Home      aqtype.ShardID `msgpack:",omitempty"`
}

// cursorWire holds the sequence numbers of the last offer made to a shard and of
// the last one accepted from it.
type cursorWire struct {
	Shard   aqtype.ShardID
	Offered uint64
	Taken   uint64
}

type keyWire struct {
	Key      RequestKey
	Holder   string
	AtMillis int64
}

type stateWire struct {
	Workloads []workloadWire
	Cursors   []cursorWire
	Keys      []keyWire
}

// Encode encodes the whole state. Equal states give equal bytes.
func (s *State) Encode() ([]byte, error) {
	wires := make([]workloadWire, 0, len(s.workloads))
	for _, w := range s.workloads {
		wires = append(wires, workloadWire{
			Spec:      WrapSpec(w.Spec),
			Tasks:     w.Tasks,
			AtMillis:  w.AtMillis,
			Cancelled: w.Cancelled,
			Guest:     w.Guest,
			Home:      w.Home,
		})
	}
	sort.Slice(wires, func(i, j int) bool { return wireKey(wires[i]) < wireKey(wires[j]) })
	data, err := msgpack.Marshal(stateWire{Workloads: wires, Cursors: s.cursors(), Keys: s.keyWires()})
	return data, errors.Wrap(err, "shard: encode state")
}

func (s *State) keyWires() []keyWire {
	wires := make([]keyWire, 0, len(s.keys))
	for key, e := range s.keys {
		wires = append(wires, keyWire{
			Key:      key,
			Holder:   e.Holder,
			AtMillis: e.AtMillis,
		})
	}
	sort.Slice(wires, func(i, j int) bool { return wires[i].Key < wires[j].Key })
	return wires
}

func (s *State) cursors() []cursorWire {
	byShard := map[aqtype.ShardID]cursorWire{}
	for shard, sequence := range s.offered {
		byShard[shard] = cursorWire{Shard: shard, Offered: sequence}
	}
	for shard, sequence := range s.taken {
		c := byShard[shard]
		c.Shard = shard
		c.Taken = sequence
		byShard[shard] = c
	}
	cursors := make([]cursorWire, 0, len(byShard))
	for _, c := range byShard {
		cursors = append(cursors, c)
	}
	sort.Slice(cursors, func(i, j int) bool { return cursors[i].Shard < cursors[j].Shard })
	return cursors
}

func wireKey(w workloadWire) aqtype.WorkloadKey {
	spec, err := w.Spec.Unwrap()
	if err != nil {
		return ""
	}
	return spec.Base().Key
}

// Decode is the inverse of Encode. Nil data gives an empty state.
func Decode(data []byte) (*State, error) {
	s := NewState()
	if data == nil {
		return s, nil
	}
	var encoded stateWire
	if err := msgpack.Unmarshal(data, &encoded); err != nil {
		return nil, errors.Wrap(err, "shard: decode state")
	}
	for _, c := range encoded.Cursors {
		s.offered[c.Shard] = c.Offered
		s.taken[c.Shard] = c.Taken
	}
	for _, k := range encoded.Keys {
		s.keys[k.Key] = keyEntry{Holder: k.Holder, AtMillis: k.AtMillis}
	}
	for _, wire := range encoded.Workloads {
		spec, err := wire.Spec.Unwrap()
		if err != nil {
			return nil, err
		}
		s.restore(&Workload{
			Spec:      spec,
			Tasks:     wire.Tasks,
			AtMillis:  wire.AtMillis,
			Cancelled: wire.Cancelled,
			Guest:     wire.Guest,
			Home:      wire.Home,
		})
	}
	return s, nil
}

// restore adds a workload and rebuilds the indexes from its tasks.
func (s *State) restore(w *Workload) {
	key := w.Spec.Base().Key
	s.workloads[key] = w
	for i := range w.Tasks {
		t := &w.Tasks[i]
		id := aqtype.TaskID{Workload: key, Index: i}
		switch {
		case t.State == TaskQueued:
			s.queued[id] = struct{}{}
		case t.State == TaskOffered:
			s.addOpenOffer(id, t)
		case t.HoldsReservation():
			s.reserve(id, w, t)
		}
	}
}

// Clone returns an independent copy.
func (s *State) Clone() (*State, error) {
	data, err := s.Encode()
	if err != nil {
		return nil, err
	}
	return Decode(data)
}
