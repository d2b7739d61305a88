package front

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"brasswell/internal/backends"
	"brasswell/internal/callers"
	"brasswell/internal/channel"
	"brasswell/internal/channel/handshake"
	"brasswell/internal/channel/ticket"
	"brasswell/internal/figures"
	"brasswell/internal/host"
)

// SetChannels enables requests for channels. It must be called before the front serves requests.
func (s *Front) SetChannels(t *channel.Table) { s.channels = t }

var errEarlyData = errors.New("bytes before the answer of 101")

// upgrade serves a request for a channel. Its connection carries no other request, whatever the result: bytes that a
// client sends after a refused handshake must not be read as one.
func (s *Front) upgrade(w http.ResponseWriter, r *http.Request, info requestInfo) {
	offer, err := handshake.ParseOffer(r)
	if err != nil {
		status := http.StatusBadRequest
		if errors.Is(err, handshake.ErrVersion) {
			status = http.StatusUpgradeRequired
			w.Header().Set("Upgrade", "websocket")
			w.Header().Set(handshake.VersionField, handshake.Version)
		}
		s.reject(w, info, status, err)
		return
	}
	name := r.Header.Get(TenantField)
	if info.tenant < 0 {
		name = ""
	}
	admission := s.channels.Admit(info.tenant, name, ticketOf(r))
	if !admission.Admitted {
		s.rejectUpgrade(w, info, admission)
		return
	}
	s.figures.RequestStarted()
	defer s.figures.RequestEnded()
	m := newMessage(r, info.class, nil)
	m.Offer = offer
	info.open.submitted = s.instance.Submit(callerOf(r), m, info.class, info.tenant, info.remaining, s.restart.RequestTimeCap(info.remaining))
	f := s.await(r, info.open.submitted)
	if f.Outcome != host.Served {
		s.channels.OpenFailed(admission)
		if f.Outcome == host.Refused {
			s.rejectUpgrade(w, info, s.channels.Refused(admission))
			return
		}
		w.Header().Set("Connection", "close")
		s.answer(w, info, f)
		return
	}
	if err := s.switchProtocols(w, f.Reply.Channel, admission); err != nil {
		s.channels.OpenFailed(admission)
		f.Reply.Channel.Conn.Close()
		s.figures.CountOutcome(info.class, figures.Failed)
		return
	}
	s.figures.CountOutcome(info.class, figures.Served)
}

// ticketOf returns the ticket that a returning client presents, or "" if there is none.
func ticketOf(r *http.Request) string {
	if seal := r.Header.Get(ticket.Field); seal != "" {
		return seal
	}
	if c, err := r.Cookie(ticket.Cookie); err == nil {
		return c.Value
	}
	return ""
}

// rejectUpgrade refuses a request for a channel, and tells the client when to come again and with which ticket.
func (s *Front) rejectUpgrade(w http.ResponseWriter, info requestInfo, refusal channel.Admission) {
	h := w.Header()
	setRetryAfter(h, refusal.RetryAfter)
	h.Set(ticket.Field, refusal.SealedTicket)
	cookie := &http.Cookie{
		Name: ticket.Cookie, Value: refusal.SealedTicket, Path: "/", HttpOnly: true, SameSite: http.SameSiteStrictMode,
		MaxAge: int(refusal.RetryAfter/time.Second) + ticketLifeSeconds,
	}
	h.Set("Set-Cookie", cookie.String())
	s.reject(w, info, http.StatusServiceUnavailable, errors.New("refused: come again for a channel as Retry-After says"))
}

// ticketLifeSeconds is how long a browser keeps a ticket after its wait is over.
const ticketLifeSeconds = 60

// switchProtocols answers with status 101 and passes both connections to the channels. After an error the caller's
// connection is closed.
func (s *Front) switchProtocols(w http.ResponseWriter, c *backends.Channel, admission channel.Admission) (err error) {
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // no answer can be written, and net/http must not write an implicit one
	}
	defer func() {
		if err != nil {
			conn.Close()
		}
	}()
	conn.SetWriteDeadline(time.Now().Add(s.options.Load().WriteTimeout))
	callerConn, ok := conn.(*callers.Conn)
	if !ok {
		return errors.New("connection of unknown type")
	}
	tcp, ok := callerConn.Conn.(*net.TCPConn)
	if !ok {
		return errors.New("connection is not TCP")
	}
	if rw.Reader.Buffered() > 0 || callerConn.Buffered() > 0 {
		text := errEarlyData.Error()
		fmt.Fprintf(conn, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return errEarlyData
	}
	var head strings.Builder
	head.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n")
	forwarded := http.Header{}
	copyEndToEnd(forwarded, c.Header)
	forwarded.Write(&head)
	head.WriteString("\r\n")
	if _, err := io.WriteString(conn, head.String()); err != nil {
		return err
	}
	conn.SetDeadline(time.Time{})
	s.channels.Open(admission, c.Server, channel.Conns{Client: tcp, Server: c.Conn, Buffered: c.Buffered}, c.Agreement)
	return nil
}
