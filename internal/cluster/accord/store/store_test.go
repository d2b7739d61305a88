package store

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"

	bolterrors "go.etcd.io/bbolt/errors"
	"google.golang.org/protobuf/proto"

	"go.etcd.io/raft/v3/raftpb"

	"brasswell/internal/cluster/accord"
	"brasswell/internal/cluster/rules"
)

func openStore(t *testing.T, folder string) *Store {
	t.Helper()
	s, aside, why, err := Open(folder, "shelf", "n1")
	if err != nil || aside != "" {
		t.Fatalf("%v; set aside as %q: %v", err, aside, why)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func pointer[T any](v T) *T { return &v }

func entry(index, term uint64) *raftpb.Entry {
	return &raftpb.Entry{Index: &index, Term: &term, Data: fmt.Appendf(nil, "%d/%d", index, term)}
}

// TestMatchesInMemoryStore checks that Load returns what accord.Stored.Apply gives for the same random records, also
// after the file was opened again.
func TestMatchesInMemoryStore(t *testing.T) {
	for seed := range uint64(10) {
		rng := rand.New(rand.NewPCG(seed, 1))
		folder := t.TempDir()
		s := openStore(t, folder)
		var want accord.Stored
		id, last, compacted := uint64(7), uint64(0), uint64(0)
		for step := range 40 {
			r := &accord.Record{LogID: id}
			switch rng.IntN(6) {
			case 0: // a new log
				id++
				last, compacted = 0, 0
				r.LogID = id
			case 1:
				r.Hard = &raftpb.HardState{Term: pointer(uint64(step)), Commit: pointer(last)}
			case 2:
				if last > compacted {
					r.Compact = compacted + 1
					compacted = r.Compact
					r.Snapshot = &raftpb.Snapshot{Data: []byte("cut"), Metadata: &raftpb.SnapshotMetadata{Index: pointer(last), Term: pointer(uint64(1))}}
				}
			case 3:
				last += 5
				compacted = last
				r.Install = true
				r.Snapshot = &raftpb.Snapshot{Data: []byte("from elsewhere"), Metadata: &raftpb.SnapshotMetadata{Index: pointer(last), Term: pointer(uint64(1))}}
			default: // entries, some of which replace others
				first := compacted + 1 + uint64(rng.IntN(int(last-compacted)+1))
				last = first + uint64(rng.IntN(4))
				for i := first; i <= last; i++ {
					r.Entries = append(r.Entries, entry(i, uint64(step)))
				}
			}
			if err := s.Save(r); err != nil {
				t.Fatal(err)
			}
			want.Apply(r)
			if step%10 == 9 {
				s.Close()
				s = openStore(t, folder)
			}
			got, err := s.Load()
			if err != nil {
				t.Fatal(err)
			}
			same := got.LogID == want.LogID && len(got.Entries) == len(want.Entries) && (got.Hard == nil) == (want.Hard == nil) && (got.Snapshot == nil) == (want.Snapshot == nil)
			for i := range min(len(got.Entries), len(want.Entries)) {
				same = same && proto.Equal(got.Entries[i], want.Entries[i])
			}
			if !same || got.Hard != nil && !proto.Equal(got.Hard, want.Hard) || got.Snapshot != nil && !proto.Equal(got.Snapshot, want.Snapshot) {
				t.Fatalf("seed %d, step %d: %+v, want %+v", seed, step, got, want)
			}
		}
	}
}

// TestDamagedFilesDoNotPreventStart checks that a store opens in a folder whose file is truncated anywhere, has damaged
// bytes, belongs to another fleet or proxy, or has another format. Foreign files are set aside intact.
func TestDamagedFilesDoNotPreventStart(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
	for i := range uint64(50) {
		if err := s.Save(&accord.Record{LogID: 7, Entries: []*raftpb.Entry{entry(i+1, 1)}}); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.SaveRules(&rules.Status{InForce: rules.Version{Number: 3}}); err != nil {
		t.Fatal(err)
	}
	s.Close()
	path := filepath.Join(folder, fileName)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	checkOpens := func(name string, data []byte) {
		t.Helper()
		os.Remove(path) // the library may still hold a lock on a damaged file
		if err := os.WriteFile(path, data, 0o600); err != nil {
			t.Fatal(err)
		}
		s, _, _, err := Open(folder, "shelf", "n1")
		if err != nil {
			t.Errorf("%s: %v", name, err)
			return
		}
		defer s.Close()
		if _, err := s.Load(); err != nil {
			return // an error of Load is acceptable: package agreement then sets the file aside
		}
		if err := s.Save(&accord.Record{LogID: 9, Entries: []*raftpb.Entry{entry(1, 1)}}); err != nil {
			t.Logf("%s: %v", name, err) // damage that Open does not find must give an error at a write, not a panic
		}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for n := 0; n < len(intact); n += 1 + len(intact)/40 {
		checkOpens(fmt.Sprintf("the first %d bytes", n), intact[:n])
	}
	for i := range 60 {
		damaged := append([]byte(nil), intact...)
		for range 1 + rng.IntN(8) {
			damaged[rng.IntN(len(damaged))] ^= byte(1 + rng.IntN(255))
		}
		checkOpens(fmt.Sprintf("bent %d", i), damaged)
	}
	checkOpens("noise", []byte("rules: none"))

	os.Remove(path)
	if err := os.WriteFile(path, intact, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, other := range [][2]string{{"another", "n1"}, {"shelf", "n2"}} {
		s, aside, why, err := Open(folder, other[0], other[1])
		if err != nil || aside == "" || why == nil {
			t.Fatalf("%v: %v, set aside %q: %v", other, err, aside, why)
		}
		s.Close()
		if err := os.Rename(aside, path); err != nil {
			t.Fatal(err)
		}
	}
	s = openStore(t, folder)
	got, err := s.Load()
	if err != nil || len(got.Entries) != 50 || got.Rules == nil || got.Rules.InForce.Number != 3 {
		t.Errorf("the original file: %v, %d entries, %+v", err, len(got.Entries), got.Rules)
	}
	if _, _, _, err := Open(folder, "shelf", "n1"); !errors.Is(err, bolterrors.ErrTimeout) {
		t.Errorf("a second process opened the folder: %v", err)
	}
}

// BenchmarkSaveRules measures the write of a proxy at each change that it receives, with the documents of a fleet of
// 1,400, to the disk with the temporary files.
func BenchmarkSaveRules(b *testing.B) {
	for _, pending := range []int{0, 1, rules.MaxPending} {
		b.Run(fmt.Sprint(pending, "-pending"), func(b *testing.B) {
			s, _, _, err := Open(b.TempDir(), "shelf", "n1")
			if err != nil {
				b.Fatal(err)
			}
			defer s.Close()
			state := rules.NewState()
			numbers := map[string]int{}
			for i := range 1400 {
				numbers[fmt.Sprintf("proxy-%04d", i)] = i
			}
			state.Propose(&rules.Change{ID: "numbers", Kind: rules.Renumber, Numbers: numbers, Form: 2})
			state.Enforce(state.Last())
			for i := range pending {
				state.Propose(&rules.Change{ID: fmt.Sprint(i), Kind: rules.Suspend, Server: fmt.Sprint("node-", i)})
			}
			status := state.Copy()
			for b.Loop() {
				if err := s.SaveRules(status); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
