// Package frame parses the frames of a WebSocket channel (RFC 6455, section 5) in a stream that is forwarded, and detects
// violations of the protocol. It does no I/O, and copies only the payloads of control frames: valid data is forwarded
// byte for byte, with its original masking.
package frame

import (
	"encoding/binary"
	"fmt"
	"unicode/utf8"
)

// Opcode is the type of a frame.
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

// isControl reports whether o is a control frame, which may come between the fragments of a message.
func (o Opcode) isControl() bool { return o >= Close }

// Code is the status code of a Close (RFC 6455, section 7.4, and the IANA registry).
type Code uint16

// The codes that a relay sends.
const (
	GoingAway       Code = 1001
	ProtocolError   Code = 1002
	InvalidPayload  Code = 1007
	PolicyViolation Code = 1008
	MessageTooBig   Code = 1009
	InternalError   Code = 1011
	ServiceRestart  Code = 1012
)

// NoStatus represents a Close frame without a code; it is never sent.
const NoStatus Code = 1005

// valid reports whether a peer may send the code. Codes that are reserved for local use and unassigned codes must not
// appear in a frame.
func (c Code) valid() bool {
	return c >= 1000 && c <= 1003 || c >= 1007 && c <= 1014 || c >= 3000 && c <= 4999
}

const (
	// MaxControlPayload is the longest payload of a control frame.
	MaxControlPayload = 125
	// MaxHeader is the longest header of a frame: two bytes, eight of length, four of masking key.
	MaxHeader = 14
	// MaxUnconsumed is the most that Scan leaves unconsumed until it gets more data: a control frame without its last byte.
	MaxUnconsumed = 2 + 4 + MaxControlPayload - 1

	finBit, maskBit, reservedBits byte = 0x80, 0x80, 0x70
	// CompressedBit is the reserved bit of permessage-deflate (RFC 7692), on the first frame of a message.
	CompressedBit byte = 0x40
)

// Violation describes how a peer violated the protocol, and the code of the Close that it gets.
type Violation struct {
	Code   Code
	Reason string
}

func (v *Violation) Error() string { return fmt.Sprintf("%d: %s", v.Code, v.Reason) }

// Rules are the rules that the frames of one direction must follow.
type Rules struct {
	Masked       bool  // all frames must be masked (from a client), or none (from a server)
	ReservedBits byte  // the reserved bits that a negotiated extension may set on data frames
	MaxMessage   int64 // bytes of one message, over all its fragments and as sent; 0 for no limit
	CheckUTF8    bool  // text messages must be valid UTF-8, unless they are compressed
}

// Checker parses and checks the frames of one direction of a channel. The zero value, with Rules set, expects the first
// frame. It is not safe for concurrent use.
type Checker struct {
	Rules Rules

	remaining    int64 // payload bytes of the current frame that are still to come
	passed       int64 // payload bytes of the current frame that have passed
	messageBytes int64 // bytes of the message so far, including announced ones
	inMessage    bool  // a message has begun, and its last frame has not ended
	final        bool  // the current frame is the last one of its message
	checkText    bool  // the message is text whose UTF-8 is checked
	closed       bool  // a Close frame was found
	mask         [4]byte
	utf8         utf8Validator
}

// Stop is the reason why Scan stopped.
type Stop int

// The reasons why Scan stops.
const (
	NeedMore     Stop = iota // more data is needed; the next call must begin with the unconsumed bytes
	ControlFrame             // a complete control frame comes next
	AtBoundary               // a frame or message has ended here, at a requested boundary
	AfterClose               // a Close frame was found; data after it has no meaning
)

// BoundaryKind is the kind of boundary at which Scan stops, in addition to control frames.
type BoundaryKind int

// The kinds of boundaries.
const (
	NoBoundary BoundaryKind = iota // none
	MessageEnd                     // the end of a message
	FrameEnd                       // the end of a frame
)

// Result is the result of Scan.
type Result struct {
	Pass int // the number of bytes that are valid and can be forwarded
	Stop Stop
	// The control frame that follows those bytes, if Stop is ControlFrame: its size, its type and its unmasked payload.
	Size    int
	Opcode  Opcode
	Payload []byte
	Code    Code // of a Close frame; NoStatus if it has none
}

// AtFrameBoundary reports whether the bytes that have passed end with a complete frame, so that another frame may be
// inserted after them.
func (c *Checker) AtFrameBoundary() bool { return c.remaining == 0 }

// InMessage reports whether a message has begun and its last byte has not passed.
func (c *Checker) InMessage() bool { return c.inMessage || c.remaining > 0 }

// FrameBytes returns how many payload bytes of the current frame have passed.
func (c *Checker) FrameBytes() int64 { return c.passed }

// Scan checks b, which must follow the data that passed before. It begins with the bytes that the previous call left
// unconsumed, at most MaxUnconsumed. Scan stops at each control frame, and at boundaries of the given kind.
func (c *Checker) Scan(b []byte, until BoundaryKind) (Result, *Violation) {
	n := 0
	for {
		if c.closed {
			return Result{Pass: n, Stop: AfterClose}, nil
		}
		if c.remaining > 0 {
			payload := b[n:min(int64(len(b)), int64(n)+c.remaining)]
			if c.checkText {
				if v := c.validateText(payload); v != nil {
					return Result{Pass: n}, v
				}
			}
			c.remaining -= int64(len(payload))
			c.passed += int64(len(payload))
			n += len(payload)
			if c.remaining > 0 {
				return Result{Pass: n}, nil
			}
			if v := c.endFrame(); v != nil {
				return Result{Pass: n}, v
			}
			if c.stopsAt(until) {
				return Result{Pass: n, Stop: AtBoundary}, nil
			}
		}
		h, size, v := c.parseHeader(b[n:])
		if v != nil || size == 0 {
			return Result{Pass: n}, v
		}
		if h.opcode.isControl() {
			return c.parseControl(b, n, size, h)
		}
		if v := c.beginFrame(h); v != nil {
			return Result{Pass: n}, v
		}
		n += size
		if c.remaining == 0 {
			if v := c.endFrame(); v != nil {
				return Result{Pass: n}, v
			}
			if c.stopsAt(until) {
				return Result{Pass: n, Stop: AtBoundary}, nil
			}
		}
	}
}

// stopsAt reports whether Scan stops at the end of the data frame that has just ended.
func (c *Checker) stopsAt(until BoundaryKind) bool {
	return until == FrameEnd || until == MessageEnd && !c.inMessage
}

// header is the header of a frame.
type header struct {
	fin      bool
	reserved byte
	opcode   Opcode
	length   int64
	mask     [4]byte
}

// parseHeader parses the header of a frame. size is 0 if the header is incomplete; violations that the available bytes
// show are reported even then.
func (c *Checker) parseHeader(b []byte) (h header, size int, v *Violation) {
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
	case h.opcode.isControl() && !h.fin:
		return h, 0, &Violation{ProtocolError, "a fragmented control frame"}
	case h.opcode.isControl() && length > MaxControlPayload:
		return h, 0, &Violation{ProtocolError, "a control frame over 125 bytes"}
	case h.opcode.isControl() && h.reserved != 0:
		return h, 0, &Violation{ProtocolError, "reserved bits on a control frame"}
	case h.reserved&^c.Rules.ReservedBits != 0:
		return h, 0, &Violation{ProtocolError, "reserved bits that nothing was agreed on"}
	case h.opcode == Continuation && h.reserved&CompressedBit != 0 && c.Rules.ReservedBits == CompressedBit:
		return h, 0, &Violation{ProtocolError, "the compression bit within a message"}
	case h.opcode == Continuation && !c.inMessage:
		return h, 0, &Violation{ProtocolError, "a continuation of nothing"}
	case h.opcode != Continuation && !h.opcode.isControl() && c.inMessage:
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
	// This is checked before the masking key has arrived, and before any payload is forwarded.
	if limit := c.Rules.MaxMessage; !h.opcode.isControl() && limit > 0 && h.length > limit-c.messageBytes {
		return h, 0, &Violation{MessageTooBig, fmt.Sprintf("a message over %d bytes", limit)}
	}
	if len(b) < size {
		return h, 0, nil
	}
	if masked {
		copy(h.mask[:], b[lengthEnd:])
	}
	return h, size, nil
}

// beginFrame updates the state with the header of a data frame.
func (c *Checker) beginFrame(h header) *Violation {
	if h.opcode != Continuation {
		c.messageBytes, c.utf8 = 0, utf8Validator{}
		c.checkText = c.Rules.CheckUTF8 && h.opcode == Text && h.reserved&CompressedBit == 0
	}
	c.inMessage, c.final = true, h.fin
	c.remaining, c.passed, c.mask = h.length, 0, h.mask
	c.messageBytes += h.length
	return nil
}

// endFrame updates the state at the end of a data frame.
func (c *Checker) endFrame() *Violation {
	c.passed = 0
	if !c.final {
		return nil
	}
	c.inMessage, c.messageBytes = false, 0
	if c.checkText && !c.utf8.complete() {
		return &Violation{InvalidPayload, "text that ends within a character"}
	}
	return nil
}

// validateText checks that the payload continues valid UTF-8.
func (c *Checker) validateText(payload []byte) *Violation {
	for i, b := range payload {
		if c.Rules.Masked {
			b ^= c.mask[(c.passed+int64(i))&3]
		}
		if !c.utf8.next(b) {
			return &Violation{InvalidPayload, "text that is not UTF-8"}
		}
	}
	return nil
}

// parseControl parses the control frame at b[n:], whose header h has the given size.
func (c *Checker) parseControl(b []byte, n, size int, h header) (Result, *Violation) {
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

// closeCode returns the code in the payload of a Close frame.
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

// utf8Validator checks UTF-8 byte by byte, because a character may be spread over frames and reads.
type utf8Validator struct {
	needed           int  // continuation bytes that are still to come
	nextMin, nextMax byte // the range of the next one
}

// complete reports whether the text does not end within a character.
func (v *utf8Validator) complete() bool { return v.needed == 0 }

// next checks the next byte according to table 3-7 of the Unicode standard. The range of the first continuation byte
// excludes overlong forms, surrogates and code points above U+10FFFF.
func (v *utf8Validator) next(b byte) bool {
	if v.needed > 0 {
		ok := b >= v.nextMin && b <= v.nextMax
		v.needed, v.nextMin, v.nextMax = v.needed-1, 0x80, 0xBF
		return ok
	}
	v.nextMin, v.nextMax = 0x80, 0xBF
	switch {
	case b < 0x80:
	case b >= 0xC2 && b <= 0xDF:
		v.needed = 1
	case b >= 0xE0 && b <= 0xEF:
		v.needed = 2
		switch b {
		case 0xE0:
			v.nextMin = 0xA0
		case 0xED:
			v.nextMax = 0x9F
		}
	case b >= 0xF0 && b <= 0xF4:
		v.needed = 3
		switch b {
		case 0xF0:
			v.nextMin = 0x90
		case 0xF4:
			v.nextMax = 0x8F
		}
	default:
		return false
	}
	return true
}

// AppendControl appends a control frame with at most MaxControlPayload bytes of the payload. mask is nil for a frame to a
// client.
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

// AppendClose appends a Close frame. A reason that is too long is truncated at the end of a character.
func AppendClose(dst []byte, code Code, reason string, mask *[4]byte) []byte {
	for len(reason) > MaxControlPayload-2 {
		_, size := utf8.DecodeLastRuneInString(reason)
		reason = reason[:len(reason)-size]
	}
	payload := append(binary.BigEndian.AppendUint16(nil, uint16(code)), reason...)
	return AppendControl(dst, Close, payload, mask)
}
