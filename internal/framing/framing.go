// Package framing looks on as net/http reads messages and notes what that hides about their ends. It has no I/O.
package framing

import (
	"bytes"
	"strconv"
)

// Follower follows where messages begin and end in what one side of a connection sends, and notes the one thing
// that net/http hides: a head with both Content-Length and Transfer-Encoding. net/http drops the length and
// goes by the chunks; whoever goes by the length sees the next message begin elsewhere, so that a request can
// stand inside the body of another (RFC 9112, section 6.1). It only looks on: net/http still reads the message
// and turns away what is malformed.
//
// It guards against that smuggling, and should also catch other heads that it reads in another way than
// net/http: it follows no further than the first message with a transfer coding, and what it has not plainly
// seen to be framed by chunks alone is not taken as such. It might turn away a sound chunked message whose
// head is written in a way that net/http reads and this does not.
type Tracker struct {
	line   [64]byte // how the line at hand begins
	filled int
	start  bool // the start line has been read
	next   bool // an answer with a 1xx status: another head follows

	hasLength, hasCoding bool
	length               int64 // the body's, as announced
	skip                 int64 // bytes of a body that are still to come
	interim              int   // heads with a 1xx status so far
	afterInterim         bool  // the last head was one of those
	lost                 bool  // it follows no longer
	chunked              bool  // the message with which it stopped has chunks and no length
	folded               bool  // a line of a head went on in the next
}

var (
	lengthField = []byte("content-length")
	codingField = []byte("transfer-encoding")
)

// Feed takes in the bytes that came next.
func (f *Tracker) Feed(b []byte) {
	for len(b) > 0 && !f.lost {
		if f.skip > 0 {
			n := min(f.skip, int64(len(b)))
			f.skip -= n
			b = b[n:]
			continue
		}
		end := bytes.IndexByte(b, '\n')
		part := b
		if end >= 0 {
			part = b[:end]
		}
		f.filled += copy(f.line[f.filled:], part)
		if end < 0 {
			return
		}
		b = b[end+1:]
		f.endLine(bytes.TrimSuffix(f.line[:f.filled], []byte("\r")))
		f.filled = 0
	}
}

func (f *Tracker) endLine(line []byte) {
	if len(line) == 0 {
		if f.start { // net/http turns away an empty line ahead of a head
			f.endHead()
		}
		return
	}
	if f.start && (line[0] == ' ' || line[0] == '\t') {
		f.folded = true
	}
	if !f.start {
		f.start = true
		f.next = bytes.HasPrefix(line, []byte("HTTP/1.1 1"))
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch name = bytes.TrimSpace(name); {
	case bytes.EqualFold(name, lengthField):
		f.hasLength = true
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if f.length = n; err != nil || n < 0 {
			f.lost = true
		}
	case bytes.EqualFold(name, codingField):
		f.hasCoding = true
	}
}

func (f *Tracker) endHead() {
	if f.afterInterim = f.next; f.next {
		f.interim++
	}
	f.lost = f.lost || f.hasCoding
	f.chunked = f.hasCoding && !f.hasLength
	if !f.next {
		f.skip = f.length
	}
	f.start, f.next, f.hasLength, f.hasCoding, f.length = false, false, false, false, 0
}

// Interim is how many heads with a 1xx status have come.
func (f *Tracker) InterimCount() int { return f.interim }

// AfterInterim says whether a head with a 1xx status has ended and nothing has come behind it yet.
func (f *Tracker) AfterInterim() bool { return f.afterInterim && !f.start && f.filled == 0 && !f.lost }

// Chunked says whether the message with which it stopped is framed by chunks and no length.
func (f *Tracker) Chunked() bool { return f.chunked }

// Folded says whether a field of any head so far went on in the line behind (RFC 9112, section 5.2, obsolete). net/http
// joins such lines; whoever does not reads a field of its own there, maybe one that says where the message ends.
func (f *Tracker) Folded() bool { return f.folded }

// Between says whether nothing of a further message has come behind the last. Of messages that it does not follow it
// cannot be told, and then this is false.
func (f *Tracker) AtMessageBoundary() bool {
	return !f.start && f.filled == 0 && f.skip == 0 && !f.lost
}
