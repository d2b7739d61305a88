package result

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
)

func TestWhatIsWrittenIsRead(t *testing.T) {
	right := 1.5
	run := &Run{Version: Version, Settings: Settings{Members: 60, Event: "rest"}, Views: Views{RightS: &right}, Changes: []Phase{{Name: "one", Proposed: 1}}}
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
