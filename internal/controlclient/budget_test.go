package controlclient

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
)

// reported is what a controller has received from a collector.
type reported struct {
	bytes    int
	attempts map[string]int // by replica
}

// add adds a message.
func (r *reported) add(t *testing.T, text string) {
	t.Helper()
	words := strings.Fields(text)
	if len(words) < 7 || words[0] != "outcomes" || words[3] != "target" || words[5] != "count" {
		t.Fatalf("%q, want outcomes of a replica", text)
	}
	attempts, err := strconv.Atoi(words[6])
	if err != nil {
		t.Fatal(err)
	}
	r.bytes += len(scriptedpeer.EncodeMessage(text))
	r.attempts[words[4]] += attempts
}

// The reports to a controller keep to their budget, though sidecars report many more replicas. Each attempt is reported once in the
// end, and a replica that fails before most others with as many attempts.
func TestReportsKeepToTheBudget(t *testing.T) {
	const (
		every    = 50 * time.Millisecond
		budget   = 8000
		replicas = 60
		failing  = "replica-41"
	)
	l := scriptedpeer.Listen(t)
	_, at, _ := collectsWithin(t, every, budget, l)
	controller := l.AcceptConn()
	controller.WaitForMessage("agent site a")
	sidecar := scriptedpeer.Dial(t, at)
	began := time.Now()
	told := map[string]int{}
	tell := func(failures int) {
		var messages []string
		for k := range replicas {
			name := fmt.Sprintf("replica-%02d", k)
			told[name] += 10
			missed := 0
			if name == failing {
				missed = failures
			}
			messages = append(messages, fmt.Sprintf("met target %s count 10 fail %d mean 20", name, missed))
		}
		sidecar.Send(messages...)
	}
	heard := reported{attempts: map[string]int{}}
	tell(0)
	for len(heard.attempts) < replicas { // a first report of each
		heard.add(t, controller.WaitForMessage("outcomes"))
	}
	tell(10)
	before := 0
	for text := ""; !strings.Contains(text, failing+" count 10 fail 10 "); before++ {
		if before == replicas/2 {
			t.Fatalf("%d others come before the one that fails", before)
		}
		text = controller.WaitForMessage("outcomes")
		heard.add(t, text)
	}
	for sum := 0; sum < 20*replicas; {
		heard.add(t, controller.WaitForMessage("outcomes"))
		sum = 0
		for _, attempts := range heard.attempts {
			sum += attempts
		}
	}
	for name, attempts := range told {
		if heard.attempts[name] != attempts {
			t.Errorf("%s: %d attempts reported, want %d", name, heard.attempts[name], attempts)
		}
	}
	const message = 200 // is more than one takes
	if most := int(budget*(time.Since(began)+2*every).Seconds()) + message; heard.bytes > most {
		t.Errorf("%d bytes in %v, want %d at the most", heard.bytes, time.Since(began), most)
	}
	if least := 2 * replicas * 100; heard.bytes < least {
		t.Errorf("%d bytes, too few to show that the budget holds them back", heard.bytes)
	}
}

// first returns the replica of the next outcomes that a controller receives.
func first(t *testing.T, controller *scriptedpeer.Conn) string {
	t.Helper()
	r := reported{attempts: map[string]int{}}
	r.add(t, controller.WaitForMessage("outcomes"))
	for replica := range r.attempts {
		return replica
	}
	return ""
}

// A controller that knows of a failing replica gets reports in the order of their age. One that is restarted gets the failures first,
// though the one before knew of them.
func TestRestartedControllerGetsFailuresFirst(t *testing.T) {
	const (
		every   = 50 * time.Millisecond
		failing = "met target failing count 12 fail 12 mean 0"
		healthy = "met target healthy count 10 fail 0 mean 20"
	)
	l := scriptedpeer.Listen(t)
	_, at, _ := collectsWithin(t, every, 0, l)
	controller := l.AcceptConn()
	controller.WaitForMessage("agent site a")
	sidecar := scriptedpeer.Dial(t, at)
	known := false
	for round := 0; round < 10 && !known; round++ { // a round may begin between two messages, so that one is reported alone
		sidecar.Send(healthy) // reported before the other, so it is the older one
		controller.WaitForMessage("outcomes site a target healthy count 10 fail 0 ")
		sidecar.Send(failing)
		controller.WaitForMessage("outcomes site a target failing count 12 fail 12 ")
		sidecar.Send(failing, healthy)
		known = first(t, controller) == "healthy"
		controller.WaitForMessage("outcomes")
	}
	if !known {
		t.Error("the failing replica always comes first, though the controller knows of it")
	}
	controller.Reset()
	restarted := l.AcceptConn()
	restarted.WaitForMessage("agent site a")
	sidecar.Send(failing, healthy)
	if replica := first(t, restarted); replica != "failing" {
		t.Errorf("a restarted controller gets %s first", replica)
	}
}

func TestPendingOutcomesAreNewsToANewConnection(t *testing.T) {
	pending := newPendingOutcomes(time.Second, 0)
	round := func(reports ...outcomeReport) []string {
		for _, report := range reports {
			pending.add(report)
		}
		pending.begin()
		var order []string
		for {
			report, ok := pending.next()
			if !ok {
				return order
			}
			order = append(order, report.Key)
		}
	}
	failing := outcomeReport{"failing", 12, 12, 0}
	healthy := outcomeReport{"healthy", 10, 0, 20}
	round(healthy)
	round(failing)
	if order := round(failing, healthy); !slices.Equal(order, []string{"healthy", "failing"}) {
		t.Errorf("a controller that knows both gets %v", order)
	}
	pending.connected()
	if order := round(failing, healthy); !slices.Equal(order, []string{"failing", "healthy"}) {
		t.Errorf("a new one gets %v", order)
	}
}
