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

// goldenSeeds are those of which the digest is held, by profile.
var goldenSeeds = []struct {
	profile string
	seeds   int
}{{"rules", 3}, {"overload", 2}, {"fleet", 2}}

// digests plays the golden seeds and returns a line for each.
func digests(t *testing.T) []byte {
	t.Helper()
	lines := make([][]string, len(goldenSeeds))
	var all sync.WaitGroup
	for k, g := range goldenSeeds {
		all.Go(func() {
			Profiles[g.profile].Run(1, g.seeds, g.seeds, func(r Result) {
				lines[k] = append(lines[k], fmt.Sprintf("%s seed %d: digest %016x, %d faults, %d breaches\n", g.profile, r.Seed, r.Digest, len(r.Script), len(r.Breaches)))
			})
		})
	}
	all.Wait()
	return []byte(strings.Join(slices.Concat(lines...), ""))
}

func TestDigestsOfSeedsAreThoseOfTheGoldenFile(t *testing.T) {
	output := digests(t)
	golden.Compare(t, digestsFile, output)
	golden.CheckDetectsChange(t, digestsFile, output)
}

// oneWeight changes the weight of the first endpoint that the module sets, by little, and nothing after it.
type oneWeight struct {
	controller.Module
	changed bool
}

func (m *oneWeight) Turn(now int64, events []control.Event) []control.Command {
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
	before := p.Play(1, p.Draw(1), nil)
	p.WrapModule = func(m controller.Module) controller.Module { return &oneWeight{Module: m} }
	if after := p.Play(1, p.Draw(1), nil); after.Digest == before.Digest {
		t.Errorf("digest %016x with and without the change", before.Digest)
	}
}
