package configcache

import (
	"bytes"
	"reflect"
	"testing"

	"lilacbend/internal/golden"
	"lilacbend/internal/revision"
)

const recordFile = "record.golden"

func goldenRecord() Record {
	return Record{
		Service:  "orders",
		Version:  revision.Version{Epoch: 1_700_000_000_000, Revision: 31},
		Start:    DigestOf([]byte(`{"domain": {"push_rate": 1200}}`)),
		Settings: []byte(`{"domain":{"push_rate":900},"zones":["a","b"]}`),
	}
}

func TestWrittenRecordMatchesGoldenFile(t *testing.T) {
	storage := &fakeStorage{}
	if err := Write(storage, goldenRecord()); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, recordFile, storage.file)
	golden.CheckDetectsChange(t, recordFile, storage.file)
}

func TestGoldenRecordDecodesAndEncodesToTheSameBytes(t *testing.T) {
	content := golden.Read(t, recordFile)
	decoded, err := Decode(content)
	if want := goldenRecord(); err != nil || !reflect.DeepEqual(decoded, want) {
		t.Fatalf("golden record: decoded %+v, error %v; want %+v", decoded, err, want)
	}
	golden.Compare(t, recordFile, encoded(t, decoded))
	for position := range content {
		changed := bytes.Clone(content)
		changed[position] ^= 1
		if _, err := Decode(changed); err == nil {
			t.Errorf("byte %d changed: the record was decoded, want an error", position)
		}
	}
}
