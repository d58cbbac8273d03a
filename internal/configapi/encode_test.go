package configapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"lilacbend/internal/revision"
)

// An answer is written as the standard library writes it.
func TestAnswersAreWrittenAsJSON(t *testing.T) {
	version := rapid.Custom(func(t *rapid.T) revision.Version {
		return revision.Version{Epoch: rapid.Uint64Range(0, revision.Max).Draw(t, "epoch"), Revision: rapid.Uint64Range(0, revision.Max).Draw(t, "revision")}
	})
	rapid.Check(t, func(t *rapid.T) {
		a := Answer{Version: version.Draw(t, "version"), Complete: rapid.Bool().Draw(t, "complete"), AgeMS: rapid.Int64().Draw(t, "age"), Services: []Service{}}
		for range rapid.IntRange(0, 3).Draw(t, "services") {
			s := Service{Name: rapid.String().Draw(t, "name"), Version: version.Draw(t, "version"), Removed: rapid.Bool().Draw(t, "removed")}
			if !s.Removed {
				s.Settings = json.RawMessage(rapid.SampledFrom([]string{`{}`, `{"a":[1,2,"x"]}`}).Draw(t, "settings"))
			}
			a.Services = append(a.Services, s)
		}
		want, err := json.Marshal(a)
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		if n, err := a.WriteTo(&got); err != nil || n != int64(len(want)) || got.String() != string(want) {
			t.Fatalf("%d bytes, %v:\n%s\n%s", n, err, got.String(), want)
		}
	})
}

// full takes some bytes and then no more.
type full struct{ room int }

func (f *full) Write(b []byte) (int, error) {
	n := min(len(b), f.room)
	if f.room -= n; n < len(b) {
		return n, errors.New("full")
	}
	return n, nil
}

func TestAWriterThatFailsIsSaid(t *testing.T) {
	a := Answer{Services: []Service{{Name: "orders", Settings: json.RawMessage(`{}`)}}}
	var all bytes.Buffer
	whole, err := a.WriteTo(&all)
	if err != nil {
		t.Fatal(err)
	}
	for room := range int(whole) {
		if n, err := a.WriteTo(&full{room}); err == nil || n != int64(room) {
			t.Errorf("with room for %d: %d, %v", room, n, err)
		}
	}
}
