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

// receivedReports sums the outcomes that a controller has received from a collector.
type receivedReports struct {
	bytes    int
	attempts map[string]int // by replica
}

// add adds an outcomes message.
func (r *receivedReports) add(t *testing.T, text string) {
	t.Helper()
	words := strings.Fields(text)
	if len(words) < 7 || words[0] != "outcomes" || words[3] != "target" || words[5] != "count" {
		t.Fatalf("received %q, want an outcomes message of a replica", text)
	}
	attempts, err := strconv.Atoi(words[6])
	if err != nil {
		t.Fatal(err)
	}
	r.bytes += len(scriptedpeer.EncodeMessage(text))
	r.attempts[words[4]] += attempts
}

// The reports to a controller stay within their budget, although sidecars report more replicas than the budget allows at
// once. Each attempt is reported exactly once in the end, and a failing replica is reported before most healthy replicas
// with the same number of attempts.
func TestReportsKeepToTheBudget(t *testing.T) {
	const (
		interval = 50 * time.Millisecond
		budget   = 8000
		replicas = 60
		failing  = "replica-41"
	)
	l := scriptedpeer.Listen(t)
	_, address, _ := startCollectorWithBudget(t, interval, budget, l)
	controller := l.AcceptConn()
	controller.WaitForMessage("agent site a")
	sidecar := scriptedpeer.Dial(t, address)
	began := time.Now()
	sentAttempts := map[string]int{}
	sendReports := func(failures int) {
		var messages []string
		for k := range replicas {
			name := fmt.Sprintf("replica-%02d", k)
			sentAttempts[name] += 10
			failed := 0
			if name == failing {
				failed = failures
			}
			messages = append(messages, fmt.Sprintf("met target %s count 10 fail %d mean 20", name, failed))
		}
		sidecar.Send(messages...)
	}
	received := receivedReports{attempts: map[string]int{}}
	sendReports(0)
	for len(received.attempts) < replicas { // wait for a first report of each replica
		received.add(t, controller.WaitForMessage("outcomes"))
	}
	sendReports(10)
	before := 0
	for text := ""; !strings.Contains(text, failing+" count 10 fail 10 "); before++ {
		if before == replicas/2 {
			t.Fatalf("%d other replicas are reported before the failing one, want fewer", before)
		}
		text = controller.WaitForMessage("outcomes")
		received.add(t, text)
	}
	for sum := 0; sum < 20*replicas; {
		received.add(t, controller.WaitForMessage("outcomes"))
		sum = 0
		for _, attempts := range received.attempts {
			sum += attempts
		}
	}
	for name, attempts := range sentAttempts {
		if received.attempts[name] != attempts {
			t.Errorf("replica %s: %d attempts reported, want %d", name, received.attempts[name], attempts)
		}
	}
	const message = 200 // bytes; larger than one message
	if limit := int(budget*(time.Since(began)+2*interval).Seconds()) + message; received.bytes > limit {
		t.Errorf("%d bytes reported in %v, want at most %d", received.bytes, time.Since(began), limit)
	}
	if minimum := 2 * replicas * 100; received.bytes < minimum {
		t.Errorf("%d bytes reported, want at least %d for the budget to have an effect", received.bytes, minimum)
	}
}

// nextReplica returns the replica of the next outcomes message that a controller receives.
func nextReplica(t *testing.T, controller *scriptedpeer.Conn) string {
	t.Helper()
	r := receivedReports{attempts: map[string]int{}}
	r.add(t, controller.WaitForMessage("outcomes"))
	for replica := range r.attempts {
		return replica
	}
	return ""
}

// A controller that has already received the failures of a replica receives reports in the order of their age. After its
// restart, the controller receives the failures first, although it received them before as well.
func TestRestartedControllerGetsFailuresFirst(t *testing.T) {
	const (
		interval = 50 * time.Millisecond
		failing  = "met target failing count 12 fail 12 mean 0"
		healthy  = "met target healthy count 10 fail 0 mean 20"
	)
	l := scriptedpeer.Listen(t)
	_, address, _ := startCollectorWithBudget(t, interval, 0, l)
	controller := l.AcceptConn()
	controller.WaitForMessage("agent site a")
	sidecar := scriptedpeer.Dial(t, address)
	known := false
	for round := 0; round < 10 && !known; round++ { // a round may begin between the two messages and report only one of the two replicas
		sidecar.Send(healthy) // the first of the two replicas to be reported, so its last report is the older one
		controller.WaitForMessage("outcomes site a target healthy count 10 fail 0 ")
		sidecar.Send(failing)
		controller.WaitForMessage("outcomes site a target failing count 12 fail 12 ")
		sidecar.Send(failing, healthy)
		known = nextReplica(t, controller) == "healthy"
		controller.WaitForMessage("outcomes")
	}
	if !known {
		t.Error("the failing replica is always reported first, although the controller knows of it")
	}
	controller.Reset()
	restarted := l.AcceptConn()
	restarted.WaitForMessage("agent site a")
	sidecar.Send(failing, healthy)
	if replica := nextReplica(t, restarted); replica != "failing" {
		t.Errorf("a restarted controller receives replica %s first, want the failing one", replica)
	}
}

func TestPendingOutcomesAreChangesForANewConnection(t *testing.T) {
	pending := newPendingOutcomes(time.Second, 0)
	round := func(reports ...outcomeReport) []string {
		for _, report := range reports {
			pending.add(0, report)
		}
		pending.beginRound()
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
		t.Errorf("connected controller: order of reports %v, want healthy, failing", order)
	}
	pending.recordConnection()
	if order := round(failing, healthy); !slices.Equal(order, []string{"failing", "healthy"}) {
		t.Errorf("after a new connection: order of reports %v, want failing, healthy", order)
	}
}
