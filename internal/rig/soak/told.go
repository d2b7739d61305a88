package soak

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"brasswell/internal/standin"
	"brasswell/internal/standin/notice"
)

// toldPrefix begins the timeline's lines on changes that count as told.
const toldPrefix = "the change of "

// telling holds one judge a process and tells the books which changes count as told to which proxy. All its times are the books'.
type telling struct {
	books *standin.Books
	note  func(who, text string) // adds a line to the timeline

	mu     sync.Mutex
	judges map[string]*notice.Judge // by the proxy's name in the books
	names  map[string]string        // of the processes, by the same
}

func newTelling(books *standin.Books, note func(who, text string)) *telling {
	return &telling{books: books, note: note, judges: map[string]*notice.Judge{}, names: map[string]string{}}
}

// add adds a judge for a proxy whose process is called name.
func (t *telling) add(proxy, name string, s notice.Settings) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judges[proxy], t.names[proxy] = notice.NewJudge(s), name
}

// one has the judge of a proxy take in an event.
func (t *telling) one(proxy string, event func(j *notice.Judge, now time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if j := t.judges[proxy]; j != nil {
		event(j, t.books.Now())
	}
}

// all has all judges take in an event.
func (t *telling) all(event func(j *notice.Judge, now time.Duration)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.books.Now()
	for _, j := range t.judges {
		event(j, now)
	}
}

// started takes in that a process of a proxy is about to start with a list.
func (t *telling) started(proxy string, known json.RawMessage) error {
	first, err := standin.ParseList(known)
	if err != nil {
		return err
	}
	t.one(proxy, func(j *notice.Judge, now time.Duration) {
		t.books.Started(proxy)
		j.Started(now, first)
	})
	return nil
}

// off takes in that a server drains or is gone. It is called before discovery has it.
func (t *telling) off(server string) {
	t.all(func(j *notice.Judge, now time.Duration) { j.Off(now, server) })
}

// on takes in that a server is in service again, and takes back what counted as told without having been written. It is called once discovery
// has it.
func (t *telling) on(server string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.books.Now()
	for proxy, j := range t.judges {
		if j.On(now, server) {
			t.books.DeemTold(proxy, server, now, false)
		}
	}
}

// reachable takes in whether discovery can be reached from now on.
func (t *telling) reachable(yes bool) {
	t.all(func(j *notice.Judge, now time.Duration) { j.Reachable(now, yes) })
}

// signalled takes in that a proxy's process has been sent SIGHUP.
func (t *telling) signalled(proxy string) {
	t.one(proxy, func(j *notice.Judge, now time.Duration) { j.SIGHUP(now) })
}

// tellDue tells the books of the changes that count as told by now. It holds the lock meanwhile, so that no server comes back in between.
func (t *telling) tellDue() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.books.Now()
	for proxy, j := range t.judges {
		for _, told := range j.Due(now) {
			t.books.DeemTold(proxy, told.Server, told.At, true)
			t.note(t.names[proxy], fmt.Sprintf(toldPrefix+"%s counts as told since %v ago: %s", told.Server, (now-told.At).Round(time.Millisecond), told.Sentence))
		}
	}
}

// Called is called by discovery for each call that begins; telling is its observer.
func (t *telling) Called(proxy string, id notice.CallID, watch bool, wait time.Duration) {
	t.one(proxy, func(j *notice.Judge, now time.Duration) { j.Called(now, id, watch, wait) })
}

// FellSilent is called by discovery for a watch that says nothing more.
func (t *telling) FellSilent(proxy string, id notice.CallID) {
	t.one(proxy, func(j *notice.Judge, now time.Duration) { j.FellSilent(now, id) })
}

// Answered is called by discovery for an answer that has been written whole.
func (t *telling) Answered(proxy string, id notice.CallID, list notice.List) {
	t.one(proxy, func(j *notice.Judge, now time.Duration) { j.Answered(now, id, list) })
}

// Failed is called by discovery for a call that it has ended with no whole answer.
func (t *telling) Failed(proxy string, id notice.CallID) {
	t.one(proxy, func(j *notice.Judge, now time.Duration) { j.Failed(now, id) })
}

// GivenUp is called by discovery for a call that the proxy has ended.
func (t *telling) GivenUp(proxy string, id notice.CallID) {
	t.one(proxy, func(j *notice.Judge, now time.Duration) { j.GivenUp(now, id) })
}
