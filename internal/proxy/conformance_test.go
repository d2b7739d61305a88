package proxy

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"brasswell/internal/channel/frame"
)

// wireCase is the input from one end of a channel and its expected effects.
type wireCase struct {
	name      string
	input     string     // bytes sent by the client's end or the server's
	forwarded []string   // first byte and payload of each frame that reaches the other end, without Close frames
	code      frame.Code // the code that the sender gets; 0 if there is no error
	closeCode frame.Code // the code of the sender's own Close, which reaches the other end; 0 for none
	utf8      bool       // the client requests UTF-8 checks of text
	deflate   bool       // permessage-deflate is negotiated
}

const maxMessage = 1 << 20 // by default

// wireCases returns the cases, which are the same for both ends. build encodes a frame, valid or not, as the end sends it;
// header encodes only the start of a frame with the given length field.
func wireCases(build func(first byte, payload string) string, header func(first byte, length string) string) []wireCase {
	var all []wireCase
	add := func(c wireCase) { all = append(all, c) }
	good := func(name string, frames ...string) { // pairs of first byte and payload
		c := wireCase{name: name}
		for i := 0; i < len(frames); i += 2 {
			c.input += build(frames[i][0], frames[i+1])
			c.forwarded = append(c.forwarded, frames[i]+frames[i+1])
		}
		add(c)
	}
	bad := func(name string, code frame.Code, sends string, forwarded ...string) {
		add(wireCase{name: name, input: sends, code: code, forwarded: forwarded})
	}
	kinds := map[byte]string{0: "continuation", 1: "text", 2: "binary", 8: "close", 9: "ping", 10: "pong"}

	for _, op := range []byte{1, 2} {
		for _, n := range []int{0, 1, 125, 126, 127, 128, 65535, 65536, 100_000} {
			good(fmt.Sprintf("framing/%s of %d bytes", kinds[op], n), string([]byte{0x80 | op}), strings.Repeat("x", n))
		}
	}
	for _, op := range []byte{9, 10} {
		for _, n := range []int{0, 1, 125} {
			good(fmt.Sprintf("control/%s of %d bytes", kinds[op], n), string([]byte{0x80 | op}), strings.Repeat("x", n))
		}
		bad(fmt.Sprintf("control/%s of 126 bytes", kinds[op]), 1002, build(0x80|op, strings.Repeat("x", 126)))
		bad(fmt.Sprintf("control/%s of 65536 bytes", kinds[op]), 1002, header(0x80|op, "\x7f\x00\x00\x00\x00\x00\x01\x00\x00"))
		bad(fmt.Sprintf("control/%s in parts", kinds[op]), 1002, build(op, "x"))
	}
	bad("control/close in parts", 1002, build(0x08, closePayload(1000)))
	good("control/ten pings", "\x89", "0", "\x89", "1", "\x89", "2", "\x89", "3", "\x89", "4", "\x89", "5", "\x89", "6", "\x89", "7", "\x89", "8", "\x89", "9")
	good("control/unsolicited pong", "\x8a", "x", "\x81", "y")

	for bits := byte(0x10); bits <= 0x70; bits += 0x10 {
		for _, op := range []byte{1, 2, 8, 9, 10} {
			payload := ""
			if op == 8 {
				payload = closePayload(1000)
			}
			bad(fmt.Sprintf("reserved bits/%#x on %s", bits, kinds[op]), 1002, build(0x80|bits|op, payload))
		}
		bad(fmt.Sprintf("reserved bits/%#x on continuation", bits), 1002, build(0x01, "a")+build(0x80|bits, "b"), "\x01a")
	}
	for _, op := range []byte{3, 4, 5, 6, 7, 11, 12, 13, 14, 15} {
		bad(fmt.Sprintf("opcodes/%#x", op), 1002, build(0x80|op, "x"))
		bad(fmt.Sprintf("opcodes/%#x after a message", op), 1002, build(0x81, "a")+build(0x80|op, ""), "\x81a")
	}

	good("fragments/two", "\x01", "a", "\x80", "b")
	good("fragments/three binary", "\x02", "a", "\x00", "b", "\x80", "c")
	good("fragments/all empty", "\x01", "", "\x00", "", "\x80", "")
	good("fragments/empty first", "\x01", "", "\x80", "b")
	good("fragments/empty last", "\x01", "a", "\x80", "")
	good("fragments/long", "\x02", strings.Repeat("a", 70_000), "\x80", strings.Repeat("b", 70_000))
	good("fragments/ping between", "\x01", "a", "\x89", "p", "\x80", "b")
	good("fragments/pong between", "\x01", "a", "\x8a", "p", "\x80", "b")
	good("fragments/messages one after another", "\x01", "a", "\x80", "b", "\x82", "c", "\x02", "d", "\x80", "e")
	bad("fragments/continuation of nothing", 1002, build(0x80, "x"))
	bad("fragments/open continuation of nothing", 1002, build(0x00, "x"))
	bad("fragments/continuation after a whole message", 1002, build(0x81, "a")+build(0x80, "b"), "\x81a")
	bad("fragments/continuation after the last", 1002, build(0x01, "a")+build(0x80, "b")+build(0x80, "c"), "\x01a", "\x80b")
	bad("fragments/text within text", 1002, build(0x01, "a")+build(0x81, "b"), "\x01a")
	bad("fragments/binary within text", 1002, build(0x01, "a")+build(0x02, "b"), "\x01a")
	bad("fragments/text within binary", 1002, build(0x02, "a")+build(0x01, "b"), "\x02a")

	for _, code := range []frame.Code{1000, 1001, 1002, 1003, 1007, 1008, 1009, 1010, 1011, 1012, 1013, 1014, 3000, 3999, 4000, 4999} {
		add(wireCase{name: fmt.Sprintf("close/code %d", code), input: build(0x88, closePayload(code)), closeCode: code})
	}
	for _, code := range []frame.Code{0, 1, 999, 1004, 1005, 1006, 1015, 1016, 1100, 2000, 2999, 5000, 65535} {
		bad(fmt.Sprintf("close/code %d", code), 1002, build(0x88, closePayload(code)))
	}
	add(wireCase{name: "close/without a code", input: build(0x88, ""), closeCode: frame.NoStatus})
	bad("close/half a code", 1002, build(0x88, "\x03"))
	add(wireCase{name: "close/a reason of 123 bytes", input: build(0x88, closePayload(1000)+strings.Repeat("x", 123)), closeCode: 1000})
	bad("close/a reason of 124 bytes", 1002, build(0x88, closePayload(1000)+strings.Repeat("x", 124)))
	bad("close/a reason that is not UTF-8", 1007, build(0x88, closePayload(1000)+"\xff"))
	bad("close/a reason cut in a character", 1007, build(0x88, closePayload(1000)+"\xe6\x88"))
	add(wireCase{name: "close/after a message", input: build(0x81, "a") + build(0x88, closePayload(1000)), forwarded: []string{"\x81a"}, closeCode: 1000})
	add(wireCase{name: "close/within a message", input: build(0x01, "a") + build(0x88, closePayload(1000)), forwarded: []string{"\x01a"}, closeCode: 1000})
	add(wireCase{name: "close/data after it is dropped", input: build(0x88, closePayload(1000)) + build(0x81, "late"), closeCode: 1000})
	add(wireCase{name: "close/twice", input: build(0x88, closePayload(1000)) + build(0x88, closePayload(1001)), closeCode: 1000})
	add(wireCase{name: "close/garbage after it is dropped", input: build(0x88, closePayload(1000)) + "\xff\xff\xff", closeCode: 1000})

	bad("lengths/16 bits for 125", 1002, header(0x82, "\x7e\x00\x7d"))
	bad("lengths/16 bits for 0", 1002, header(0x82, "\x7e\x00\x00"))
	bad("lengths/64 bits for 125", 1002, header(0x82, "\x7f\x00\x00\x00\x00\x00\x00\x00\x7d"))
	bad("lengths/64 bits for 65535", 1002, header(0x82, "\x7f\x00\x00\x00\x00\x00\x00\xff\xff"))
	bad("lengths/the highest bit", 1002, header(0x82, "\x7f\x80\x00\x00\x00\x00\x01\x00\x00"))
	bad("lengths/all bits", 1002, header(0x82, "\x7f"+strings.Repeat("\xff", 8)))
	bad("lengths/the longest there is", 1009, header(0x82, "\x7f\x7f"+strings.Repeat("\xff", 7)))
	bad("lengths/1 GiB", 1009, header(0x82, "\x7f\x00\x00\x00\x00\x40\x00\x00\x00"))
	good("limits/the longest message", "\x82", strings.Repeat("x", maxMessage))
	bad("limits/a byte more", 1009, header(0x82, "\x7f"+string(binary.BigEndian.AppendUint64(nil, maxMessage+1))))
	good("limits/the longest in parts", "\x02", strings.Repeat("x", maxMessage/2), "\x80", strings.Repeat("x", maxMessage/2))
	bad("limits/a byte more in parts", 1009, build(0x02, strings.Repeat("x", maxMessage))+build(0x80, "x"), "\x02"+strings.Repeat("x", maxMessage))
	good("limits/each message for itself", "\x82", strings.Repeat("x", maxMessage), "\x82", strings.Repeat("y", maxMessage))

	for name, text := range map[string]string{
		"ASCII": "hold", "two bytes": "é", "three bytes": "予約", "four bytes": "\U0001F4DA", "the first of three": "\u0800", "before the surrogates": "\uD7FF",
		"after the surrogates": "\uE000", "the last": "\U0010FFFF", "a byte order mark": "\uFEFF", "a zero": "\x00", "no characters": "\uFFFE\uFFFF",
	} {
		add(wireCase{name: "UTF-8/" + name, input: build(0x81, text), forwarded: []string{"\x81" + text}, utf8: true})
	}
	for name, text := range map[string]string{
		"a lone continuation": "a\x80", "overlong slash": "\xc0\xaf", "overlong two": "\xc1\xbf", "overlong three": "\xe0\x9f\xbf", "overlong four": "\xf0\x8f\xbf\xbf",
		"a surrogate": "\xed\xa0\x80", "the last surrogate": "\xed\xbf\xbf", "beyond the last": "\xf4\x90\x80\x80", "a lead of five": "\xf8\x88\x80\x80\x80",
		"0xfe": "\xfe", "0xff": "\xff", "two leads": "\xc3\xc3\xa9", "a cut character": "\xe6\x88", "Latin-1": "caf\xe9 x",
	} {
		add(wireCase{name: "UTF-8/" + name, input: build(0x81, text), code: 1007, utf8: true})
		add(wireCase{name: "UTF-8/unchecked " + name, input: build(0x81, text), forwarded: []string{"\x81" + text}})
	}
	add(wireCase{name: "UTF-8/a character over parts", input: build(0x01, "\xe6\x88") + build(0x80, "\xbb"), forwarded: []string{"\x01\xe6\x88", "\x80\xbb"}, utf8: true})
	add(wireCase{name: "UTF-8/wrong in the second part", input: build(0x01, "\xe6\x88") + build(0x80, "x"), code: 1007, forwarded: []string{"\x01\xe6\x88"}, utf8: true})
	add(wireCase{name: "UTF-8/cut by the last part", input: build(0x01, "a\xe6\x88") + build(0x80, ""), code: 1007, forwarded: []string{"\x01a\xe6\x88"}, utf8: true})
	add(wireCase{name: "UTF-8/a ping within a character", input: build(0x01, "\xe6\x88") + build(0x89, "\xff") + build(0x80, "\xbb"),
		forwarded: []string{"\x01\xe6\x88", "\x89\xff", "\x80\xbb"}, utf8: true})
	add(wireCase{name: "UTF-8/binary is not text", input: build(0x82, "\xff"), forwarded: []string{"\x82\xff"}, utf8: true})
	add(wireCase{name: "UTF-8/compressed text is not read", input: build(0xc1, "\xff"), forwarded: []string{"\xc1\xff"}, utf8: true, deflate: true})

	add(wireCase{name: "extensions/the bit agreed on", input: build(0xc2, "a"), forwarded: []string{"\xc2a"}, deflate: true})
	add(wireCase{name: "extensions/on the first part only", input: build(0x42, "a") + build(0x80, "b"), forwarded: []string{"\x42a", "\x80b"}, deflate: true})
	add(wireCase{name: "extensions/on a later part", input: build(0x42, "a") + build(0xc0, "b"), forwarded: []string{"\x42a"}, code: 1002, deflate: true})
	add(wireCase{name: "extensions/on a ping", input: build(0xc9, "a"), code: 1002, deflate: true})
	add(wireCase{name: "extensions/another bit", input: build(0xa2, "a"), code: 1002, deflate: true})
	add(wireCase{name: "extensions/plain messages as well", input: build(0x82, "a") + build(0xc2, "b"), forwarded: []string{"\x82a", "\xc2b"}, deflate: true})
	return all
}

func TestConformance(t *testing.T) {
	n := newWSServer(t, func(r *http.Request) string {
		if strings.Contains(r.Header.Get("Sec-WebSocket-Extensions"), "deflate") {
			return accept(r, "Sec-WebSocket-Extensions: permessage-deflate\r\n")
		}
		return accept(r)
	})
	g := newTestProxy(t, withChannels(nil), entry("a", n.address, "up"))
	total := 0
	for _, name := range []string{"client", "server"} {
		mask := name == "client"
		own := &wsConn{mask: mask}
		build := func(first byte, payload string) string { return string(own.encodeFrame(first, payload)) }
		header := func(first byte, length string) string { // the header of a frame, without its payload
			b := append([]byte{first}, length...)
			if mask {
				b[1] |= 0x80
				b = append(b, 1, 2, 3, 4)
			}
			return string(b)
		}
		cases := wireCases(build, header)
		wrong := &wsConn{mask: !mask}
		for _, op := range []byte{1, 2, 8, 9, 10} {
			payload := map[bool]string{true: closePayload(1000), false: "x"}[op == 8]
			cases = append(cases, wireCase{name: fmt.Sprintf("masks/wrong on %#x", op), input: string(wrong.encodeFrame(0x80|op, payload)), code: 1002})
		}
		cases = append(cases, wireCase{name: "masks/wrong on a continuation", input: build(0x01, "a") + string(wrong.encodeFrame(0x80, "b")), code: 1002, forwarded: []string{"\x01a"}})
		for i, k := range cases {
			total++
			t.Run(name+"/"+k.name, func(t *testing.T) {
				var fields []string
				if k.utf8 {
					fields = append(fields, "X-Channel-Check: utf8\r\n")
				}
				if k.deflate {
					fields = append(fields, "Sec-WebSocket-Extensions: permessage-deflate\r\n")
				}
				client, server := g.openPair(n, fmt.Sprint(name, i), fields...)
				client.t, server.t = t, t
				from, to, otherCode := client, server, frame.GoingAway
				if name == "server" {
					from, to, otherCode = server, client, frame.InternalError
				}
				sent := make(chan struct{})
				go func() {
					from.sendRaw(k.input)
					close(sent)
				}()
				for _, want := range k.forwarded {
					to.expectFrame(want[0], want[1:])
				}
				await(t, "the last byte sent", sent)
				switch {
				case k.code != 0:
					if got := from.closeCode(); got != k.code {
						t.Errorf("the sender got code %d, want %d", got, k.code)
					}
					// An end that is in the middle of a frame cannot be sent a Close.
					if got := to.closeCode(); got != otherCode && got != 0 {
						t.Errorf("the other end got code %d, want %d", got, otherCode)
					}
				case k.closeCode != 0:
					if got := to.closeCode(); got != k.closeCode {
						t.Errorf("the other end got code %d, want %d", got, k.closeCode)
					}
					to.sendFrame(0x88, closePayload(1000))
					if got := from.closeCode(); got != 1000 {
						t.Errorf("the answering Close has code %d", got)
					}
					from.expectEOF()
					to.expectEOF()
				default:
					to.sendFrame(0x82, "still here")
					from.expectFrame(0x82, "still here")
				}
				from.Close()
				to.Close()
			})
		}
	}
	if total < 200 {
		t.Errorf("%d cases", total)
	}
	t.Logf("%d cases", total)
	g.awaitNoChannels()
}
