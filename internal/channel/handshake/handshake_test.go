package handshake

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// request reads a handshake with further fields, or in place of what it has by default.
func request(t testing.TB, fields string) *http.Request {
	t.Helper()
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, Upgrade\r\nUpgrade: WebSocket\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n" + fields + "\r\n")))
	if err != nil {
		t.Skip(err)
	}
	return r
}

// TestSampleOfTheRFC is section 1.3's.
func TestSampleOfTheRFC(t *testing.T) {
	if got := AcceptKey("dGhlIHNhbXBsZSBub25jZQ=="); got != "s3pPLMBiTxaQ9kYGzzhZRbK+xOo=" {
		t.Error(got)
	}
}

func TestExtensionLists(t *testing.T) {
	for _, k := range []struct {
		field string
		names string // "-" for an error
	}{
		{"permessage-deflate", "permessage-deflate"}, {"a; x=1, b", "a b"}, {`a; q="1, 2", b`, "a b"}, {`a; q="\", c", b`, "a b"},
		{" a , , b ", "a b"}, {"", ""}, {",", ""}, {"A;x", "a"}, {";", "-"}, {"a b", "-"}, {"\x7f", "-"}, {`a; q="open, b`, "a"},
	} {
		got, err := extensions([]string{k.field})
		if text := strings.Join(got, " "); err != nil != (k.names == "-") || err == nil && text != k.names {
			t.Errorf("%q: %q, %v; want %q", k.field, text, err, k.names)
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
	for _, k := range []struct {
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
		o, err := ParseOffer(request(t, k.offer))
		if err != nil {
			t.Fatal(err)
		}
		h := answer()
		if k.chosen != "" {
			h.Set(ExtensionField, k.chosen)
		}
		if k.field != "" {
			h.Set(k.field, k.value)
		}
		if got, err := o.Check(h); err != nil || got != k.want {
			t.Errorf("%+v: %+v, %v", k, got, err)
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
			t.Error("an answer to another key is taken")
		}
		if protocol != "" && !strings.Contains(strings.Join(r.Header[ProtocolField], ","), protocol) {
			t.Errorf("%q was not offered", protocol)
		}
		if a.ReservedBits != 0 && len(o.extensions) == 0 {
			t.Error("reserved bits without an extension")
		}
	})
}
