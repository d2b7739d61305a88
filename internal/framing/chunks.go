package framing

import "math"

// chunkScanner finds the end of a body in chunks (RFC 9112, section 7.1). It validates nothing: net/http rejects
// malformed bodies, whose end may never be found here.
type chunkScanner struct {
	state     chunkState
	size      int64 // of the current chunk; while its data is scanned, what is left of it
	lineBytes int   // bytes of the current trailer line so far, without carriage returns
}

type chunkState int

const (
	chunkSize      chunkState = iota // in the digits of a chunk's size
	chunkExtension                   // in the rest of that line
	chunkData                        // in a chunk's data
	chunkDataEnd                     // in the line break after it
	chunkTrailer                     // behind the last chunk, in the trailer section
	chunksEnded
)

// feed scans the next bytes of the body.
func (s *chunkScanner) feed(b []byte) {
	for len(b) > 0 && s.state != chunksEnded {
		if s.state == chunkData {
			n := min(s.size, int64(len(b)))
			b = b[n:]
			if s.size -= n; s.size == 0 {
				s.state = chunkDataEnd
			}
			continue
		}
		s.next(b[0])
		b = b[1:]
	}
}

// next scans one byte outside of a chunk's data.
func (s *chunkScanner) next(c byte) {
	switch s.state {
	case chunkSize, chunkExtension:
		digit, isDigit := hexDigit(c)
		switch {
		case c == '\n':
			s.endSizeLine()
		case s.state == chunkSize && isDigit && s.size <= math.MaxInt64>>4:
			s.size = s.size<<4 | digit
		default:
			s.state = chunkExtension
		}
	case chunkDataEnd:
		if c == '\n' {
			s.state = chunkSize
		}
	case chunkTrailer:
		switch {
		case c == '\n' && s.lineBytes == 0:
			s.state = chunksEnded
		case c == '\n':
			s.lineBytes = 0
		case c != '\r':
			s.lineBytes++
		}
	}
}

func (s *chunkScanner) endSizeLine() {
	if s.state = chunkData; s.size == 0 {
		s.state = chunkTrailer
	}
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(c byte) (value int64, ok bool) {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int64(c - 'a' + 10), true
	case 'A' <= c && c <= 'F':
		return int64(c - 'A' + 10), true
	}
	return 0, false
}
