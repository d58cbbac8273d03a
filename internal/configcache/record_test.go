package configcache

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lilacbend/internal/revision"
)

func recordOf(settings string) Record {
	return Record{Service: "orders", Version: revision.Version{Epoch: 7, Revision: 31}, Start: DigestOf([]byte(`{"a":1}`)), Settings: []byte(settings)}
}

func encoded(t testing.TB, r Record) []byte {
	t.Helper()
	raw, err := Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func TestRecordIsDecodedAsItWasEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Record{
			Service:  rapid.StringMatching(`[a-z0-9.-]{1,40}`).Draw(t, "service"),
			Version:  revision.Version{Epoch: rapid.Uint64Range(1, revision.Max).Draw(t, "epoch"), Revision: rapid.Uint64Range(0, revision.Max).Draw(t, "revision")},
			Start:    DigestOf(rapid.SliceOf(rapid.Byte()).Draw(t, "start")),
			Settings: rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "settings"),
		}
		raw, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(raw); err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v %v, want %+v", got, err, want)
		}
	})
}

// Whatever a disk makes of a file, it is refused or decoded as it was written.
func TestDamagedRecordIsRefused(t *testing.T) {
	want := recordOf(`{"domain":{"push_rate":1200}}`)
	raw := encoded(t, want)
	refused := func(what string, damaged []byte) {
		t.Helper()
		got, err := Decode(damaged)
		if err == nil && !reflect.DeepEqual(got, want) {
			t.Errorf("%s: read as %+v", what, got)
		}
		if err != nil && !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNewer) {
			t.Errorf("%s: %v", what, err)
		}
	}
	for at := range raw {
		for bit := range 8 {
			flipped := bytes.Clone(raw)
			flipped[at] ^= 1 << bit
			refused("a flipped bit", flipped)
		}
		refused("a half", raw[:at])
		if _, err := Decode(raw[:at]); err == nil {
			t.Errorf("%d of %d bytes are read", at, len(raw))
		}
	}
	if _, err := Decode(append(bytes.Clone(raw), 'x')); !errors.Is(err, ErrDamaged) {
		t.Errorf("more bytes than were written: %v", err)
	}
	newer := bytes.Replace(raw, []byte(`"format":1`), []byte(`"format":2`), 1)
	if _, err := Decode(newer); !errors.Is(err, ErrNewer) {
		t.Errorf("a file of a newer program: %v", err)
	}
	if _, err := Decode([]byte(strings.Repeat("x", maxHeaderSize+1) + "\n")); !errors.Is(err, ErrDamaged) {
		t.Errorf("a header without end: %v", err)
	}
	zero := want
	zero.Version = revision.Version{}
	if _, err := Decode(encoded(t, zero)); !errors.Is(err, ErrDamaged) {
		t.Errorf("no version: %v", err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encoded(f, recordOf(`{"domain":{}}`)))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := Decode(raw)
		if err != nil {
			return
		}
		if again, err := Decode(encoded(t, r)); err != nil || !reflect.DeepEqual(again, r) {
			t.Errorf("%+v %v, want %+v", again, err, r)
		}
	})
}

func TestCheckUsable(t *testing.T) {
	r := recordOf(`{}`)
	if err := r.CheckUsable("orders", DigestOf([]byte("{ \"a\" : 1 }\n"))); err != nil {
		t.Errorf("other spaces in the controller's own file: %v", err)
	}
	if err := r.CheckUsable("orders", DigestOf([]byte(`{"a":2}`))); !errors.Is(err, ErrStartChanged) {
		t.Errorf("another own file: %v", err)
	}
	var other *OtherServiceError
	if err := r.CheckUsable("stock", r.Start); !errors.As(err, &other) || other.Service != "orders" {
		t.Errorf("another service: %v", err)
	}
}
