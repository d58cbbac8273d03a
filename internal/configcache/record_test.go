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

func recordWithSettings(settings string) Record {
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

func TestRecordRoundTrip(t *testing.T) {
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
			t.Fatalf("decoded %+v, error %v; want %+v", got, err, want)
		}
	})
}

// A damaged file, as a faulty disk may return it, is rejected; it is never decoded as a record that was not written.
func TestDamagedRecordIsRejected(t *testing.T) {
	want := recordWithSettings(`{"domain":{"push_rate":1200}}`)
	raw := encoded(t, want)
	checkRejectedOrIntact := func(damage string, damaged []byte) {
		t.Helper()
		got, err := Decode(damaged)
		if err == nil && !reflect.DeepEqual(got, want) {
			t.Errorf("%s: decoded as %+v, want an error or the written record", damage, got)
		}
		if err != nil && !errors.Is(err, ErrDamaged) && !errors.Is(err, ErrNewer) {
			t.Errorf("%s: error %v, want ErrDamaged or ErrNewer", damage, err)
		}
	}
	for position := range raw {
		for bit := range 8 {
			flipped := bytes.Clone(raw)
			flipped[position] ^= 1 << bit
			checkRejectedOrIntact("flipped bit", flipped)
		}
		checkRejectedOrIntact("truncated file", raw[:position])
		if _, err := Decode(raw[:position]); err == nil {
			t.Errorf("a file truncated to %d of %d bytes was decoded", position, len(raw))
		}
	}
	if _, err := Decode(append(bytes.Clone(raw), 'x')); !errors.Is(err, ErrDamaged) {
		t.Errorf("byte appended: error %v, want ErrDamaged", err)
	}
	newer := bytes.Replace(raw, []byte(`"format":1`), []byte(`"format":2`), 1)
	if _, err := Decode(newer); !errors.Is(err, ErrNewer) {
		t.Errorf("newer format: error %v, want ErrNewer", err)
	}
	if _, err := Decode([]byte(strings.Repeat("x", maxHeaderSize+1) + "\n")); !errors.Is(err, ErrDamaged) {
		t.Errorf("oversized header: error %v, want ErrDamaged", err)
	}
	zero := want
	zero.Version = revision.Version{}
	if _, err := Decode(encoded(t, zero)); !errors.Is(err, ErrDamaged) {
		t.Errorf("zero version: error %v, want ErrDamaged", err)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(encoded(f, recordWithSettings(`{"domain":{}}`)))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := Decode(raw)
		if err != nil {
			return
		}
		if again, err := Decode(encoded(t, r)); err != nil || !reflect.DeepEqual(again, r) {
			t.Errorf("encoded and decoded again: %+v, error %v; want %+v", again, err, r)
		}
	})
}

func TestCheckUsable(t *testing.T) {
	r := recordWithSettings(`{}`)
	if err := r.CheckUsable("orders", DigestOf([]byte("{ \"a\" : 1 }\n"))); err != nil {
		t.Errorf("white space in the controller's own file differs: error %v, want none", err)
	}
	if err := r.CheckUsable("orders", DigestOf([]byte(`{"a":2}`))); !errors.Is(err, ErrOwnSettingsChanged) {
		t.Errorf("settings in the controller's own file differ: error %v, want ErrOwnSettingsChanged", err)
	}
	var other *OtherServiceError
	if err := r.CheckUsable("stock", r.Start); !errors.As(err, &other) || other.Service != "orders" {
		t.Errorf("record of service orders at a controller of service stock: error %v, want an OtherServiceError", err)
	}
}
