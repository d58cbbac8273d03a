package seeds

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	"lilacbend/control"
	"lilacbend/internal/controller"
	"lilacbend/internal/golden"
)

const digestsFile = "digests.golden"

// goldenSeeds is the number of seeds of each profile whose digests are in the golden file. The first seed is 1.
var goldenSeeds = []struct {
	profile string
	seeds   int
}{{"rules", 3}, {"overload", 2}, {"fleet", 2}}

// digests simulates the golden seeds and returns one line for each.
func digests(t *testing.T) []byte {
	t.Helper()
	lines := make([][]string, len(goldenSeeds))
	var goroutines sync.WaitGroup
	for k, entry := range goldenSeeds {
		goroutines.Go(func() {
			Profiles[entry.profile].Run(1, entry.seeds, entry.seeds, func(r Result) {
				lines[k] = append(lines[k], fmt.Sprintf("%s seed %d: digest %016x, %d faults, %d breaches\n", entry.profile, r.Seed, r.Digest, len(r.Script), len(r.Violations)))
			})
		})
	}
	goroutines.Wait()
	return []byte(strings.Join(slices.Concat(lines...), ""))
}

func TestSeedDigestsMatchGoldenFile(t *testing.T) {
	output := digests(t)
	golden.Compare(t, digestsFile, output)
	golden.CheckDetectsChange(t, digestsFile, output)
}

// firstWeightChanger slightly changes the first nonzero endpoint weight that the module sets, and no other command.
type firstWeightChanger struct {
	controller.Module
	changed bool
}

func (m *firstWeightChanger) Turn(now int64, events []control.Event) []control.Command {
	commands := m.Module.Turn(now, events)
	for k, command := range commands {
		if endpoint, is := command.(control.SetEndpoint); is && !m.changed && endpoint.Weight > 0 {
			endpoint.Weight *= 1.0001
			commands[k] = endpoint
			m.changed = true
		}
	}
	return commands
}

func TestDigestChangesWithOneWeight(t *testing.T) {
	p := Profiles["rules"]
	unchanged := p.Play(1, p.RandomFaults(1), nil)
	p.WrapModule = func(m controller.Module) controller.Module { return &firstWeightChanger{Module: m} }
	if changed := p.Play(1, p.RandomFaults(1), nil); changed.Digest == unchanged.Digest {
		t.Errorf("digest is %016x with and without the changed weight", unchanged.Digest)
	}
}
