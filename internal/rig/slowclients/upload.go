package slowclients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// PacedUpload is a request with a long body that its server reads slowly.
type PacedUpload struct {
	Framing        Framing // ByLength or ByChunks
	Size           int
	BytesPerSecond int // at which the server reads
}

// uploadPiece is how many bytes of a body are written at a time.
const uploadPiece = 16 << 10

// AskUpload sends one upload of a class that must not run twice, and returns an error if its final answer is not in time: the time
// begins when the last byte is written.
func (t Target) AskUpload(id string, u PacedUpload) error {
	conn, err := net.DialTimeout("tcp", t.Address, dialTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	framing := fmt.Sprint("Content-Length: ", u.Size)
	if u.Framing == ByChunks {
		framing = "Transfer-Encoding: chunked"
	}
	fmt.Fprintf(conn, "POST %s%d HTTP/1.1\r\nHost: backend.local\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\n%s\r\n\r\n",
		readSlowlyPath, u.BytesPerSecond, id, t.OnceClass, t.Wait.Milliseconds(), framing)
	answered := make(chan error, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		answered <- err
	}()
	written := make(chan struct{})
	go func() {
		defer close(written)
		u.write(conn)
	}()
	select {
	case err := <-answered:
		return err // the proxy need not read the rest of a request that it has answered
	case <-written:
	}
	select {
	case err := <-answered:
		return err
	case <-time.After(t.Wait + lateSlack):
		return fmt.Errorf("no answer %v after the last byte", t.Wait+lateSlack)
	}
}

// write writes the body until that fails.
func (u PacedUpload) write(w io.Writer) {
	for left := u.Size; left > 0; left -= uploadPiece {
		piece := strings.Repeat("x", min(left, uploadPiece))
		if u.Framing == ByChunks {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(w, piece); err != nil {
			return
		}
	}
	if u.Framing == ByChunks {
		io.WriteString(w, "0\r\n\r\n")
	}
}
