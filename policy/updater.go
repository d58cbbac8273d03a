package policy

import (
	"time"

	"lilacbend/policy/update"
)

// updater is the component that runs the reverse-order update of the proxies' tables. See package update for the rules.
type updater struct {
	*sharedState
	sequence *update.Sequence
}

func newUpdater(shared *sharedState) *updater {
	return &updater{sharedState: shared, sequence: update.New()}
}

func (u *updater) handle(m message) {
	switch m := m.(type) {
	case targetTables:
		u.sequence.SetTarget(update.Target(m))
	case replicaEvicted:
		u.sequence.RemoveReplica(m.replica)
	case bindRequested:
		u.sequence.Rebind(m.Bind)
	case messagesSent:
		u.sequence.Sent(time.Duration(u.now), m.nonce, m.commands)
		return // the next step is computed at the next ack, target or tick
	case acknowledged:
		u.sequence.Acknowledged(m.nonce)
	case tickStarted:
		u.sequence.Expire(time.Duration(u.now))
	default:
		unexpected(u, m)
	}
	u.enqueue(pacingComponent, updateStep(u.sequence.Advance()))
}
