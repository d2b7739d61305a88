package ticket

import (
	"errors"
	"testing"
	"time"
)

func TestTicketsAreTheSealersAndTheTenants(t *testing.T) {
	s := NewSealer([]byte("0123456789abcdef"))
	want := Ticket{Slot: 1_700_000_000 * time.Second, Refusals: 3, Nonce: 1 << 63}
	text := s.Seal(want, "kita")
	if got, err := s.Open(text, "kita"); err != nil || got != want {
		t.Fatalf("Open of a sealed ticket: %+v, %v", got, err)
	}
	if got, err := NewSealer([]byte("0123456789abcdef")).Open(text, "kita"); err != nil || got != want {
		t.Errorf("another sealer with the same key: %+v, %v", got, err)
	}
	if _, err := s.Open(text, "higashi"); !errors.Is(err, ErrInvalid) {
		t.Errorf("ticket of another tenant: %v, want ErrInvalid", err)
	}
	if _, err := NewSealer(nil).Open(text, "kita"); !errors.Is(err, ErrInvalid) {
		t.Errorf("ticket sealed with another key: %v, want ErrInvalid", err)
	}
	for i := range len(text) {
		forged := []byte(text)
		if forged[i]++; forged[i] > 'z' {
			forged[i] = 'A'
		}
		if _, err := s.Open(string(forged), "kita"); !errors.Is(err, ErrInvalid) {
			t.Fatalf("ticket with character %d changed: %v, want ErrInvalid", i, err)
		}
	}
}

func FuzzOpen(f *testing.F) {
	s := NewSealer([]byte("0123456789abcdef"))
	f.Add(s.Seal(Ticket{1, 2, 3}, ""), "")
	f.Add("AAAA", "kita")
	f.Fuzz(func(t *testing.T, text, tenant string) {
		if got, err := s.Open(text, tenant); err == nil && s.Seal(got, tenant) != text {
			t.Errorf("%q opens as %+v, which seals differently", text, got)
		}
	})
}
