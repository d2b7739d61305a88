package front

import (
	"net/http"
	"reflect"
	"testing"
)

func TestOnlyEndToEndHeadersAreForwarded(t *testing.T) {
	src := http.Header{
		"Connection": {"close, X-Hop", "x-other"}, "X-Hop": {"1"}, "X-Other": {"2"}, "Keep-Alive": {"3"}, "Te": {"4"},
		"Transfer-Encoding": {"chunked"}, "Content-Length": {"5"}, "Upgrade": {"h2c"}, "X-Txn": {"a"}, "Accept": {"b", "c"},
	}
	dst := http.Header{"Connection": {"close"}}
	copyEndToEnd(dst, src)
	want := http.Header{"Connection": {"close"}, "X-Txn": {"a"}, "Accept": {"b", "c"}}
	if !reflect.DeepEqual(dst, want) {
		t.Errorf("copied header is %v, want %v", dst, want)
	}
}
