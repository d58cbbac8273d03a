package configapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"lilacbend/internal/revision"
)

func TestWriteToMatchesEncodingJSON(t *testing.T) {
	version := rapid.Custom(func(t *rapid.T) revision.Version {
		return revision.Version{Epoch: rapid.Uint64Range(0, revision.Max).Draw(t, "epoch"), Revision: rapid.Uint64Range(0, revision.Max).Draw(t, "revision")}
	})
	rapid.Check(t, func(t *rapid.T) {
		answer := Answer{Version: version.Draw(t, "version"), Complete: rapid.Bool().Draw(t, "complete"), AgeMS: rapid.Int64().Draw(t, "age"), Services: []Service{}}
		for range rapid.IntRange(0, 3).Draw(t, "services") {
			service := Service{Name: rapid.String().Draw(t, "name"), Version: version.Draw(t, "version"), Removed: rapid.Bool().Draw(t, "removed")}
			if !service.Removed {
				service.Settings = json.RawMessage(rapid.SampledFrom([]string{`{}`, `{"a":[1,2,"x"]}`}).Draw(t, "settings"))
			}
			answer.Services = append(answer.Services, service)
		}
		want, err := json.Marshal(answer)
		if err != nil {
			t.Fatal(err)
		}
		var got bytes.Buffer
		if n, err := answer.WriteTo(&got); err != nil || n != int64(len(want)) || got.String() != string(want) {
			t.Fatalf("%d bytes, error %v:\n%s\nwant\n%s", n, err, got.String(), want)
		}
	})
}

// limitedWriter accepts capacity bytes and fails for all further ones.
type limitedWriter struct{ capacity int }

func (w *limitedWriter) Write(b []byte) (int, error) {
	n := min(len(b), w.capacity)
	if w.capacity -= n; n < len(b) {
		return n, errors.New("full")
	}
	return n, nil
}

func TestWriteToReturnsWriteError(t *testing.T) {
	answer := Answer{Services: []Service{{Name: "orders", Settings: json.RawMessage(`{}`)}}}
	var all bytes.Buffer
	size, err := answer.WriteTo(&all)
	if err != nil {
		t.Fatal(err)
	}
	for capacity := range int(size) {
		if n, err := answer.WriteTo(&limitedWriter{capacity}); err == nil || n != int64(capacity) {
			t.Errorf("writer with a capacity of %d bytes: %d bytes written, error %v", capacity, n, err)
		}
	}
}
