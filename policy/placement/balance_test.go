package placement

import (
	"math"
	"testing"
	"time"

	"lilacbend/control"
)

func TestHeadroomIsLargerWhereProxiesPickByLoad(t *testing.T) {
	for pick, want := range map[control.PickPolicy]float64{
		control.PickRandom: 1.1, control.PickRoundRobin: 1.1, control.PickPowerOfTwo: 1.35,
	} {
		if got := headroom(pick); got != want {
			t.Errorf("pick policy %d: got %v, want %v", pick, got, want)
		}
	}
}

func TestEjectedReplicasCountAsCapacityUnlessManyAreEjected(t *testing.T) {
	for _, c := range []struct {
		name             string
		serving, ejected int
		want             float64
	}{
		{"no replica is ejected", 10, 0, 10},
		{"a few replicas are ejected: their capacity counts", 7, 3, 10},
		{"many replicas are ejected: their capacity does not count", 5, 5, 5},
		{"all replicas are ejected", 0, 10, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var replicas []*placedReplica
			for range c.serving {
				replicas = append(replicas, &placedReplica{Replica: readyReplica(1, 0)})
			}
			for range c.ejected {
				replicas = append(replicas, &placedReplica{Replica: readyReplica(1, 0), excluded: true})
			}
			replicas = append(replicas, &placedReplica{Replica: goneReplica(2, 0), excluded: true})
			b := newBalance(Input{Settings: settings()}, replicas, 1)
			if got := b.capacity[0]; got != c.want {
				t.Errorf("got capacity %v, want %v", got, c.want)
			}
		})
	}
}

func TestNeedCountsDemandOnceHalfOfTheProxiesAreConnected(t *testing.T) {
	now := time.Hour
	demand := Demand{Period: 8 * time.Second, Requests: map[int]float64{1: 160}}
	for _, c := range []struct {
		name      string
		since     time.Duration
		connected int // number of connected proxies, of six
		want      float64
	}{
		{"just connected: forecast and received requests", now, 3, (10*4 + 160) / 4.0},
		{"connected for a long time: forecast counts less", 0, 3, (10*4 + 160) / (4.0 + 8)},
		{"fewer than half of the proxies are connected", 0, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			in := Input{Now: now, Settings: settings(), Demand: demand}
			for proxy := 1; proxy <= c.connected; proxy++ {
				in.Proxies = append(in.Proxies, Proxy{ID: proxy, Table: min(1, proxy-1), Rate: 10, ConnectedAt: c.since})
			}
			if got := newBalance(in, nil, 2).need[0]; math.Abs(got-c.want) > 1e-9 {
				t.Errorf("got a need of %v requests per second, want %v", got, c.want)
			}
		})
	}
}

func TestShortfallAndSpareFraction(t *testing.T) {
	b := &balance{headroom: 1.25, need: []float64{60, 20, 0}, capacity: []float64{10, 10, 20}, totalNeed: 80, totalCapacity: 40}
	for table, want := range []struct{ shortfall, spare float64 }{{14, 0}, {-2, 0}, {minShortfallNeed - 20, 1}} {
		if got := b.shortfall(table); math.Abs(got-want.shortfall) > 1e-9 {
			t.Errorf("table %d has a shortfall of %v, want %v", table, got, want.shortfall)
		}
		if got := b.spareFraction(table); math.Abs(got-want.spare) > 1e-9 {
			t.Errorf("table %d has a spare fraction of %v, want %v", table, got, want.spare)
		}
	}
}

func TestServingTable(t *testing.T) {
	b := &balance{capacity: []float64{0, 5, 1, 0, 3, 0}} // two zones
	for table, want := range []int{4, 1, 2, 1, 4, 1} {
		if got := b.servingTable(table, 2); got != want {
			t.Errorf("table %d is served by %d, want %d", table, got, want)
		}
	}
	emptyZone := &balance{capacity: []float64{0, 5, 0}}
	if got := emptyZone.servingTable(2, 2); got != 2 {
		t.Errorf("a zone without replicas is served by table %d, want its own", got)
	}
}
