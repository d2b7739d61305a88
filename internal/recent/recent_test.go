package recent

import (
	"fmt"
	"slices"
	"testing"
)

func TestOldestIsForgotten(t *testing.T) {
	s := New(3)
	for i := range 8 {
		s.Add(fmt.Sprint(i))
		s.Add(fmt.Sprint(i)) // again changes nothing
	}
	if want := []string{"5", "6", "7"}; !slices.Equal(s.All(), want) {
		t.Fatalf("holds %q, want %q", s.All(), want)
	}
	if s.Has("4") || !s.Has("5") || len(s.ids) != 3 {
		t.Fatalf("4 held: %t, 5 held: %t, %d ids", s.Has("4"), s.Has("5"), len(s.ids))
	}
}

func TestNotYetFull(t *testing.T) {
	s := New(3)
	s.Add("b")
	s.Add("a")
	if want := []string{"b", "a"}; !slices.Equal(s.All(), want) {
		t.Fatalf("holds %q, want %q", s.All(), want)
	}
}
