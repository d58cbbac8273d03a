package policy

import (
	"fmt"
	"lilacbend/control"
	"testing"
)

func steering(g *Policy, laid, wanted map[tableEndpoint]float64, out map[uint32]bool) *updater {
	s := g.queues[updateComponent].component.(*updater)
	s.laid, s.want, s.out = laid, targetTables{wanted, map[uint32]bool{}}, out
	return s
}

func TestStepsComeInOrderTheLargestFirst(t *testing.T) {
	g := at(0)
	s := steering(g, map[tableEndpoint]float64{{0, 1}: 1, {0, 2}: 1, {0, 3}: 1},
		map[tableEndpoint]float64{{0, 1}: 0.5, {0, 2}: 0.1, {0, 4}: 1}, map[uint32]bool{})
	s.moves[5] = 1
	want(t, "add", s.orders(add)[0], control.Command(control.SetEndpoint{Replica: 4, Weight: 1}))
	want(t, "overwrite", s.orders(overwrite)[0], control.Command(control.SetEndpoint{Replica: 2, Weight: 0.1}))
	want(t, "rebind", s.orders(rebind)[0], control.Command(control.Bind{Proxy: 5, Table: 1}))
	want(t, "remove", s.orders(remove)[0], control.Command(control.SetEndpoint{Replica: 3}))
	s.open[1] = 0
	s.at = remove
	s.proceed()
	steps := mail[updateStep](g, pacingComponent)
	want(t, "removals wait for additions", len(steps[0].orders), 1)
	s.at = overwrite
	s.proceed()
	want(t, "additions fold in", len(mail[updateStep](g, pacingComponent)[1].orders), 3)
}

// A proxy whose rebinding is held up, by its cap of messages, keeps its old lines until it has been told of the new ones.
func TestRemovalsWaitForMoves(t *testing.T) {
	g := at(0)
	s := steering(g, map[tableEndpoint]float64{{0, 1}: 1, {1, 1}: 1}, map[tableEndpoint]float64{{1, 1}: 1}, map[uint32]bool{})
	s.moves[5], s.at, s.sent = 1, rebind, true // others were moved, and have answered
	s.proceed()
	for _, o := range mail[updateStep](g, pacingComponent)[0].orders {
		if l, is := o.(control.SetEndpoint); is && l.Weight == 0 {
			t.Errorf("%v is ordered before the move", l)
		}
	}
	for range steps {
		s.proceed()
	}
	delete(s.moves, 5)
	for range steps {
		s.proceed()
	}
	all := mail[updateStep](g, pacingComponent)
	want(t, "then it is", fmt.Sprint(all[len(all)-1].orders), fmt.Sprint([]control.Command{control.SetEndpoint{Replica: 1}}))
}

func TestAnAnsweredStepIsOverThoughMoreHasChanged(t *testing.T) {
	s := steering(at(0), map[tableEndpoint]float64{{0, 1}: 1, {0, 2}: 1}, map[tableEndpoint]float64{{0, 1}: 0.5}, map[uint32]bool{})
	s.at, s.sent = overwrite, true
	s.proceed()
	want(t, "removals come", s.at, remove)
}

func TestARemovalOfWhoIsBackNeverLeaves(t *testing.T) {
	s := steering(at(0), map[tableEndpoint]float64{{0, 1}: 1}, map[tableEndpoint]float64{}, map[uint32]bool{1: true})
	s.want.ejected[1] = true // gone, and not back yet
	want(t, "queued", len(s.orders(remove)), 1)
	s.handle(targetTables{map[tableEndpoint]float64{{0, 1}: 1}, map[uint32]bool{}})
	want(t, "dropped", len(s.orders(remove)), 0)
	want(t, "lifted", s.orders(add)[0], control.Command(control.SetEjected{Replica: 1}))
}

func TestALateAnswerEndsAStepAtItsTimeout(t *testing.T) {
	s := steering(at(0), map[tableEndpoint]float64{{0, 1}: 1}, map[tableEndpoint]float64{}, map[uint32]bool{})
	s.open[1], s.at = 0, overwrite
	s.handle(tickStarted{})
	want(t, "waits", s.at, overwrite)
	s.now = stepTimeout + 1
	s.handle(tickStarted{})
	want(t, "goes on", s.at, remove)
}
