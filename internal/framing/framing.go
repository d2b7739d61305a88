// Package framing observes the bytes of HTTP/1.1 messages that net/http reads, and records details of their framing that
// net/http does not report. It performs no I/O.
package framing

import (
	"bytes"
	"strconv"
)

// Tracker tracks where messages begin and end in the bytes that one side of a connection sends. Above all it detects
// headers with both Content-Length and Transfer-Encoding, which net/http does not report. net/http ignores the length
// and uses the chunks. A recipient that uses the length sees the next message begin elsewhere, so that a request can be
// hidden inside the body of another one (RFC 9112, section 6.1). Tracker is passive: net/http still reads the messages
// and rejects malformed ones.
//
// It protects against this kind of request smuggling, and against other headers that it parses differently from
// net/http: it stops at the first message with a transfer coding, reports that message as Chunked only if it clearly
// saw framing by chunks alone, and reports all later ones as Unknown. A valid chunked message may be rejected if net/http
// can parse its header and Tracker cannot.
type Tracker struct {
	line      [64]byte // beginning of the current line
	lineLen   int
	inHead    bool // the start line has been read, and the header section has not ended
	isInterim bool // the header section is that of a 1xx response, so another one follows

	hasLength, hasCoding bool
	hasClose             bool         // the header section announces that the connection closes
	lastClose            bool         // the last message's header section did
	length               int64        // announced length of the body
	bodyLeft             int64        // bytes of a body that have not arrived yet
	interim              int          // number of 1xx responses so far
	messages             int          // number of header sections so far, not counting those of 1xx responses
	last                 Kind         // how the last of these messages is framed
	afterInterim         bool         // the last header section was that of a 1xx response
	stopped              bool         // tracking has stopped
	chunks               chunkScanner // of the message at which it has stopped, if that is Chunked
	fields               int          // number of fields of the current header section so far
	headBytes            int          // number of its bytes so far
	lastHead             HeadSize     // of the last header section that has ended
	tooManyFields        bool         // a header section has more than MaxFields
	folded               bool         // a header field was continued on the next line
	single               bool         // only the first message is tracked, up to the end of its head
}

// NewResponseTracker returns a tracker of the responses to one request. It tracks them up to the end of the final response's
// head: a body whose end is given by the close of its connection, and excess bytes behind a response, are not parsed as
// further heads.
func NewResponseTracker() Tracker { return Tracker{single: true} }

// Kind is how the end of a message is determined.
type Kind int

// The kinds of framing.
const (
	Unknown   Kind = iota // the message is not tracked, because an earlier one has a transfer coding or a malformed length
	Plain                 // by a length, or without a transfer coding
	Chunked               // by a transfer coding alone
	Ambiguous             // there are both a length and a transfer coding
)

var (
	lengthField = []byte("content-length")
	codingField = []byte("transfer-encoding")

	connectionField = []byte("connection")
	closeOption     = []byte("close")
)

// MaxFields is the most fields that a header section may have. A parsed field takes over 100 bytes, however short it is,
// so a limit on the bytes of a header section does not bound its memory.
const MaxFields = 128

// Feed processes the next bytes received, and returns how many of them belong to messages within the limits: all of them,
// unless a header section has more than MaxFields fields. Nothing is processed after that.
func (f *Tracker) Feed(b []byte) (accepted int) {
	size := len(b)
	for len(b) > 0 && !f.tooManyFields {
		if f.stopped {
			if f.last == Chunked && !f.single {
				f.chunks.feed(b)
			}
			return size
		}
		if f.bodyLeft > 0 {
			n := min(f.bodyLeft, int64(len(b)))
			f.bodyLeft -= n
			b = b[n:]
			continue
		}
		end := bytes.IndexByte(b, '\n')
		part := b
		if end >= 0 {
			part = b[:end]
		}
		f.lineLen += copy(f.line[f.lineLen:], part)
		f.headBytes += len(part)
		if end < 0 {
			return size
		}
		b = b[end+1:]
		f.endLine(bytes.TrimSuffix(f.line[:f.lineLen], []byte("\r")))
		f.lineLen = 0
	}
	return size - len(b)
}

// TooManyFields reports whether a header section has more than MaxFields fields.
func (f *Tracker) TooManyFields() bool { return f.tooManyFields }

// HeadSize is the size of a header section with its start line.
type HeadSize struct{ Bytes, Fields int }

// Head returns the size of the current header section so far or, behind its end, of the last one.
func (f *Tracker) Head() HeadSize {
	if f.inHead || f.lineLen > 0 {
		return HeadSize{Bytes: f.headBytes, Fields: f.fields}
	}
	return f.lastHead
}

func (f *Tracker) endLine(line []byte) {
	if len(line) == 0 {
		if f.inHead { // net/http rejects an empty line before a start line
			f.endHead()
		}
		return
	}
	if f.inHead && (line[0] == ' ' || line[0] == '\t') {
		f.folded = true
	}
	if !f.inHead {
		f.inHead = true
		f.isInterim = bytes.HasPrefix(line, []byte("HTTP/1.1 1"))
		return
	}
	if f.fields++; f.fields > MaxFields {
		f.tooManyFields = true
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch name = bytes.TrimSpace(name); {
	case bytes.EqualFold(name, lengthField):
		f.hasLength = true
		n, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if f.length = n; err != nil || n < 0 {
			f.stopped = true
		}
	case bytes.EqualFold(name, codingField):
		f.hasCoding = true
	case bytes.EqualFold(name, connectionField):
		for option := range bytes.SplitSeq(value, []byte(",")) {
			f.hasClose = f.hasClose || bytes.EqualFold(bytes.TrimSpace(option), closeOption)
		}
	}
}

func (f *Tracker) endHead() {
	if f.afterInterim = f.isInterim; f.isInterim {
		f.interim++
	}
	f.stopped = f.stopped || f.hasCoding
	if !f.isInterim {
		f.bodyLeft = f.length
		f.messages++
		f.last, f.lastClose = f.headKind(), f.hasClose
		f.stopped = f.stopped || f.single
	}
	f.lastHead = HeadSize{Bytes: f.headBytes, Fields: f.fields}
	f.inHead, f.isInterim, f.hasLength, f.hasCoding, f.hasClose, f.length, f.fields, f.headBytes = false, false, false, false, false, 0, 0, 0
}

// headKind returns the framing that the current header section determines.
func (f *Tracker) headKind() Kind {
	switch {
	case !f.hasCoding:
		return Plain
	case f.hasLength:
		return Ambiguous
	}
	return Chunked
}

// Message returns how the nth message is framed, not counting 1xx responses. The first one has number 1. It returns
// Unknown for a message whose header section has not been tracked to its end.
func (f *Tracker) Message(n int) Kind {
	switch {
	case n < 1 || n > f.messages:
		return Unknown
	case n < f.messages:
		return Plain // tracking continues only after such messages
	}
	return f.last
}

// BodyComplete reports whether the body of the nth message has been fed to its end. unseen is the number of bytes that
// have arrived behind those that were fed. A body in chunks is complete only if its end has been fed.
func (f *Tracker) BodyComplete(n int, unseen int) bool {
	switch f.Message(n) {
	case Plain:
		return n < f.messages || f.bodyLeft <= int64(unseen)
	case Chunked:
		return f.chunks.state == chunksEnded
	}
	return false
}

// AnnouncesClose reports whether the last message's head announces that its connection closes behind it. net/http removes that
// field.
func (f *Tracker) AnnouncesClose() bool { return f.lastClose }

// InterimCount returns the number of 1xx responses so far.
func (f *Tracker) InterimCount() int { return f.interim }

// AfterInterim reports whether a 1xx response has ended and nothing has arrived after it yet.
func (f *Tracker) AfterInterim() bool {
	return f.afterInterim && !f.inHead && f.lineLen == 0 && !f.stopped
}

// Folded reports whether a header field so far was continued on the next line (obsolete line folding, RFC 9112, section
// 5.2). net/http joins such lines. A recipient that doesn't join them reads a separate field there, which may determine
// where the message ends.
func (f *Tracker) Folded() bool { return f.folded }

// AtMessageBoundary reports whether nothing of another message has arrived after the last one. It returns false once
// tracking has stopped, because message boundaries are unknown then.
func (f *Tracker) AtMessageBoundary() bool {
	return !f.inHead && f.lineLen == 0 && f.bodyLeft == 0 && !f.stopped
}
