package framing

import "testing"

// FuzzTracker checks that the result does not depend on how the stream is split into reads.
func FuzzTracker(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"), uint8(3))
	f.Add([]byte("HTTP/1.1 103 x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), uint8(1))
	f.Add([]byte("GET / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n"), uint8(7))
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\n0\r\n\r\n0\r\nX: y\r\n\r\n"), uint8(2))
	f.Fuzz(func(t *testing.T, text []byte, step uint8) {
		var whole, parts Tracker
		whole.Feed(text)
		n := int(step)%7 + 1
		for b := text; len(b) > 0; b = b[min(n, len(b)):] {
			parts.Feed(b[:min(n, len(b))])
		}
		for message := range 4 {
			if whole.Message(message) != parts.Message(message) {
				t.Fatalf("message %d, whole: %d, in pieces of %d: %d", message, whole.Message(message), n, parts.Message(message))
			}
			if whole.BodyComplete(message, 0) != parts.BodyComplete(message, 0) {
				t.Fatalf("message %d: complete depends on pieces of %d", message, n)
			}
		}
	})
}
