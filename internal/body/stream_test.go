package body

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// text is n bytes, none of which is like its neighbours.
func text(n int) []byte {
	rng := rand.New(rand.NewPCG(uint64(n), 1))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(rng.Uint32())
	}
	return b
}

// readAll reads a stream to its end and says whether the last bytes came with that word.
func readAll(r *Reader) ([]byte, bool, error) {
	var all []byte
	p := make([]byte, 10_000)
	said := false
	for {
		n, last, err := r.Read(p)
		all = append(all, p[:n]...)
		said = said || last
		if err == io.EOF {
			return all, said, nil
		}
		if err != nil {
			return all, said, err
		}
	}
}

func TestReadKeepsWhatIsShortAndStreamsWhatIsLong(t *testing.T) {
	for _, c := range []struct {
		size   int
		length int64
		stream bool
		err    error
	}{
		{0, 0, false, nil}, {1, 1, false, nil}, {MaxBufferedBytes, MaxBufferedBytes, false, nil}, {MaxBufferedBytes, -1, false, nil},
		{0, -1, false, nil}, {1000, -1, false, nil}, {MaxBufferedBytes + 1, MaxBufferedBytes + 1, true, nil},
		{MaxBufferedBytes + 1, -1, true, nil}, {5, MaxBytes, true, nil}, {5, MaxBytes + 1, false, ErrTooLarge},
	} {
		budget := NewBudget(1 << 20)
		in := text(c.size)
		b, rest, err := Read(bytes.NewReader(in), c.length, budget)
		if !errors.Is(err, c.err) || (rest != nil) != c.stream || c.stream && b.Stream() == nil {
			t.Errorf("%d bytes, announced %d: %v, %v, %v", c.size, c.length, b, rest, err)
			continue
		}
		if err != nil {
			continue
		}
		if !c.stream {
			if !bytes.Equal(b.Data(), in) || b.Size() != int64(c.size) {
				t.Errorf("%d bytes came as %d", c.size, len(b.Data()))
			}
		} else {
			b.Stream().Fill(bytes.NewReader(nil))
		}
		b.Release()
		if left := budget.left.Load(); left != 1<<20 {
			t.Errorf("%d bytes: %d of the budget are not given back", c.size, 1<<20-left)
		}
	}
}

func TestStreamGoesThroughWholeInPiecesOfAnySize(t *testing.T) {
	for _, size := range []int{0, 1, segment - 1, segment, segment + 1, MaxBufferedBytes + 7, MaxReplayBytes - 1, MaxReplayBytes + segment + 3, 3 << 20} {
		for _, length := range []int64{int64(size), -1} {
			in := text(size)
			budget := NewBudget(16 << 20)
			s := NewStream(length, budget)
			r := s.Reader()
			var filling sync.WaitGroup
			filling.Go(func() {
				var from io.Reader = bytes.NewReader(in)
				if size < 100_000 {
					from = iotest.HalfReader(from)
				}
				if err := s.Fill(from); err != nil {
					t.Errorf("%d bytes: %v", size, err)
				}
			})
			out, last, err := readAll(r)
			filling.Wait()
			if err != nil || !bytes.Equal(in, out) {
				t.Errorf("%d bytes, announced %d: %d came, %v", size, length, len(out), err)
			}
			if !last {
				t.Errorf("%d bytes, announced %d: nothing said that they were the last", size, length)
			}
			s.Release()
			if left := budget.left.Load(); left != 16<<20 {
				t.Errorf("%d bytes: %d of the budget are not given back", size, 16<<20-left)
			}
		}
	}
}

// TestStreamIsReadAgainUntilItIsSpent gives up a first reader after so many bytes; a second one gets all of the body
// or is told that it can't, and the stream says which beforehand.
func TestStreamIsReadAgainUntilItIsSpent(t *testing.T) {
	for _, c := range []struct {
		taken, budget int
		spent         bool
	}{
		{0, 16 << 20, false}, {1, 16 << 20, false}, {500_000, 16 << 20, false}, {MaxReplayBytes - 4*segment, 16 << 20, false},
		{MaxReplayBytes + 4*segment, 16 << 20, true}, {0, 0, false}, {8 * segment, 0, true}, {8 * segment, 2 * segment, true},
		{2 * segment, 4 * segment, false},
	} {
		in := text(2 << 20)
		s := NewStream(int64(len(in)), NewBudget(int64(c.budget)))
		var filling sync.WaitGroup
		filling.Go(func() { s.Fill(bytes.NewReader(in)) })
		first := s.Reader()
		got := 0
		for p := make([]byte, 1000); got < c.taken; {
			n, _, err := first.Read(p[:min(1000, c.taken-got)])
			if err != nil {
				t.Fatal(err)
			}
			got += n
		}
		spent := s.EndAttempt()
		if c.spent && !spent {
			// What is over the window is let go with the next segment.
			t.Errorf("%+v: a stream of which %d bytes are gone is held to be whole", c, got)
		}
		if !c.spent && spent {
			t.Errorf("%+v: spent", c)
		}
		out, _, err := readAll(s.Reader())
		if c.spent && err != ErrDiscarded || !c.spent && (err != nil || !bytes.Equal(in, out)) {
			t.Errorf("%+v: the second reader got %d bytes, %v", c, len(out), err)
		}
		if _, _, err := first.Read(make([]byte, 1)); err == nil {
			t.Errorf("%+v: the first reader reads on", c)
		}
		s.Release()
		filling.Wait()
	}
}

// TestStreamHoldsNoMoreThanItMay fills streams that nobody reads, and some that are read in steps.
func TestStreamHoldsNoMoreThanItMay(t *testing.T) {
	in := text(3 << 20)
	s := NewStream(-1, NewBudget(0))
	r := s.Reader()
	var filling sync.WaitGroup
	filling.Go(func() { s.Fill(bytes.NewReader(in)) })
	p := make([]byte, 777)
	for got := 0; got < len(in); {
		n, _, err := r.Read(p)
		if err != nil {
			t.Fatal(err)
		}
		got += n
		s.mu.Lock()
		if held := len(s.segments); held > ahead+2 {
			t.Fatalf("%d segments held with no budget", held)
		}
		s.mu.Unlock()
	}
	s.Release()
	filling.Wait()
}

func TestStreamTooLong(t *testing.T) {
	s := NewStream(-1, NewBudget(0))
	r := s.Reader()
	var filling sync.WaitGroup
	var err error
	filling.Go(func() { err = s.Fill(io.LimitReader(zeros{}, MaxBytes+1)) })
	_, _, readErr := readAll(r)
	filling.Wait()
	if err != ErrTooLarge || readErr != ErrTooLarge {
		t.Errorf("%v, and for the reader %v", err, readErr)
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestEndOfTheCallerReachesTheReader breaks the body off; the reader must not take it for whole.
func TestEndOfTheCallerReachesTheReader(t *testing.T) {
	broken := errors.New("reset")
	for _, n := range []int{0, 1, 3 * segment} {
		s := NewStream(-1, NewBudget(1<<20))
		var filling sync.WaitGroup
		filling.Go(func() { s.Fill(io.MultiReader(bytes.NewReader(text(n)), iotest.ErrReader(broken))) })
		out, last, err := readAll(s.Reader())
		filling.Wait()
		if err != broken || last || len(out) != n {
			t.Errorf("after %d bytes: %d, last %t, %v", n, len(out), last, err)
		}
	}
}

// TestReleaseEndsWhoWaits releases a stream under a filler that waits for room, one that waits for bytes, and a reader.
func TestReleaseEndsWhoWaits(t *testing.T) {
	full := NewStream(-1, NewBudget(0))
	var all sync.WaitGroup
	all.Go(func() {
		if err := full.Fill(zeros{}); err != ErrStreamClosed {
			t.Errorf("filler without room: %v", err)
		}
	})
	from := blocked{make(chan struct{}), make(chan struct{})}
	silent := NewStream(-1, NewBudget(0))
	r := silent.Reader()
	all.Go(func() {
		if err := silent.Fill(from); err != ErrStreamClosed {
			t.Errorf("filler without bytes: %v", err)
		}
	})
	all.Go(func() {
		if _, _, err := r.Read(make([]byte, 1)); err != ErrStreamClosed {
			t.Errorf("reader: %v", err)
		}
	})
	<-from.begun
	full.Release()
	silent.Release()
	close(from.goOn) // the read that was out brings something, and nothing breaks
	all.Wait()
}

// blocked is a reader that says when it is read, and then waits.
type blocked struct{ begun, goOn chan struct{} }

func (b blocked) Read(p []byte) (int, error) {
	close(b.begun)
	<-b.goOn
	return copy(p, "late"), nil
}

func TestPace(t *testing.T) {
	p := MinDataRate{IdleTimeout: time.Second, GracePeriod: 2 * time.Second, BytesPerSecond: 1000}
	x := p.Begin(10 * time.Second)
	for _, step := range []struct {
		at    time.Duration
		bytes int
		want  time.Duration
	}{
		{10 * time.Second, 0, 11 * time.Second},                       // silent from the start
		{10500 * time.Millisecond, 500, 11500 * time.Millisecond},     // moves
		{11400 * time.Millisecond, 0, 11500 * time.Millisecond},       // a read that brought nothing is silence
		{11500 * time.Millisecond, 10, 12500 * time.Millisecond},      // 2.51 s by rate, 1 s by silence
		{12400 * time.Millisecond, 10, 12520 * time.Millisecond},      // too slow on the whole: grace 2 s and 0.52 s
		{12500 * time.Millisecond, 100_000, 13500 * time.Millisecond}, // made up for it
		{100 * time.Second, 1_000_000, 101 * time.Second},             // long and fast
	} {
		x.AddBytes(step.at, step.bytes)
		if got := x.Deadline(); got != step.want {
			t.Errorf("at %v, %d bytes more: until %v, wanted %v", step.at, step.bytes, got, step.want)
		}
	}
}
