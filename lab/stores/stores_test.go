// Package stores weighs ways to keep a governor's memory, for docs/state.md.
package stores

import (
	"bytes"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"

	"lilacbend/internal/memory"
	"lilacbend/internal/vault"
)

func large() memory.Memory {
	m := memory.Memory{Governor: "n0", Groups: []string{"read", "order", "payout"}, Line: 1}
	for k := range 1000 {
		m.Replicas = append(m.Replicas, memory.Replica{ID: fmt.Sprintf("s-%08x", k), Zone: "a", Kind: "m1", Size: 1, Speed: 0.7 + float64(k)/3e3})
	}
	for k := range 10000 {
		for _, name := range m.Groups {
			m.Usage = append(m.Usage, memory.Usage{Proxy: k, Group: name, Rate: float64(k%97) / 8.1})
		}
	}
	return m
}

func put(db *bbolt.DB, entries int, generation int) error {
	return db.Update(func(tx *bbolt.Tx) error {
		b, err := tx.CreateBucketIfNotExists([]byte("state"))
		if err != nil {
			return err
		}
		for k := range entries {
			if err := b.Put(fmt.Appendf(nil, "%08d", k), fmt.Appendf(nil, "%024d", generation*k)); err != nil {
				return err
			}
		}
		return nil
	})
}

func BenchmarkSnapshot(b *testing.B) {
	m, dir := large(), vault.Folder(b.TempDir())
	for b.Loop() {
		if _, err := vault.Write(dir, m, 3); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkBboltOneValue(b *testing.B) {
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer db.Close()
	m := large()
	for b.Loop() {
		raw, _ := vault.Encode(m, 1)
		if err := db.Update(func(tx *bbolt.Tx) error {
			s, err := tx.CreateBucketIfNotExists([]byte("state"))
			if err != nil {
				return err
			}
			return s.Put([]byte("memory"), raw)
		}); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkBboltEntries(b *testing.B) {
	db, err := bbolt.Open(filepath.Join(b.TempDir(), "db"), 0o600, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer db.Close()
	for k := 0; b.Loop(); k++ {
		if err := put(db, 31000, k); err != nil {
			b.Fatal(err)
		}
	}
	info, _ := os.Stat(db.Path())
	b.ReportMetric(float64(info.Size()), "filebytes")
}

// What a flipped byte does to a store whose pages carry no sums.
func TestFlippedBytesInBbolt(t *testing.T) {
	path := filepath.Join(t.TempDir(), "db")
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := put(db, 2000, 3); err != nil {
		t.Fatal(err)
	}
	db.Close()
	whole, _ := os.ReadFile(path)
	read := func(path string) (all []byte, outcome string) {
		defer func() {
			if p := recover(); p != nil {
				outcome = "panic"
			}
		}()
		db, err := bbolt.Open(path, 0o600, &bbolt.Options{ReadOnly: true})
		if err != nil {
			return nil, "refused"
		}
		defer db.Close()
		db.View(func(tx *bbolt.Tx) error {
			return tx.Bucket([]byte("state")).ForEach(func(k, v []byte) error {
				all = append(append(all, k...), v...)
				return nil
			})
		})
		return all, "read"
	}
	want, _ := read(path)
	chance, count := rand.New(rand.NewSource(1)), map[string]int{}
	for range 500 {
		bad := bytes.Clone(whole)
		bad[chance.Intn(len(bad))] ^= 1 << chance.Intn(8)
		os.WriteFile(path, bad, 0o600)
		got, outcome := read(path)
		if outcome == "read" && !bytes.Equal(got, want) {
			outcome = "read wrongly, without a word"
		}
		count[outcome]++
	}
	t.Logf("500 flipped bits in %d bytes: %v", len(whole), count)
}
