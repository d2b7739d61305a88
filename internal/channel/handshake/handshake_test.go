package handshake

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// request returns the request of a valid handshake with further fields. It skips the test if they are not valid HTTP.
func request(t testing.TB, fields string) *http.Request {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, Upgrade\r\nUpgrade: WebSocket\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n" + fields + "\r\n")))
	if err != nil {
		t.Skip(err)
	}
	return r
}

// TestSampleOfTheRFC checks the sample in section 1.3 of RFC 6455.
func TestSampleOfTheRFC(t *testing.T) {
	if got := AcceptKey("dGhlIHNhbXBsZSBub25jZQ=="); got != "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=" {
		t.Error(got)
	}
}

func TestExtensionLists(t *testing.T) {
	for _, c := range []struct {
		field string
		names string // "-" for an error
	}{
		{"permessage-deflate", "permessage-deflate"}, {"a; x=1, b", "a b"}, {`a; q="1, 2", b`, "a b"}, {`a; q="\", c", b`, "a b"},
		{" a , , b ", "a b"}, {"", ""}, {",", ""}, {"A;x", "a"}, {";", "-"}, {"a b", "-"}, {"\x7f", "-"}, {`a; q="open, b`, "a"},
	} {
		got, err := extensions([]string{c.field})
		if text := strings.Join(got, " "); err != nil != (c.names == "-") || err == nil && text != c.names {
			t.Errorf("%q: %q, %v; want %q", c.field, text, err, c.names)
		}
	}
}

func TestEndsAskForChecks(t *testing.T) {
	answer := func(fields ...string) http.Header {
		h := http.Header{"Upgrade": {"websocket"}, "Connection": {"Upgrade"}, AcceptField: {AcceptKey("dGhlIHNhbXBsZSBub25jZQ==")}}
		for i := 0; i < len(fields); i += 2 {
			h.Add(fields[i], fields[i+1])
		}
		return h
	}
	for _, c := range []struct {
		offer, chosen string
		field, value  string
		want          Agreement
	}{
		{"", "", "", "", Agreement{}},
		{"X-Channel-Check: utf8\r\n", "", "", "", Agreement{UTF8: true}},
		{"", "", CheckField, "utf8", Agreement{UTF8: true}},
		{"X-Channel-Check: no\r\n", "", "", "", Agreement{}},
		{"Sec-WebSocket-Extensions: permessage-deflate\r\n", "permessage-deflate", "", "", Agreement{ReservedBits: 0x40}},
		{"Sec-WebSocket-Extensions: permessage-deflate\r\n", "", "", "", Agreement{}},
		{"Sec-WebSocket-Extensions: own, permessage-deflate\r\n", "permessage-deflate, own", "", "", Agreement{ReservedBits: 0x70}},
	} {
		o, err := ParseOffer(request(t, c.offer))
		if err != nil {
			t.Fatal(err)
		}
		h := answer()
		if c.chosen != "" {
			h.Set(ExtensionField, c.chosen)
		}
		if c.field != "" {
			h.Set(c.field, c.value)
		}
		if got, err := o.Check(h); err != nil || got != c.want {
			t.Errorf("%+v: agreement is %+v, %v", c, got, err)
		}
	}
}

func FuzzHandshake(f *testing.F) {
	f.Add("Sec-WebSocket-Protocol: a, b\r\n", "a", "x; y=\"1,2\"", "x")
	f.Add("Sec-WebSocket-Extensions: permessage-deflate; client_max_window_bits\r\n", "", "permessage-deflate", "")
	f.Fuzz(func(t *testing.T, fields, protocol, extension, accept string) {
		r := request(t, fields)
		if !IsUpgrade(r) {
			return
		}
		o, err := ParseOffer(r)
		if err != nil {
			return
		}
		h := http.Header{"Upgrade": {"websocket"}, "Connection": {"Upgrade"}, AcceptField: {accept}, ProtocolField: {protocol}, ExtensionField: {extension}}
		a, err := o.Check(h)
		if err != nil {
			return
		}
		if accept != AcceptKey(o.key) {
			t.Error("a response for another key is accepted")
		}
		if protocol != "" && !strings.Contains(strings.Join(r.Header[ProtocolField], ","), protocol) {
			t.Errorf("the protocol %q is accepted, but was not offered", protocol)
		}
		if a.ReservedBits != 0 && len(o.extensions) == 0 {
			t.Error("reserved bits are allowed without an extension")
		}
	})
}
