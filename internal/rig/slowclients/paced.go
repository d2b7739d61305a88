package slowclients

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Framing is how the end of an answer is determined.
type Framing string

// The framings.
const (
	ByLength Framing = "length"
	ByChunks Framing = "chunks"
	ByClose  Framing = "close"
)

// Framings returns all framings.
func Framings() []Framing { return []Framing{ByLength, ByChunks, ByClose} }

// PacedAnswer is an answer that its server writes in pieces, with a pause before each of them from From on.
type PacedAnswer struct {
	Framing Framing
	Size    int
	Pieces  int
	From    int // 0 for a pause between the head and the body
	Pause   time.Duration
}

// pacedForm is the path that asks a Backend for an answer.
const pacedForm = "/paced/%s %d %d %d %d"

// Path returns the path that asks a Backend for the answer.
func (p PacedAnswer) Path() string {
	return fmt.Sprintf("/paced/%s/%d/%d/%d/%d", p.Framing, p.Size, p.Pieces, p.From, p.Pause.Milliseconds())
}

// FirstBytes returns how long after its head the body begins.
func (p PacedAnswer) FirstBytes() time.Duration {
	if p.From == 0 {
		return p.Pause
	}
	return 0
}

// Body returns the body of the answer.
func (p PacedAnswer) Body() []byte {
	body := make([]byte, p.Size)
	for n := range body {
		body[n] = byte('a' + n%26)
	}
	return body
}

func parsePaced(path string) (p PacedAnswer, ok bool) {
	var framing string
	var milliseconds int
	n, err := fmt.Sscanf(spaced(path), pacedForm, &framing, &p.Size, &p.Pieces, &p.From, &milliseconds)
	p.Framing, p.Pause = Framing(framing), time.Duration(milliseconds)*time.Millisecond
	return p, err == nil && n == 5
}

// spaced separates the parts of a path behind its first by blanks, as Sscanf reads them.
func spaced(path string) string {
	slashes, text := 0, []byte(path)
	for n, c := range text {
		if c != '/' {
			continue
		}
		if slashes++; slashes > 2 {
			text[n] = ' '
		}
	}
	return string(text)
}

// write writes the answer on the connection itself, since net/http would choose the framing.
func (p PacedAnswer) write(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	field := map[Framing]string{ByLength: fmt.Sprintf("Content-Length: %d\r\n", p.Size), ByChunks: "Transfer-Encoding: chunked\r\n"}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n"+field[p.Framing]+"\r\n")
	body := p.Body()
	for n := range p.Pieces {
		if n >= p.From {
			time.Sleep(p.Pause)
		}
		piece := body[n*p.Size/p.Pieces : (n+1)*p.Size/p.Pieces]
		if p.Framing == ByChunks {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := conn.Write(piece); err != nil {
			return
		}
	}
	if p.Framing == ByChunks {
		io.WriteString(conn, "0\r\n\r\n")
	}
}

// AskPaced sends one request of a class for a paced answer, and returns what is wrong with what comes back: the first bytes must
// come in time, and the answer must be whole.
func (t Target) AskPaced(id, class string, p PacedAnswer) error {
	conn, err := net.DialTimeout("tcp", t.Address, dialTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	method, key := http.MethodPost, ""
	switch class {
	case t.GetClass:
		method = http.MethodGet
	case t.KeyedClass:
		key = "Idempotency-Key: k" + id + "\r\n"
	}
	begun := time.Now()
	conn.SetDeadline(begun.Add(giveUpTime))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\n%sContent-Length: 0\r\n\r\n",
		method, p.Path(), id, class, t.Wait.Milliseconds(), key)
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	first := time.Since(begun)
	body, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("answered %s after %v", resp.Status, first)
	case err != nil || !bytes.Equal(body, p.Body()):
		return fmt.Errorf("%d of %d bytes came: %v", len(body), p.Size, err)
	case first > t.Wait+lateSlack:
		return fmt.Errorf("the first bytes came after %v", first)
	}
	return nil
}
