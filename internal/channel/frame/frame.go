// Package frame follows the frames of a WebSocket channel (RFC 6455, section 5) in bytes that pass through, and says
// where they break the protocol. It has no I/O and copies nothing but control frames' payloads: what is sound goes on
// byte for byte, masked as it came.
package frame

import (
	"encoding/binary"
	"fmt"
	"unicode/utf8"
)

// Opcode is what a frame holds.
type Opcode byte

// The opcodes.
const (
	Continuation Opcode = 0x0
	Text         Opcode = 0x1
	Binary       Opcode = 0x2
	Close        Opcode = 0x8
	Ping         Opcode = 0x9
	Pong         Opcode = 0xA
)

// control says whether frames of this kind stand between the fragments of a message.
func (o Opcode) control() bool { return o >= Close }

// Code is why a channel ends (RFC 6455, section 7.4, and the IANA registry).
type Code uint16

// The codes that a relay gives.
const (
	GoingAway       Code = 1001
	ProtocolError   Code = 1002
	InvalidPayload  Code = 1007
	PolicyViolation Code = 1008
	MessageTooBig   Code = 1009
	InternalError   Code = 1011
	ServiceRestart  Code = 1012
)

// NoCode stands for a Close frame that gives none; it is never sent.
const NoStatus Code = 1005

// valid says whether a peer may send the code: those for endpoints' own notes and the unassigned never stand in a frame.
func (c Code) valid() bool {
	return c >= 1000 && c <= 1003 || c >= 1007 && c <= 1014 || c >= 3000 && c <= 4999
}

const (
	// MaxControl is the longest payload of a control frame.
	MaxControlPayload = 125
	// MaxHead is the longest head of a frame: two bytes, eight of length, four of mask.
	MaxHeader = 14
	// MaxHeld bounds what Scan leaves unread until more has come: a whole control frame but its last byte.
	MaxUnconsumed = 2 + 4 + MaxControlPayload - 1

	finBit, maskBit, reservedBits byte = 0x80, 0x80, 0x70
	// Compressed is the reserved bit of permessage-deflate (RFC 7692), on the first frame of a message.
	CompressedBit byte = 0x40
)

// Violation is how a peer broke the protocol, and the code that it is told.
type Violation struct {
	Code   Code
	Reason string
}

func (v *Violation) Error() string { return fmt.Sprintf("%d: %s", v.Code, v.Reason) }

// Rules are what one direction of a channel keeps to.
type Rules struct {
	Masked       bool  // by a client, each frame; by a server, none
	ReservedBits byte  // the reserved bits that a negotiated extension may set on data frames
	MaxMessage   int64 // bytes of one message over all its fragments, as sent; 0 for no bound
	CheckUTF8    bool  // text is checked, unless it is compressed
}

// Checker follows one direction of a channel. The zero value, with Rules, stands before the first frame. It is not safe
// for concurrent use.
type Checker struct {
	Rules Rules

	left    int64 // bytes of the frame's payload still to come
	moved   int64 // bytes of it that have come
	message int64 // bytes of the message so far, announced ones included
	open    bool  // a message has begun, and its last frame not
	last    bool  // the frame at hand ends its message
	text    bool  // the message is text to be checked
	closed  bool  // a Close frame has come
	mask    [4]byte
	utf8    validator
}

// Stop is why Scan went no further.
type Stop int

// The reasons.
const (
	NeedMore     Stop = iota // it needs the bytes that follow, behind those that it left
	ControlFrame             // a whole control frame stands next
	AtBoundary               // a frame or message has ended here, as was asked for
	AfterClose               // a Close frame has come: what follows it means nothing
)

// Until says where Scan is to stop besides at control frames.
type BoundaryKind int

// The places.
const (
	NoBoundary BoundaryKind = iota // nowhere else
	MessageEnd                     // where a message ends
	FrameEnd                       // where a frame ends
)

// Result is what Scan found.
type Result struct {
	Pass int // so many bytes are sound and can go on
	Stop Stop
	// Of a control frame, which stands behind those bytes: its bytes in all, its kind and payload, unmasked.
	Size    int
	Opcode  Opcode
	Payload []byte
	Code    Code // of a Close frame
}

// Between says whether the bytes that passed end with a whole frame: another may be put in behind them.
func (c *Checker) AtFrameBoundary() bool { return c.left == 0 }

// Open says whether a message has begun, and its last byte not passed.
func (c *Checker) InMessage() bool { return c.open || c.left > 0 }

// Moved is how many payload bytes of the frame at hand have passed.
func (c *Checker) FrameBytes() int64 { return c.moved }

// Scan goes through bytes that follow those it passed before: the caller brings again what an earlier call left,
// MaxHeld at most. It stops at each control frame, and where until says.
func (c *Checker) Scan(b []byte, until BoundaryKind) (Result, *Violation) {
	n := 0
	for {
		if c.closed {
			return Result{Pass: n, Stop: AfterClose}, nil
		}
		if c.left > 0 {
			payload := b[n:min(int64(len(b)), int64(n)+c.left)]
			if c.text {
				if v := c.check(payload); v != nil {
					return Result{Pass: n}, v
				}
			}
			c.left -= int64(len(payload))
			c.moved += int64(len(payload))
			n += len(payload)
			if c.left > 0 {
				return Result{Pass: n}, nil
			}
			if v := c.frameOver(); v != nil {
				return Result{Pass: n}, v
			}
			if c.at(until) {
				return Result{Pass: n, Stop: AtBoundary}, nil
			}
		}
		h, size, v := c.head(b[n:])
		if v != nil || size == 0 {
			return Result{Pass: n}, v
		}
		if h.opcode.control() {
			return c.control(b, n, size, h)
		}
		if v := c.begin(h); v != nil {
			return Result{Pass: n}, v
		}
		n += size
		if c.left == 0 {
			if v := c.frameOver(); v != nil {
				return Result{Pass: n}, v
			}
			if c.at(until) {
				return Result{Pass: n, Stop: AtBoundary}, nil
			}
		}
	}
}

// at says whether the end of a data frame is where Scan is to stop.
func (c *Checker) at(until BoundaryKind) bool {
	return until == FrameEnd || until == MessageEnd && !c.open
}

// head is a frame's head.
type head struct {
	fin      bool
	reserved byte
	opcode   Opcode
	length   int64
	mask     [4]byte
}

// head reads a frame's head. Size 0 stands for one that is not whole; what can be told to be wrong before is.
func (c *Checker) head(b []byte) (h head, size int, v *Violation) {
	if len(b) < 2 {
		return h, 0, nil
	}
	h.fin, h.reserved, h.opcode = b[0]&finBit != 0, b[0]&reservedBits, Opcode(b[0]&0x0f)
	length, masked := b[1]&0x7f, b[1]&maskBit != 0
	switch {
	case h.opcode > Binary && h.opcode < Close || h.opcode > Pong:
		return h, 0, &Violation{ProtocolError, fmt.Sprintf("reserved opcode %#x", byte(h.opcode))}
	case masked != c.Rules.Masked && masked:
		return h, 0, &Violation{ProtocolError, "a masked frame from a server"}
	case masked != c.Rules.Masked:
		return h, 0, &Violation{ProtocolError, "an unmasked frame from a client"}
	case h.opcode.control() && !h.fin:
		return h, 0, &Violation{ProtocolError, "a fragmented control frame"}
	case h.opcode.control() && length > MaxControlPayload:
		return h, 0, &Violation{ProtocolError, "a control frame over 125 bytes"}
	case h.opcode.control() && h.reserved != 0:
		return h, 0, &Violation{ProtocolError, "reserved bits on a control frame"}
	case h.reserved&^c.Rules.ReservedBits != 0:
		return h, 0, &Violation{ProtocolError, "reserved bits that nothing was agreed on"}
	case h.opcode == Continuation && h.reserved&CompressedBit != 0 && c.Rules.ReservedBits == CompressedBit:
		return h, 0, &Violation{ProtocolError, "the compression bit within a message"}
	case h.opcode == Continuation && !c.open:
		return h, 0, &Violation{ProtocolError, "a continuation of nothing"}
	case h.opcode != Continuation && !h.opcode.control() && c.open:
		return h, 0, &Violation{ProtocolError, "a new message within another"}
	}
	size = 2
	switch length {
	case 126:
		size += 2
	case 127:
		size += 8
	}
	lengthEnd := size
	if masked {
		size += len(h.mask)
	}
	if len(b) < lengthEnd {
		return h, 0, nil
	}
	switch length {
	case 126:
		if h.length = int64(binary.BigEndian.Uint16(b[2:])); h.length < 126 {
			return h, 0, &Violation{ProtocolError, "a length written longer than it is"}
		}
	case 127:
		long := binary.BigEndian.Uint64(b[2:])
		if long>>63 != 0 {
			return h, 0, &Violation{ProtocolError, "a length with its highest bit set"}
		}
		if h.length = int64(long); h.length < 1<<16 {
			return h, 0, &Violation{ProtocolError, "a length written longer than it is"}
		}
	default:
		h.length = int64(length)
	}
	// Told before the mask has come, and before any byte of the payload goes on.
	if most := c.Rules.MaxMessage; !h.opcode.control() && most > 0 && h.length > most-c.message {
		return h, 0, &Violation{MessageTooBig, fmt.Sprintf("a message over %d bytes", most)}
	}
	if len(b) < size {
		return h, 0, nil
	}
	if masked {
		copy(h.mask[:], b[lengthEnd:])
	}
	return h, size, nil
}

// begin takes in a data frame's head.
func (c *Checker) begin(h head) *Violation {
	if h.opcode != Continuation {
		c.message, c.utf8 = 0, validator{}
		c.text = c.Rules.CheckUTF8 && h.opcode == Text && h.reserved&CompressedBit == 0
	}
	c.open, c.last = true, h.fin
	c.left, c.moved, c.mask = h.length, 0, h.mask
	c.message += h.length
	return nil
}

// frameOver takes in that a data frame has ended.
func (c *Checker) frameOver() *Violation {
	c.moved = 0
	if !c.last {
		return nil
	}
	c.open, c.message = false, 0
	if c.text && !c.utf8.whole() {
		return &Violation{InvalidPayload, "text that ends within a character"}
	}
	return nil
}

func (c *Checker) check(payload []byte) *Violation {
	for i, b := range payload {
		if c.Rules.Masked {
			b ^= c.mask[(c.moved+int64(i))&3]
		}
		if !c.utf8.next(b) {
			return &Violation{InvalidPayload, "text that is not UTF-8"}
		}
	}
	return nil
}

// control reads a control frame whose head, of so many bytes, stands at n.
func (c *Checker) control(b []byte, n, size int, h head) (Result, *Violation) {
	r := Result{Pass: n, Size: size + int(h.length), Opcode: h.opcode}
	if len(b) < n+r.Size {
		return Result{Pass: n}, nil
	}
	r.Stop, r.Payload = ControlFrame, append([]byte(nil), b[n+size:n+r.Size]...)
	if c.Rules.Masked {
		for i := range r.Payload {
			r.Payload[i] ^= h.mask[i&3]
		}
	}
	if h.opcode == Close {
		var v *Violation
		if r.Code, v = closeCode(r.Payload); v != nil {
			return Result{Pass: n}, v
		}
		c.closed = true
	}
	return r, nil
}

func closeCode(payload []byte) (Code, *Violation) {
	if len(payload) == 0 {
		return NoStatus, nil
	}
	if len(payload) == 1 {
		return 0, &Violation{ProtocolError, "a Close frame with half a code"}
	}
	code := Code(binary.BigEndian.Uint16(payload))
	if !code.valid() {
		return 0, &Violation{ProtocolError, fmt.Sprintf("close code %d", code)}
	}
	if !utf8.Valid(payload[2:]) {
		return 0, &Violation{InvalidPayload, "a reason that is not UTF-8"}
	}
	return code, nil
}

// validator checks UTF-8 byte by byte, over any cuts: a character may be spread over frames.
type validator struct {
	want     int  // continuation bytes still to come
	low, top byte // the range of the next one
}

func (v *validator) whole() bool { return v.want == 0 }

// next follows table 3-7 of the Unicode standard: the first continuation byte's range rules out overlong forms,
// surrogates and what lies beyond U+10FFFF.
func (v *validator) next(b byte) bool {
	if v.want > 0 {
		ok := b >= v.low && b <= v.top
		v.want, v.low, v.top = v.want-1, 0x80, 0xBF
		return ok
	}
	v.low, v.top = 0x80, 0xBF
	switch {
	case b < 0x80:
	case b >= 0xC2 && b <= 0xDF:
		v.want = 1
	case b >= 0xE0 && b <= 0xEF:
		v.want = 2
		switch b {
		case 0xE0:
			v.low = 0xA0
		case 0xED:
			v.top = 0x9F
		}
	case b >= 0xF0 && b <= 0xF4:
		v.want = 3
		switch b {
		case 0xF0:
			v.low = 0x90
		case 0xF4:
			v.top = 0x8F
		}
	default:
		return false
	}
	return true
}

// AppendControl writes a control frame of MaxControl payload bytes at most; mask is nil for one to a client.
func AppendControl(dst []byte, op Opcode, payload []byte, mask *[4]byte) []byte {
	payload = payload[:min(len(payload), MaxControlPayload)]
	dst = append(dst, finBit|byte(op))
	if mask == nil {
		return append(append(dst, byte(len(payload))), payload...)
	}
	dst = append(append(dst, maskBit|byte(len(payload))), mask[:]...)
	for i, b := range payload {
		dst = append(dst, b^mask[i&3])
	}
	return dst
}

// AppendClose writes a Close frame. A reason too long is cut where a character ends.
func AppendClose(dst []byte, code Code, reason string, mask *[4]byte) []byte {
	for len(reason) > MaxControlPayload-2 {
		_, size := utf8.DecodeLastRuneInString(reason)
		reason = reason[:len(reason)-size]
	}
	payload := append(binary.BigEndian.AppendUint16(nil, uint16(code)), reason...)
	return AppendControl(dst, Close, payload, mask)
}
