package controller

import "maps"

// turnChanges is what the commands of one turn have changed.
type turnChanges struct {
	endpoints  map[int]map[uint32]bool // replicas by table
	ejections  map[uint32]bool         // replicas that were ejected or unejected
	admissions map[int]bool            // by table, control.AllTables among them
	wantsAck   bool
	nonce      uint64
	// The endpoints of a table are made once and shared by the updates of all its streams.
	fullTables    map[int]endpointList
	changedTables map[int]endpointList
}

// endpointList is a table, or what has changed of it.
type endpointList struct {
	replicas  []uint32
	endpoints []WeightedEndpoint // in the order of replicas
}

func newTurnChanges() *turnChanges {
	return &turnChanges{
		endpoints:     map[int]map[uint32]bool{},
		ejections:     map[uint32]bool{},
		admissions:    map[int]bool{},
		fullTables:    map[int]endpointList{},
		changedTables: map[int]endpointList{},
	}
}

// markEndpoint records that the weight of a replica in a table was set.
func (t *turnChanges) markEndpoint(table int, replica uint32) {
	if t.endpoints[table] == nil {
		t.endpoints[table] = map[uint32]bool{}
	}
	t.endpoints[table][replica] = true
}

// pendingChanges are changes that concern a stream and have not been sent, as the channel or the proxy's message cap had no
// capacity. They name what has changed; its value is looked up when it is sent.
type pendingChanges struct {
	endpoints map[uint32]bool // replicas of the stream's table
	ejections map[uint32]bool
	urgent    bool
	wantsAck  bool
	nonce     uint64 // the last one asked for
}

func newPendingChanges() *pendingChanges {
	return &pendingChanges{endpoints: map[uint32]bool{}, ejections: map[uint32]bool{}}
}

// add adds the changes of a turn that concern a stream.
func (p *pendingChanges) add(changes *turnChanges, table int, concerns func(replica uint32) bool) {
	maps.Copy(p.endpoints, changes.endpoints[table])
	for replica := range changes.ejections {
		if concerns(replica) {
			p.ejections[replica] = true
		}
	}
	if changes.wantsAck {
		p.wantsAck = true
		p.nonce = changes.nonce
	}
}

// forOneStream returns pending changes in the form of a turn's. Complete tables are shared with the turn's other updates.
func (p *pendingChanges) forOneStream(table int, shared *turnChanges) *turnChanges {
	return &turnChanges{
		endpoints:     map[int]map[uint32]bool{table: p.endpoints},
		ejections:     p.ejections,
		wantsAck:      p.wantsAck,
		nonce:         p.nonce,
		fullTables:    shared.fullTables,
		changedTables: map[int]endpointList{},
	}
}
