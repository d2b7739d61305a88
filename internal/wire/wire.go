// Package wire implements the JSON batch protocol by which a simulator sends events to many balancer instances and
// reads their actions. It makes no decisions.
package wire

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"brasswell/balance"
	"brasswell/internal/settings"
)

// maxLine bounds one batch, in bytes. The server lists of a fleet are megabytes long.
const maxLine = 1 << 30

// Serve reads batches until the input ends and answers each with one line.
func Serve(in io.Reader, out io.Writer) error {
	sc := bufio.NewScanner(in)
	sc.Buffer(make([]byte, 1<<20), maxLine)
	w := bufio.NewWriterSize(out, 1<<16)
	s := &session{instances: map[int]*instance{}, lists: map[int][]balance.Entry{}}
	for line := 1; sc.Scan(); line++ {
		reply, err := s.handleBatch(sc.Bytes())
		if err != nil {
			return fmt.Errorf("line %d: %w", line, err)
		}
		if _, err := w.Write(reply); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
	return sc.Err()
}

type session struct {
	instances map[int]*instance
	lists     map[int][]balance.Entry
	out       []byte
}

// instance is the host of one balancer. It appends the balancer's actions to the session's reply.
type instance struct {
	session  *session
	number   int
	balancer *balance.Balancer
	broken   bool
}

func (s *session) handleBatch(line []byte) ([]byte, error) {
	var in struct {
		Clock *float64            `json:"clock_ms"`
		Inbox [][]json.RawMessage `json:"inbox"`
	}
	if err := json.Unmarshal(line, &in); err != nil {
		return nil, err
	}
	if in.Clock == nil {
		return nil, errors.New("batch without clock_ms")
	}
	s.out = append(s.out[:0], `{"do":[`...)
	now := settings.Millis(*in.Clock)
	for i, ev := range in.Inbox {
		if err := s.handleEvent(now, ev); err != nil {
			return nil, fmt.Errorf("event %d: %w", i, err)
		}
	}
	if s.out[len(s.out)-1] == ',' {
		s.out = s.out[:len(s.out)-1]
	}
	s.out = append(s.out, "]}\n"...)
	return s.out, nil
}

func (s *session) handleEvent(now time.Duration, ev []json.RawMessage) error {
	a := args{fields: ev}
	name := a.str("name")
	if name == "list" {
		table := a.int("table")
		s.lists[table] = a.entries("members")
		return a.err
	}
	number := a.int("who")
	if a.err != nil {
		return a.err
	}
	if name == "open_instance" {
		return s.openInstance(number, &a)
	}
	inst := s.instances[number]
	if inst == nil {
		return fmt.Errorf("%s for instance %d, which is not open", name, number)
	}
	if name == "teardown" {
		delete(s.instances, number)
		return nil
	}
	call, err := decode(name, &a, s.lists)
	if err != nil {
		return err
	}
	inst.run(func(b *balance.Balancer) { call(b, now) })
	return nil
}

// decode reads an event's values and returns the balancer call that the event represents.
func decode(name string, a *args, lists map[int][]balance.Entry) (func(*balance.Balancer, time.Duration), error) {
	var call func(*balance.Balancer, time.Duration)
	switch name {
	case "submit":
		r := balance.Request{ID: a.str("tid")}
		a.skip(3) // item, write, retry: no decision depends on them
		r.Tenant = a.optInt("client_group")
		r.Remaining = a.dur("patience_left_ms")
		a.skip(1) // cost_guess_ms
		r.Class = a.int("category")
		call = func(b *balance.Balancer, now time.Duration) { b.Submit(now, r) }
	case "response":
		r := balance.Result{ID: a.str("tid"), Attempt: a.int("attempt")}
		a.skip(1) // backend: known from the attempt
		rc := a.str("rc")
		var known bool
		if r.Outcome, known = outcomes[rc]; !known && a.err == nil {
			return nil, fmt.Errorf("unknown outcome %q", rc)
		}
		r.Latency = a.dur("delay_seen_ms")
		r.Finished = a.bool("finished")
		call = func(b *balance.Balancer, now time.Duration) { b.Result(now, r) }
	case "head_received":
		id, attempt := a.str("tid"), a.int("attempt")
		call = func(b *balance.Balancer, now time.Duration) { b.ResponseStarted(now, id, attempt) }
	case "dropped":
		id := a.str("tid")
		call = func(b *balance.Balancer, now time.Duration) { b.ClientGone(now, id) }
	case "ring":
		token := a.uint("nonce")
		call = func(b *balance.Balancer, now time.Duration) { b.Timer(now, token) }
	case "update":
		kindName := a.str("kind")
		kind, known := listKinds[kindName]
		if !known && a.err == nil {
			return nil, fmt.Errorf("unknown kind of update %q", kindName)
		}
		var entries []balance.Entry
		if kind != balance.ListFailed {
			a.skip(1) // generation: updates arrive in order
			table := a.int("table")
			if entries, known = lists[table]; !known && a.err == nil {
				return nil, fmt.Errorf("update refers to list %d, which was never sent", table)
			}
		}
		call = func(b *balance.Balancer, now time.Duration) { b.Update(now, kind, entries) }
	case "probe_done", "mail":
		// Replies to requests that this module never makes.
		call = func(*balance.Balancer, time.Duration) {}
	default:
		return nil, fmt.Errorf("unknown event %q", name)
	}
	return call, a.err
}

var outcomes = map[string]balance.Outcome{
	"Ok": balance.OK, "Failed": balance.Failed, "QueueFull": balance.QueueFull,
	"TimedOut": balance.TimedOut, "ConnectError": balance.ConnectError,
	"ResetByPeer": balance.Reset, "Canceled": balance.Canceled, "Ignored": balance.Ignored,
}

var listKinds = map[string]balance.ListKind{
	"delta": balance.Delta, "full": balance.Full, "cached": balance.Cached, "failed": balance.ListFailed,
}

var states = map[string]balance.State{
	"in_service": balance.InService, "terminating": balance.Draining, "terminated": balance.Gone,
}

func (s *session) openInstance(number int, a *args) error {
	seed := a.uint("prng")
	if a.err != nil {
		return a.err
	}
	profile, err := settings.Read(a.raw("profile_data"))
	if err != nil {
		return fmt.Errorf("profile_data: %w", err)
	}
	inst := &instance{session: s, number: number}
	if inst.balancer, err = balance.New(profile.Balancer, seed, inst); err != nil {
		return err
	}
	s.instances[number] = inst
	return nil
}

// run calls the balancer and converts a panic into a "broken" action with the panic's text, so that the simulation ends
// with that text instead of a crash of the process.
func (i *instance) run(call func(*balance.Balancer)) {
	if i.broken {
		return
	}
	defer func() {
		if p := recover(); p != nil {
			i.broken = true
			i.begin("broken")
			i.text(fmt.Sprint(p))
			i.end()
		}
	}()
	call(i.balancer)
}

func (i *instance) begin(name string) {
	i.session.out = append(i.session.out, '[', '"')
	i.session.out = append(i.session.out, name...)
	i.session.out = append(i.session.out, '"', ',')
	i.session.out = strconv.AppendInt(i.session.out, int64(i.number), 10)
}

func (i *instance) end() { i.session.out = append(i.session.out, ']', ',') }

func (i *instance) text(s string) {
	quoted, _ := json.Marshal(s) // a string always marshals
	i.session.out = append(append(i.session.out, ','), quoted...)
}

func (i *instance) ms(d time.Duration) {
	i.session.out = strconv.AppendFloat(append(i.session.out, ','), float64(d)/float64(time.Millisecond), 'f', 3, 64)
}

// Send writes the action that starts an attempt.
func (i *instance) Send(id, server string, timeout time.Duration) {
	i.begin("relay")
	i.text(id)
	i.text(server)
	i.ms(timeout)
	i.end()
}

// Refuse writes the action that rejects a request in a way that lets the client safely retry, after wait if that is
// above 0.
func (i *instance) Refuse(id string, wait time.Duration) {
	i.begin("decline")
	i.text(id)
	i.ms(wait)
	i.end()
}

// Fail writes the action that fails a request, without the promise that a retry is safe.
func (i *instance) Fail(id string) { i.final("abort", id, "") }

func (i *instance) final(name, id, rest string) {
	i.begin(name)
	i.text(id)
	i.session.out = append(i.session.out, rest...)
	i.end()
}

// Cancel writes the action that cancels an attempt.
func (i *instance) Cancel(id string, attempt int) {
	i.final("abandon", id, ","+strconv.Itoa(attempt))
}

// SetTimer writes the action that requests a "ring" event after delay.
func (i *instance) SetTimer(delay time.Duration, token uint64) {
	i.begin("set_timer")
	i.ms(delay)
	i.session.out = strconv.AppendUint(append(i.session.out, ','), token, 10)
	i.end()
}

// Watch writes the action that subscribes to the server list.
func (i *instance) Watch() {
	i.begin("follow")
	i.session.out = append(i.session.out, ",true"...)
	i.end()
}

// Log writes the action that logs a line for human readers.
func (i *instance) Log(line string) {
	i.begin("log")
	i.text(line)
	i.end()
}

// args reads an event's values in order and records the first error.
type args struct {
	fields []json.RawMessage
	at     int
	err    error
}

func (a *args) raw(name string) json.RawMessage {
	if a.err != nil {
		return nil
	}
	if a.at >= len(a.fields) {
		a.err = fmt.Errorf("value %q is missing", name)
		return nil
	}
	a.at++
	return a.fields[a.at-1]
}

func (a *args) skip(n int) { a.at += n }

func (a *args) read(name string, into any, optional bool) {
	v := a.raw(name)
	if a.err != nil {
		return
	}
	if string(v) == "null" {
		if !optional {
			a.err = fmt.Errorf("value %q is null", name)
		}
		return
	}
	if err := json.Unmarshal(v, into); err != nil {
		a.err = fmt.Errorf("value %q: %w", name, err)
	}
}

func (a *args) str(name string) (v string)        { a.read(name, &v, false); return v }
func (a *args) int(name string) (v int)           { a.read(name, &v, false); return v }
func (a *args) optInt(name string) (v int)        { a.read(name, &v, true); return v }
func (a *args) uint(name string) (v uint64)       { a.read(name, &v, false); return v }
func (a *args) bool(name string) (v bool)         { a.read(name, &v, true); return v }
func (a *args) float(name string) (v float64)     { a.read(name, &v, true); return v }
func (a *args) dur(name string) (v time.Duration) { return settings.Millis(a.float(name)) }

func (a *args) entries(name string) []balance.Entry {
	var rows [][]json.RawMessage
	a.read(name, &rows, false)
	list := make([]balance.Entry, 0, len(rows))
	for _, row := range rows {
		r := args{fields: row, err: a.err}
		e := balance.Entry{ID: r.str("backend"), Zone: r.int("locality")}
		r.skip(1) // shape: decisions depend on observed behavior, not on the name of the server's kind
		e.Cell = r.int("stripe")
		state := r.str("lifecycle")
		var known bool
		if e.State, known = states[state]; !known && r.err == nil {
			r.err = fmt.Errorf("unknown lifecycle %q", state)
		}
		r.skip(1) // size: round robin is unweighted, and the adaptive cap on load finds slow servers
		e.Boot = r.dur("boot_time_ms")
		if a.err = r.err; a.err != nil {
			return nil
		}
		list = append(list, e)
	}
	return list
}
