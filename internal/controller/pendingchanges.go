package controller

import "maps"

// turnChanges records the changes that the commands of one turn have made.
type turnChanges struct {
	endpoints  map[int]map[uint32]bool // changed replicas by table
	ejections  map[uint32]bool         // replicas that were ejected or unejected
	admissions map[int]bool            // tables with changed admissions; control.AllTables may be one of them
	wantsAck   bool
	nonce      uint64
	// The endpoint lists of a table are made once and shared by the updates of all its streams.
	fullTables    map[int]endpointList
	changedTables map[int]endpointList
}

// endpointList is a table or its changed endpoints.
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

// pendingChanges are changes that affect a stream and have not been sent for lack of capacity of the channel or of the
// proxy's message cap. They identify what has changed; the current values are looked up when the update is sent.
type pendingChanges struct {
	endpoints map[uint32]bool // changed replicas in the stream's table
	ejections map[uint32]bool
	urgent    bool
	wantsAck  bool
	nonce     uint64 // nonce of the last requested ack
}

func newPendingChanges() *pendingChanges {
	return &pendingChanges{endpoints: map[uint32]bool{}, ejections: map[uint32]bool{}}
}

// add adds the changes of a turn that affect a stream.
func (p *pendingChanges) add(changes *turnChanges, table int, affects func(replica uint32) bool) {
	maps.Copy(p.endpoints, changes.endpoints[table])
	for replica := range changes.ejections {
		if affects(replica) {
			p.ejections[replica] = true
		}
	}
	if changes.wantsAck {
		p.wantsAck = true
		p.nonce = changes.nonce
	}
}

// forOneStream returns the pending changes of one stream as turnChanges. Full tables are shared with the turn's other
// updates.
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
