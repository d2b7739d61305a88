package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

// mostRequest bounds a line that a host reads.
const mostRequest = 16 << 20

// Serve is a host as a process: it reads requests until there are no more, answers each as soon as it is done, and ends all members.
func Serve(in io.Reader, out io.Writer) error {
	s := &server{out: json.NewEncoder(out)}
	ctx, cancel := context.WithCancel(context.Background())
	defer func() {
		cancel()
		s.running.Wait()
		if h := s.current(); h != nil {
			h.Close()
		}
	}()
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, 64<<10), mostRequest)
	for lines.Scan() {
		var r Request
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return fmt.Errorf("scale host: %w", err)
		}
		if r.Configure != nil {
			s.configure(r)
			continue
		}
		s.running.Go(func() { s.answer(ctx, r) })
	}
	return lines.Err()
}

// server is the process's side of a host.
type server struct {
	running sync.WaitGroup

	mu   sync.Mutex
	out  *json.Encoder
	host *Host
}

func (s *server) current() *Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.host
}

func (s *server) configure(r Request) {
	s.mu.Lock()
	s.host = NewHost(*r.Configure)
	s.mu.Unlock()
	s.reply(Reply{ID: r.ID})
}

func (s *server) reply(r Reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out.Encode(r) // who does not read any more has ended
}

func (s *server) answer(ctx context.Context, r Request) {
	h := s.current()
	if h == nil {
		s.reply(Reply{ID: r.ID, Error: "not configured"})
		return
	}
	s.reply(h.Answer(ctx, r))
}

// Answer does what is asked, and returns once it is done.
func (h *Host) Answer(ctx context.Context, r Request) Reply {
	reply, err := Reply{ID: r.ID}, error(nil)
	switch {
	case r.Start != nil:
		err = h.Start(ctx, *r.Start)
	case r.Stop != nil:
		err = h.Stop(r.Stop.Names)
	case r.Living != nil:
		h.SetLiving(*r.Living)
	case r.Cut != nil:
		h.Cut(*r.Cut)
	case r.Propose != nil:
		reply.Proposal, err = h.Propose(ctx, *r.Propose)
	case r.Sample != nil:
		reply.Sample = h.Sample()
	case r.Spread != nil:
		reply.Spread = h.Spread(*r.Spread)
	case r.Usage != nil:
		reply.Usage = h.Usage()
	case r.Document != nil:
		reply.Document, err = h.Document(r.Document.Name)
	default:
		err = errors.New("nothing is asked")
	}
	if err != nil {
		reply.Error = err.Error()
	}
	return reply
}

// processorTime is what this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
