package configstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lilacbend/internal/configapi"
	"lilacbend/internal/revision"
)

// checkObject accepts a JSON object without the key "bad".
func checkObject(settings []byte) error {
	var o map[string]any
	if err := json.Unmarshal(settings, &o); err != nil {
		return err
	}
	if _, bad := o["bad"]; bad {
		return errors.New("setting bad is bad")
	}
	return nil
}

// newWriter returns a writer's store that has begun an epoch.
func newWriter(t testing.TB, epoch uint64) *Store {
	s := New(checkObject)
	if err := s.BeginEpoch(epoch, 0); err != nil {
		t.Fatal(err)
	}
	return s
}

func put(t testing.TB, s *Store, name, settings string) {
	t.Helper()
	if _, err := s.Put(name, []byte(settings), 0); err != nil {
		t.Fatal(err)
	}
}

func version(epoch, revisionNumber uint64) revision.Version {
	return revision.Version{Epoch: epoch, Revision: revisionNumber}
}

// Only valid settings that differ from the stored ones get a new revision. Invalid settings leave the last valid ones in
// place.
func TestPutGivesRevisionToValidChange(t *testing.T) {
	s := newWriter(t, 5)
	for k, step := range []struct {
		name, settings string
		changed        bool
		wantError      string
		revision       uint64
	}{
		{"orders", `{"a": 1}`, true, "", 1},
		{"orders", `{"a":1}`, false, "", 1}, // the same settings with other white space
		{"orders", `{"a": 1, "bad": 2}`, false, "setting bad is bad", 1},
		{"orders", `{"a": 1`, false, "unexpected end", 1},
		{"orders", ``, false, "unexpected end", 1},
		{"payouts", `{"b": 1}`, true, "", 2},
		{"orders", `{"a": 2}`, true, "", 3},
		{"", `{}`, false, "no name of a service", 3},
		{".hidden", `{}`, false, "begins with a dot", 3},
		{"a/b", `{}`, false, "no name of a service", 3},
		{strings.Repeat("x", 129), `{}`, false, "129 bytes", 3},
		{"large", `{"x":"` + strings.Repeat("x", MaxSettingsSize) + `"}`, false, "at most 1048576", 3},
	} {
		changed, err := s.Put(step.name, []byte(step.settings), 0)
		if changed != step.changed || (err != nil) != (step.wantError != "") || err != nil && !strings.Contains(err.Error(), step.wantError) || s.Version() != version(5, step.revision) {
			t.Errorf("step %d: changed %v, %v, %s", k, changed, err, s.Version())
		}
	}
	answer, result := s.Answer(configapi.Query{Service: "orders"}, 0)
	if result != Changed || string(answer.Services[0].Settings) != `{"a":2}` || answer.Version != version(5, 3) || !answer.Complete {
		t.Errorf("answer with services %+v, result %v, want the settings of 5.3", answer.Services, result)
	}
	if !s.Remove("orders") || s.Remove("orders") || s.Version() != version(5, 4) {
		t.Errorf("version %s after the removal, want 5.4 and one removal", s.Version())
	}
}

// The version that is active at a follower decides whether its answer has no change, the changes, or a complete copy.
func TestAnswerByQuery(t *testing.T) {
	s := newWriter(t, 5)
	put(t, s, "orders", `{"a":1}`)  // version 5.1
	put(t, s, "payouts", `{"b":1}`) // version 5.2
	put(t, s, "stock", `{"c":1}`)   // version 5.3
	s.Remove("payouts")             // version 5.4
	put(t, s, "orders", `{"a":2}`)  // version 5.5
	for _, c := range []struct {
		query    configapi.Query
		result   Result
		complete bool
		services string
		version  revision.Version
	}{
		{configapi.Query{Service: "orders"}, Changed, true, "orders", version(5, 5)},
		{configapi.Query{Service: "orders", Since: version(5, 1)}, Changed, false, "orders", version(5, 5)},
		{configapi.Query{Service: "orders", Since: version(5, 5)}, Unchanged, false, "", version(5, 5)},
		{configapi.Query{Service: "orders", Since: version(5, 1), Rejected: version(5, 5)}, Unchanged, false, "", version(5, 5)},
		{configapi.Query{Service: "orders", Since: version(4, 900)}, Changed, true, "orders", version(5, 5)},
		{configapi.Query{Service: "orders", Since: version(6, 1)}, Unchanged, false, "", version(5, 5)}, // a follower of a later epoch receives nothing older
		{configapi.Query{Service: "payouts"}, UnknownService, false, "", version(0, 0)},
		{configapi.Query{Service: "stock", Since: version(5, 3)}, Unchanged, false, "", version(5, 3)}, // other services' changes do not matter
		{configapi.Query{}, Changed, true, "orders,stock", version(5, 5)},
		{configapi.Query{Since: version(5, 3)}, Changed, false, "orders,-payouts", version(5, 5)},
		{configapi.Query{Since: version(5, 4)}, Changed, false, "orders", version(5, 5)},
		{configapi.Query{Since: version(5, 5)}, Unchanged, false, "", version(5, 5)},
		{configapi.Query{Since: version(4, 5)}, Changed, true, "orders,stock", version(5, 5)},
	} {
		answer, result := s.Answer(c.query, 0)
		var names []string
		for _, service := range answer.Services {
			if service.Removed {
				service.Name = "-" + service.Name
			}
			names = append(names, service.Name)
		}
		if result != c.result || answer.Complete != c.complete || strings.Join(names, ",") != c.services || answer.Version != c.version {
			t.Errorf("query %+v: result %v, complete %v, services %v, version %s", c.query, result, answer.Complete, names, answer.Version)
		}
		if err := answer.Check(c.query); result != UnknownService && err != nil {
			t.Errorf("answer to query %+v is invalid: %v", c.query, err)
		}
	}
}

// A writer that was restored from a backup begins a later epoch, whose lower revisions outrank higher ones of earlier
// epochs.
func TestRestoredServerOutranksEarlierEpoch(t *testing.T) {
	s := newWriter(t, 5)
	put(t, s, "orders", `{"a":1}`)
	backup := s.Snapshot()
	for k := range 9 {
		put(t, s, "orders", fmt.Sprintf(`{"a":%d}`, 10+k))
	}
	ahead := configapi.Query{Service: "orders", Since: s.Version()}

	restored := New(checkObject)
	if _, err := restored.Merge(backup, 0); err != nil {
		t.Fatal(err)
	}
	if _, result := restored.Answer(ahead, 0); result != Unchanged {
		t.Errorf("a backup in the same epoch serves an older revision: result %v", result)
	}
	if err := restored.BeginEpoch(5, 0); err == nil {
		t.Error("the current epoch can begin again")
	}
	if err := restored.BeginEpoch(6, 0); err != nil {
		t.Fatal(err)
	}
	answer, result := restored.Answer(ahead, 0)
	if result != Changed || !answer.Complete || answer.Version != version(6, 1) || string(answer.Services[0].Settings) != `{"a":1}` {
		t.Errorf("result %v, version %s, complete %v after the later epoch began", result, answer.Version, answer.Complete)
	}
	if answer, result = s.Answer(configapi.Query{Service: "orders", Since: version(6, 1)}, 0); result != Unchanged {
		t.Errorf("a server of the earlier epoch serves version %s to a follower of the later one", answer.Version)
	}
}

// A later epoch at a follower means that a writer without followers has lost its state, and that a writer with followers is
// not the only one.
func TestObserveLaterEpoch(t *testing.T) {
	s := newWriter(t, 5)
	if got := s.Observe(version(5, 0)); got != NoConflict {
		t.Errorf("version of the own epoch: conflict %v", got)
	}
	if got := s.Observe(version(6, 1)); got != AnotherWriter {
		t.Errorf("later epoch at a writer with followers: conflict %v", got)
	}
	s = newWriter(t, 5)
	for _, v := range []revision.Version{{}, version(4, 9)} {
		if got := s.Observe(v); got != NoConflict {
			t.Errorf("version %s, which is not of a later epoch: conflict %v", v, got)
		}
	}
	if got := s.Observe(version(6, 1)); got != EpochLost {
		t.Errorf("later epoch at a writer without followers: conflict %v", got)
	}
	if err := s.BeginEpoch(revision.Max+1, 0); err == nil {
		t.Error("an epoch beyond revision.Max can begin")
	}
}

func TestMergeRejectsInvalidAnswers(t *testing.T) {
	s := newWriter(t, 5)
	put(t, s, "orders", `{"a":1}`)
	put(t, s, "orders", `{"a":2}`)
	before, _ := json.Marshal(s.Snapshot())
	update := func(name string, size int) configapi.Service {
		return configapi.Service{Name: name, Version: version(5, 3), Settings: json.RawMessage(strings.Repeat(" ", size))}
	}
	for wantError, answer := range map[string]configapi.Answer{
		"is older than":        {Version: version(5, 1), Complete: true},
		"4.900 is older than":  {Version: version(4, 900), Complete: true},
		"changes of epoch 6":   {Version: version(6, 1)},
		"no name of a service": {Version: version(5, 3), Services: []configapi.Service{update("a/b", 1)}},
		"bytes in total":       {Version: version(5, 3), Services: []configapi.Service{update("x", MaxTotalSize)}},
	} {
		if _, err := s.Merge(answer, 0); err == nil || !strings.Contains(err.Error(), wantError) {
			t.Errorf("error %v, want %q", err, wantError)
		}
		if after, _ := json.Marshal(s.Snapshot()); string(after) != string(before) {
			t.Errorf("an answer rejected with %q changed the store", wantError)
		}
	}
	if changed, err := s.Merge(configapi.Answer{Version: version(5, 2)}, 0); err != nil || changed != nil {
		t.Errorf("answer of the stored version: changed %v, error %v", changed, err)
	}
}

// Followers that merge answers, and skip any number of revisions, have at each version exactly the services that the writer
// had at it, also after removals, new epochs and compacted removals.
func TestFollowersConvergeToWriter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, followers := New(checkObject), []*Store{New(checkObject), New(checkObject), New(checkObject)}
		if err := s.BeginEpoch(1, 0); err != nil {
			t.Fatal(err)
		}
		names := []string{"a", "b", "c", "d", "e"}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				s.Remove(name)
			case 1:
				if err := s.BeginEpoch(s.Version().Epoch+1, 0); err != nil {
					t.Fatal(err)
				}
			case 2:
				s.compacted = s.version.Revision
				clear(s.removed)
			case 3, 4, 5:
				if _, err := s.Put(name, fmt.Appendf(nil, `{"v":%d}`, rapid.IntRange(0, 9).Draw(t, "value")), 0); err != nil {
					t.Fatal(err)
				}
			default:
				k := rapid.IntRange(0, len(followers)-1).Draw(t, "follower")
				source := s
				if k > 0 && rapid.Bool().Draw(t, "from another follower") {
					source = followers[0]
				}
				follower := followers[k]
				answer, result := source.Answer(configapi.Query{Since: follower.Version()}, 0)
				before := follower.Version()
				if _, err := follower.Merge(answer, 0); err != nil && result == Changed {
					t.Fatal(err)
				}
				if before.Newer(follower.Version()) {
					t.Fatalf("follower went back from version %s to %s", before, follower.Version())
				}
				if source.Version() == follower.Version() {
					want, _ := json.Marshal(source.Snapshot().Services)
					if got, _ := json.Marshal(follower.Snapshot().Services); string(got) != string(want) {
						t.Fatalf("follower at version %s has %s, want %s", follower.Version(), got, want)
					}
				} else if result == Changed {
					t.Fatalf("follower was answered with version %s and is at %s", source.Version(), follower.Version())
				}
			}
		}
	})
}

// A follower that lacks a removal that is no longer recorded receives a complete copy.
func TestCompactedRemovalsNeedCompleteCopy(t *testing.T) {
	s := newWriter(t, 1)
	put(t, s, "kept", `{}`)
	since := s.Version()
	for k := range maxRemoved + 1 {
		name := fmt.Sprintf("s-%d", k)
		put(t, s, name, `{}`)
		s.Remove(name)
	}
	if answer, _ := s.Answer(configapi.Query{Since: since}, 0); !answer.Complete || len(answer.Services) != 1 || len(s.removed) != maxRemoved {
		t.Errorf("complete %v, %d services, %d removals recorded", answer.Complete, len(answer.Services), len(s.removed))
	}
	if !slices.Equal(s.ServiceNames(), []string{"kept"}) {
		t.Errorf("services %v, want only kept", s.ServiceNames())
	}
}
