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

func TestRecordIsWrittenAsInTheGoldenFile(t *testing.T) {
	d := &disk{}
	if err := Write(d, goldenRecord()); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, recordFile, d.file)
	golden.CheckDetectsChange(t, recordFile, d.file)
}

func TestRecordOfTheGoldenFileIsDecodedAndEncodedAgain(t *testing.T) {
	held := golden.Read(t, recordFile)
	decoded, err := Decode(held)
	if want := goldenRecord(); err != nil || !reflect.DeepEqual(decoded, want) {
		t.Fatalf("%+v %v, want %+v", decoded, err, want)
	}
	golden.Compare(t, recordFile, encoded(t, decoded))
	for at := range held {
		changed := bytes.Clone(held)
		changed[at] ^= 1
		if _, err := Decode(changed); err == nil {
			t.Errorf("byte %d changed: the record is decoded", at)
		}
	}
}
