package policy

import (
	"math"
	"reflect"
	"testing"

	"lilacbend/control"
	"lilacbend/policy/outlier"
)

func learnedReplica(id uint32, speed float64) control.LearnedReplica {
	return control.LearnedReplica{Replica: id, Speed: speed, SampleCount: 16, PlacementKey: 0.5}
}

// fullyAdmittedFleet returns the learned state of a fleet that admits all requests.
func fullyAdmittedFleet() control.LearnedFleet { return control.LearnedFleet{AdmissionThreshold: 1} }

// restoredPolicy returns a new Policy after one turn with a complete endpoint list, learned state at a confidence and six
// proxies, and the commands of the turn.
func restoredPolicy(list []control.ListedReplica, fleet control.LearnedFleet, confidence float64, replicas ...control.LearnedReplica) (*Policy, []control.Command) {
	p := New(testSettings())
	events := []control.Event{control.FleetRestored{LearnedFleet: fleet, Confidence: confidence}, control.ReplicasListed{Full: true, Entries: list}}
	for _, learned := range replicas {
		events = append(events, control.ReplicaRestored{LearnedReplica: learned, Confidence: confidence, Age: second})
	}
	for proxy := range 6 {
		events = append(events, control.StreamOpened{Proxy: proxy, Zone: proxy % 2, ForecastRate: 10})
	}
	return p, p.Turn(100*second, events)
}

func TestRestoredSpeedIsWeightedByItsConfidence(t *testing.T) {
	for _, c := range []struct{ speed, weight, want float64 }{{0.25, 1, 0.25}, {0.25, 0.5, 0.5}, {0.25, 0.01, 0.986}, {4, 0.5, 2}} {
		p, _ := restoredPolicy(readyReplicas(4), fullyAdmittedFleet(), c.weight, learnedReplica(1, c.speed))
		if r := p.replicas[1]; math.Abs(r.estimate.Speed-c.want) > 0.001 || math.Abs(r.estimate.Confidence-16*c.weight) > 0.001 {
			t.Errorf("restored speed %v at confidence %v: got speed %v, confidence %v", c.speed, c.weight, r.estimate.Speed, r.estimate.Confidence)
		}
	}
}

func TestFirstLoadReportsOverrideARestoredSpeed(t *testing.T) {
	p, _ := restoredPolicy(readyReplicas(4), fullyAdmittedFleet(), 1, learnedReplica(1, 1.0/16), learnedReplica(2, 1), learnedReplica(3, 1), learnedReplica(4, 1))
	wantEqual(t, "speed right after the restore", p.replicas[1].estimate.Speed, 1.0/16)
	for k := int64(1); k <= 16; k++ {
		var events []control.Event
		for id := uint32(1); id <= 4; id++ {
			events = append(events, control.OutcomeReport{Replica: id, Attempts: 10, ResponseTime: second / 10, Period: second / 4})
		}
		p.Turn(100*second+k*maxTickInterval, append(events, control.TimerFired{}))
	}
	if speed := p.replicas[1].estimate.Speed; speed < 0.8 {
		t.Errorf("speed %v after 4 s of the same responses as its peers, want at least 0.8", speed)
	}
	wantEqual(t, "confidence in the restored speed is below 0.01", p.replicas[1].estimate.Confidence < 0.01, true)
}

// Restored ejections must not leave a table that proxies are bound to without an endpoint that is not ejected.
func TestRestoredEjectionsLeaveEachProxyAnEndpoint(t *testing.T) {
	ejected := func(ids ...uint32) []control.LearnedReplica {
		var replicas []control.LearnedReplica
		for _, id := range ids {
			learned := learnedReplica(id, 1)
			learned.RemainingEjection = 3 * second
			learned.EjectionCount = 1
			replicas = append(replicas, learned)
		}
		return replicas
	}
	for _, c := range []struct {
		name     string
		replicas []control.LearnedReplica
	}{{"one replica", ejected(3)}, {"all replicas of a table", ejected(1, 3, 5)}, {"all replicas", ejected(1, 2, 3, 4, 5, 6)}} {
		t.Run(c.name, func(t *testing.T) {
			fleet := fullyAdmittedFleet()
			fleet.TableCount = 1
			_, commands := restoredPolicy(readyReplicas(6), fleet, 1, c.replicas...)
			ejected, endpoints, bound := map[uint32]bool{}, map[int][]uint32{}, map[int]int{}
			for _, command := range commands {
				switch command := command.(type) {
				case control.SetEjected:
					ejected[command.Replica] = command.Ejected
				case control.SetEndpoint:
					endpoints[command.Table] = append(endpoints[command.Table], command.Replica)
				case control.Bind:
					bound[command.Proxy] = command.Table
				}
			}
			wantEqual(t, "ejected replicas", len(ejected), 0)
			wantEqual(t, "bound proxies", len(bound), 6)
			for proxy, table := range bound {
				remaining := 0
				for _, id := range endpoints[table] {
					if !ejected[id] {
						remaining++
					}
				}
				if remaining == 0 {
					t.Errorf("proxy %d has no endpoint that is not ejected", proxy)
				}
			}
		})
	}
}

// A replica that was ejected or on probation at the earlier controller starts with a reduced weight. Its first attempts
// decide whether it gets its full weight or is ejected.
func TestRestoredUnhealthyReplicaIsOnProbationWithReducedWeight(t *testing.T) {
	for _, c := range []struct {
		learned              control.LearnedReplica
		confidence, fraction float64
		failures             int
		ejected              bool
	}{
		{control.LearnedReplica{RemainingEjection: second, EjectionCount: 1}, 1, outlier.RestoredWeightFraction, 0, false},
		{control.LearnedReplica{RemainingEjection: second, EjectionCount: 1}, 1, outlier.RestoredWeightFraction, 5, true},
		{control.LearnedReplica{Probation: true, EjectionCount: 2}, 0.5, math.Sqrt(outlier.RestoredWeightFraction), 5, true},
		{control.LearnedReplica{EjectionCount: 2}, 1, 1, 0, false},
	} {
		c.learned.Replica = 1
		c.learned.Speed = 1
		p, commands := restoredPolicy(readyReplicas(4), fullyAdmittedFleet(), c.confidence, c.learned)
		r := p.replicas[1]
		if math.Abs(1-r.detector.Penalty()-c.fraction) > 1e-9 {
			t.Errorf("%+v: penalty %v, want %v", c.learned, r.detector.Penalty(), 1-c.fraction)
		}
		wantEqual(t, "number of ejections", r.detector.Ejections(), int(math.Round(float64(c.learned.EjectionCount)*c.confidence)))
		for _, command := range ofType[control.SetEndpoint](commands) {
			if command.Replica == 1 && command.Weight > c.fraction+1e-9 {
				t.Errorf("%+v: endpoint weight %v, want at most %v", c.learned, command.Weight, c.fraction)
			}
		}
		events := []control.Event{control.TimerFired{}, control.OutcomeReport{Replica: 1, Attempts: 5, Failures: c.failures, ResponseTime: second / 10, Period: second}}
		for id := uint32(2); id <= 4; id++ {
			events = append(events, control.OutcomeReport{Replica: id, Attempts: 20, ResponseTime: second / 10, Period: second})
		}
		p.Turn(101*second, events)
		p.Turn(101*second+maxTickInterval, []control.Event{control.TimerFired{}})
		wantEqual(t, "ejected after its first attempts", r.detector.Ejected(), c.ejected)
		wantEqual(t, "on probation after its first attempts", r.detector.OnProbation() || r.detector.Penalty() > 0, false)
	}
}

// weightFraction returns the fraction of its listed weight that a replica gets because of slow start, without the factor of
// its speed.
func weightFraction(r *replica) float64 { return r.status().weight / r.estimate.Speed / r.entry.Weight }

// A replica that has just started is in slow start, whatever learned state is restored for it. If another start time is
// listed later, the confidence in the restored speed ends.
func TestRestoredStateDoesNotShortenSlowStart(t *testing.T) {
	starting := readyReplicas(4)
	starting[0].StartedAt = 99 * second
	withoutLearnedState, _ := restoredPolicy(starting, fullyAdmittedFleet(), 1)
	p, _ := restoredPolicy(starting, fullyAdmittedFleet(), 1, learnedReplica(1, 16))
	wantEqual(t, "weight fraction with and without learned state", weightFraction(p.replicas[1]), weightFraction(withoutLearnedState.replicas[1]))
	wantEqual(t, "in slow start", p.replicas[1].status().warmingUp, true)
	warmedUp, _ := restoredPolicy(readyReplicas(4), fullyAdmittedFleet(), 1, learnedReplica(1, 16))
	warmedUp.Turn(101*second, []control.Event{control.ReplicasListed{Entries: []control.ListedReplica{{Replica: 1, Zone: 1, Weight: 1, StartedAt: 100 * second}}}})
	wantEqual(t, "confidence in the restored speed after a restart of the replica", warmedUp.replicas[1].estimate.Confidence, 0.0)
}

func TestRestoredFleetStateIsWeightedByItsConfidence(t *testing.T) {
	fleet := control.LearnedFleet{TableCount: 1, AdmissionThreshold: 0.5, MaxSuccessRate: 40, RetriesStopped: true, BaselineResponseTimes: [][]float64{{0.1, 0.2, 0.3, 0.4}},
		RequestRates: []control.ClassRate{{Proxy: 0, Class: 0, Rate: 30}, {Proxy: 0, Class: 1, Rate: 20}}, Bindings: []control.Binding{{Proxy: 0, Table: 0}}}
	for _, c := range []struct {
		confidence, admitted float64
		retriesStopped       bool
		baselines            int
		rate                 float64
	}{{1, 0.5, true, 4, 50}, {0.5, 0.75, true, 2, 30}, {0.1, 0.95, false, 0, 14}} {
		p, _ := restoredPolicy(readyReplicas(4), fleet, c.confidence)
		p.Turn(100*second, []control.Event{control.TimerFired{}})
		wantEqual(t, "retries stopped", p.admission.retries.Stopped(), c.retriesStopped)
		wantEqual(t, "number of baseline response times", len(p.placement.baselines.Snapshot(1)[0]), c.baselines)
		wantEqual(t, "request rate of the proxy", math.Round(p.binding.bindings.Proxies()[0].ForecastRate), c.rate)
		if admitted := p.admission.threshold.AdmittedFraction(); math.Abs(admitted-c.admitted) > 0.02 {
			t.Errorf("admitted fraction %v, want %v", admitted, c.admitted)
		}
	}
}

func TestSnapshotOfARestoredPolicyEqualsTheRestoredState(t *testing.T) {
	replicas := []control.LearnedReplica{learnedReplica(1, 0.5), learnedReplica(2, 1.5), learnedReplica(3, 1), learnedReplica(4, 1)}
	replicas[1].Probation = true
	replicas[1].EjectionCount = 2
	fleet := control.LearnedFleet{TableCount: 1, AdmissionThreshold: 0.5, MaxSuccessRate: 40, BaselineResponseTimes: [][]float64{nil, {0.125}},
		Bindings: sixBindings()}
	p, _ := restoredPolicy(readyReplicas(4), fleet, 1, replicas...)
	snapshots := ofType[control.Snapshot](p.Turn(100*second, []control.Event{control.SnapshotRequested{}}))
	if len(snapshots) != 1 {
		t.Fatalf("got %d snapshots, want 1", len(snapshots))
	}
	for k := range replicas {
		replicas[k].SinceLastSample = second
	}
	if !reflect.DeepEqual(snapshots[0].Replicas, replicas) {
		t.Errorf("learned state of replicas:\ngot  %+v\nwant %+v", snapshots[0].Replicas, replicas)
	}
	snapshots[0].RequestRates = nil
	if !reflect.DeepEqual(snapshots[0].LearnedFleet, fleet) {
		t.Errorf("learned state of the fleet:\ngot  %+v\nwant %+v", snapshots[0].LearnedFleet, fleet)
	}
}

func TestReplicasKeepTheirRestoredTablesIfTheTableCountIsEqual(t *testing.T) {
	settings := testSettings()
	settings.Proxies = 120
	settings.ChannelLimit = 4000
	assigned := func(tables int) map[uint32]int {
		p := New(settings)
		fleet := fullyAdmittedFleet()
		fleet.TableCount = tables
		events := []control.Event{control.FleetRestored{LearnedFleet: fleet, Confidence: 1}, control.ReplicasListed{Full: true, Entries: readyReplicas(40)}}
		for id := uint32(1); id <= 40; id++ {
			learned := learnedReplica(id, 1)
			learned.Table = int(id%2) + 2*int(id/2%4)
			events = append(events, control.ReplicaRestored{LearnedReplica: learned, Confidence: 1})
		}
		p.Turn(0, events)
		return p.placement.placer.Assigned()
	}
	for id, table := range assigned(8) {
		wantEqual(t, "table of a replica", table, int(id%2)+2*int(id/2%4))
	}
	replicas := map[int]int{}
	for _, table := range assigned(4) { // the number of tables differs from the restored number: all replicas are reassigned
		replicas[table]++
	}
	wantEqual(t, "tables after the reassignment", len(replicas), 8)
}

func sixBindings() []control.Binding {
	var bindings []control.Binding
	for proxy := range 6 {
		bindings = append(bindings, control.Binding{Proxy: proxy})
	}
	return bindings
}
