package discovery

import (
	"fmt"
	"strings"
	"testing"

	"brasswell/balance"
)

func host(id, address, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"kita","block":1,"health":%q}`, id, address, health)
}

func list(seq int, full bool, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%t,"hosts":[%s]}`, seq, full, strings.Join(hosts, ","))
}

func TestInvalidEntriesDoNotAffectOthers(t *testing.T) {
	c, err := ReadCatalog([]byte(list(1, true, host("good", "127.0.0.1:1", "up"), host("odd", "127.0.0.1:2", "puzzled"),
		host("", "127.0.0.1:3", "up"), host("nowhere", "no address", "up"),
		strings.Replace(host("afar", "127.0.0.1:4", "up"), "kita", "moon", 1))))
	if err != nil {
		t.Fatal(err)
	}
	entries, _, invalid := c.entries(map[string]int{"kita": 0})
	if invalid == nil {
		t.Error("no error for the invalid entries")
	}
	got := map[string]balance.State{}
	for _, e := range entries {
		got[e.ID] = e.State
	}
	want := map[string]balance.State{
		"good": balance.InService, "odd": balance.Draining, "nowhere": balance.Draining, "afar": balance.Draining,
	}
	if len(got) != len(want) {
		t.Fatalf("entries %v, want %v", got, want)
	}
	for id, state := range want {
		if got[id] != state {
			t.Errorf("%s is %v, want %v", id, got[id], state)
		}
	}
}
