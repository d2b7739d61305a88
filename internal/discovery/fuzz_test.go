package discovery

import (
	"testing"

	"brasswell/balance"
)

// FuzzCatalog: whatever discovery sends, each host is returned at most once, and a host without an address is never
// in service.
func FuzzCatalog(f *testing.F) {
	f.Add([]byte(list(1, true, host("a", "127.0.0.1:1", "up"), host("a", "127.0.0.1:2", "draining"))))
	f.Add([]byte(`{"seq":1e300}`))
	f.Add([]byte(`{"seq":1,"hosts":[{"host":"a","born_ms":1e308,"block":-1,"dial":":::","health":"up","site":"kita"}]}`))
	f.Add([]byte(`{"seq":2,"whole":true,"hosts":[{"host":`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := ReadCatalog(text)
		if err != nil {
			return
		}
		entries, addresses, _ := c.entries(map[string]int{"kita": 0})
		seen := map[string]bool{}
		for _, e := range entries {
			if e.ID == "" || seen[e.ID] {
				t.Fatalf("host %q without a name or twice", e.ID)
			}
			seen[e.ID] = true
			if e.State == balance.InService && addresses[e.ID] == "" {
				t.Fatalf("%s is in service without an address", e.ID)
			}
		}
	})
}
