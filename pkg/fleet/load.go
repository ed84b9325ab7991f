package fleet

import (
	"math"

	"nutmegstand.example/nutmegstand/pkg/pb"
)

const (
	// loadSteps is the number of steps in which a load equal to the slots of a target
	// is encoded. One byte then holds loads of up to eight times the slots.
	loadSteps = 31
	// busyLoad is the load from which a target is published as busy. Others are left
	// out, so that exchanges grow only with the number of busy targets.
	busyLoad = 0.6
	// idleLoad is assumed for targets that are not published as busy.
	idleLoad = 0.3
	// loadBits is the number of bits of an encoded load in TableSummary.loads.
	loadBits = 8
)

// EncodeLoad encodes the running and waiting requests of a target, relative to its
// slots, in one byte. 0 stands for a target that is not busy.
func EncodeLoad(relative float64) byte {
	if !(relative >= busyLoad) {
		return 0
	}
	return byte(min(math.Round(relative*loadSteps), math.MaxUint8))
}

// TargetLoad returns the load of a member's target relative to its slots, as published
// with its last heartbeat.
func (m *Member) TargetLoad() float64 {
	if m.load == 0 {
		return idleLoad
	}
	return float64(m.load) / loadSteps
}

// PublishLoad sets the encoded load that is published with the next heartbeats.
func (t *Table) PublishLoad(encoded byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members[t.self].load = encoded
}

// loadWriter encodes the loads of members in their order.
type loadWriter struct {
	loads []uint32
	gap   uint32 // members since the previous busy one
}

func (w *loadWriter) add(load byte) {
	if load == 0 {
		w.gap++
		return
	}
	w.loads = append(w.loads, w.gap<<loadBits|uint32(load))
	w.gap = 0
}

// decodeLoads returns the loads of all members of a summary in their order. Entries
// beyond the members are ignored.
func decodeLoads(s *pb.TableSummary) []byte {
	loads := make([]byte, len(s.GetHeartbeats()))
	at := uint64(0)
	for _, entry := range s.GetLoads() {
		at += uint64(entry >> loadBits)
		if at >= uint64(len(loads)) {
			break
		}
		loads[at] = byte(entry)
		at++
	}
	return loads
}
