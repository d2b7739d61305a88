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

// SetChannels lets requests for channels in; it is for a front that serves nobody yet.
func (s *Front) SetChannels(t *channel.Table) { s.channels = t }

var errEarly = errors.New("bytes before the answer of 101")

// upgrade serves a request for a channel. Whatever becomes of it, its connection carries no other request: bytes that a
// client sends behind a handshake which is refused must not be read as one.
func (s *Front) upgrade(w http.ResponseWriter, r *http.Request, a ask) {
	offer, err := handshake.ParseOffer(r)
	if err != nil {
		status := http.StatusBadRequest
		if errors.Is(err, handshake.ErrVersion) {
			status = http.StatusUpgradeRequired
			w.Header().Set("Upgrade", "websocket")
			w.Header().Set(handshake.VersionField, handshake.Version)
		}
		s.turnAway(w, a, status, err)
		return
	}
	name := r.Header.Get(TenantField)
	if a.tenant < 0 {
		name = ""
	}
	admission := s.channels.Admit(a.tenant, name, shown(r))
	if !admission.Admitted {
		s.sendAway(w, a, admission)
		return
	}
	s.figures.RequestStarted()
	defer s.figures.RequestEnded()
	m := newMessage(r, a.class, nil)
	m.Offer = offer
	f := s.await(r, s.instance.Submit(callerOf(r), m, a.class, a.tenant, a.left, s.restart.RequestTimeCap(a.left)))
	if f.Verdict != host.Served {
		s.channels.OpenFailed(admission)
		if f.Verdict == host.Refused {
			s.sendAway(w, a, s.channels.Refused(admission))
			return
		}
		w.Header().Set("Connection", "close")
		s.answer(w, a, f)
		return
	}
	if err := s.change(w, f.Reply.Channel, admission); err != nil {
		s.channels.OpenFailed(admission)
		f.Reply.Channel.Conn.Close()
		s.figures.CountOutcome(a.class, figures.Failed)
		return
	}
	s.figures.CountOutcome(a.class, figures.Served)
}

// shown is the ticket that a client brings back.
func shown(r *http.Request) string {
	if seal := r.Header.Get(ticket.Field); seal != "" {
		return seal
	}
	if c, err := r.Cookie(ticket.Cookie); err == nil {
		return c.Value
	}
	return ""
}

// sendAway refuses a request for a channel, and says when and with what to come again.
func (s *Front) sendAway(w http.ResponseWriter, a ask, to channel.Admission) {
	h := w.Header()
	setRetryAfter(h, to.RetryAfter)
	h.Set(ticket.Field, to.SealedTicket)
	cookie := &http.Cookie{
		Name: ticket.Cookie, Value: to.SealedTicket, Path: "/", HttpOnly: true, SameSite: http.SameSiteStrictMode,
		MaxAge: int(to.RetryAfter/time.Second) + ticketLife,
	}
	h.Set("Set-Cookie", cookie.String())
	s.turnAway(w, a, http.StatusServiceUnavailable, errors.New("refused: come again for a channel as Retry-After says"))
}

// ticketLife is how many seconds a browser keeps a ticket beyond its wait.
const ticketLife = 60

// change answers 101 and hands both connections to the channels. After an error the caller's connection is closed.
func (s *Front) change(w http.ResponseWriter, c *backends.Channel, admission channel.Admission) (err error) {
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // no answer can be written, and none may pass for one
	}
	defer func() {
		if err != nil {
			conn.Close()
		}
	}()
	conn.SetWriteDeadline(time.Now().Add(s.options.Load().WriteTimeout))
	own, ok := conn.(*callers.Conn)
	if !ok {
		return errors.New("a connection of unknown kind")
	}
	tcp, ok := own.Conn.(*net.TCPConn)
	if !ok {
		return errors.New("a connection that is not TCP")
	}
	if rw.Reader.Buffered() > 0 {
		text := errEarly.Error()
		fmt.Fprintf(conn, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return errEarly
	}
	var head strings.Builder
	head.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n")
	kept := http.Header{}
	copyEndToEnd(kept, c.Header)
	kept.Write(&head)
	head.WriteString("\r\n")
	if _, err := io.WriteString(conn, head.String()); err != nil {
		return err
	}
	conn.SetDeadline(time.Time{})
	s.channels.Open(admission, c.Server, channel.Conns{Client: tcp, Server: c.Conn, Buffered: c.Buffered}, c.Agreement)
	return nil
}
