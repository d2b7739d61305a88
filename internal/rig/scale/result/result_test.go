package result

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

func TestWhatIsWrittenIsRead(t *testing.T) {
	right := 1.5
	run := &Run{Version: Version, Settings: Settings{Members: 60, Event: "rest"}, Views: Views{RightS: &right}, Changes: []Phase{{Name: "one", Proposed: 1}}, HostCost: &HostCost{OneMember: Cost{0.01, 4096}}}
	var text bytes.Buffer
	if err := run.Write(&text); err != nil {
		t.Fatal(err)
	}
	got, err := Read(&text)
	if err != nil || !reflect.DeepEqual(got, run) {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestBadFiles(t *testing.T) {
	for name, text := range map[string]string{
		"cut":             `{"version":1,"settings":{"mem`,
		"another version": `{"version":2}`,
		"another field":   `{"version":1,"sizes":3}`,
		"no run":          `[]`,
	} {
		if _, err := Read(strings.NewReader(text)); err == nil || !strings.HasPrefix(err.Error(), "scale run: ") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestFileWithoutHostCost: files from before it was measured are read.
func TestFileWithoutHostCost(t *testing.T) {
	run, err := Read(strings.NewReader(`{"version":1,"settings":{"members":60},"roles":[{"role":"member","members":55}]}`))
	if err != nil || run.HostCost != nil || strings.Contains(run.Text(), "host with one member") {
		t.Errorf("%+v, %v", run, err)
	}
}

// TestTextOfHostCost: the text shows the host as measured, and what is the host's and a member's own.
func TestTextOfHostCost(t *testing.T) {
	run := &Run{HostCost: &HostCost{OneMember: Cost{0.0625, 32 << 20}, Fixed: Cost{0.05, 30 << 20}, Member: Cost{0.0125, 2 << 20}}}
	text := run.Text()
	for _, want := range []string{
		"a host with one member         0.0625     32.00\n", "a host without its members     0.0500     30.00\n", "each member without its host   0.0125      2.00\n",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("no %q in\n%s", want, text)
		}
	}
}
