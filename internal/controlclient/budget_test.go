package controlclient

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"lilacbend/experiment/scriptedpeer"
)

// reported is what a governor has heard of a collector.
type reported struct {
	bytes    int
	attempts map[string]int // by replica
}

// hearOutcomes takes a message in.
func (r *reported) hearOutcomes(t *testing.T, text string) {
	t.Helper()
	words := strings.Fields(text)
	if len(words) < 7 || words[0] != "outcomes" || words[3] != "target" || words[5] != "count" {
		t.Fatalf("%q, want outcomes of a replica", text)
	}
	attempts, err := strconv.Atoi(words[6])
	if err != nil {
		t.Fatal(err)
	}
	r.bytes += len(scriptedpeer.Message(text))
	r.attempts[words[4]] += attempts
}

// The reports to a governor keep to their budget, though sidecars tell of many more replicas. Each attempt is told once in the end, and a
// replica that fails before most others that have as much to tell.
func TestReportsKeepToTheBudgetOfAGovernor(t *testing.T) {
	const (
		every    = 50 * time.Millisecond
		budget   = 8000
		replicas = 60
		failing  = "replica-41"
	)
	l := scriptedpeer.Listen(t)
	_, at, _ := collectsWithin(t, every, budget, l)
	governor := l.Take()
	governor.Hears("agent site a")
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
		sidecar.Say(messages...)
	}
	heard := reported{attempts: map[string]int{}}
	tell(0)
	for len(heard.attempts) < replicas { // a first report of each
		heard.hearOutcomes(t, governor.Hears("outcomes"))
	}
	tell(10)
	before := 0
	for text := ""; !strings.Contains(text, failing+" count 10 fail 10 "); before++ {
		if before == replicas/2 {
			t.Fatalf("%d others come before the one that fails", before)
		}
		text = governor.Hears("outcomes")
		heard.hearOutcomes(t, text)
	}
	for sum := 0; sum < 20*replicas; {
		heard.hearOutcomes(t, governor.Hears("outcomes"))
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

// A governor that comes back is told first of what fails, though the one before it knew.
func TestAGovernorThatIsStartedAnewHearsFirstOfWhatFails(t *testing.T) {
	const every = 50 * time.Millisecond
	l := scriptedpeer.Listen(t)
	c, at, _ := collectsWithin(t, every, 0, l)
	governor := l.Take()
	governor.Hears("agent site a")
	sidecar := scriptedpeer.Dial(t, at)
	for range 3 {
		sidecar.Say("met target b count 10 fail 10 mean 0")
		governor.Hears("outcomes site a target b count 10 fail 10 ")
	}
	pending := c.pending[0]
	known := func() float64 {
		pending.mu.Lock()
		defer pending.mu.Unlock()
		return pending.outcomes.Expected("b")
	}
	if known() < 0.9 {
		t.Errorf("a failing share of %v is expected, want most", known())
	}
	governor.Reset()
	l.Take().Hears("agent site a")
	scriptedpeer.Until(t, "the new governor is taken to know", func() bool { return known() == 0 })
}
