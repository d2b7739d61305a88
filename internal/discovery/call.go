package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"brasswell/internal/discovery/plan"
)

const (
	// connectTimeout limits the time to establish a connection.
	connectTimeout = time.Second
	// maxConns covers the open calls, the lingering ones, and some connections that are being closed.
	maxConns = 8
	// maxIdleConns covers the connection of the last answer and one of an answer at the previous address.
	maxIdleConns = 2
	// maxListBytes bounds an answer; the list of a fleet of thousands is smaller.
	maxListBytes = 8 << 20
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 16 << 10
)

// errCutOff is the error of a call whose answer began but cannot be read to its end.
var errCutOff = errors.New("discovery's answer was cut off or is invalid")

// errTurnedAway is the error of a call that discovery refuses to answer now.
var errTurnedAway = errors.New("discovery turned the call away")

// newHTTPClient returns the HTTP client that calls discovery.
func newHTTPClient(conns *openConns) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:            conns.dial,
		DisableCompression:     true,
		MaxConnsPerHost:        maxConns,
		MaxIdleConns:           maxIdleConns,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// callURL returns the URL of a call.
func callURL(c plan.Call) string {
	url := "http://" + c.Address + "/catalog/members"
	if c.From < 0 {
		return url
	}
	return fmt.Sprintf("%s?from=%d&hold_ms=%d", url, c.From, c.Hold.Milliseconds())
}

// answer is the result of a call.
type answer struct {
	list *Catalog  // nil without a complete answer
	conn *openConn // nil if unknown
}

// call makes one call, reports its progress to the plan, and returns how it ended.
func (d *Client) call(ctx context.Context, c plan.Call) (a answer, end plan.CallEnd, err error) {
	started, url := time.Now(), callURL(c)
	a, err = d.fetch(ctx, c, url)
	end = endOf(err, context.Cause(ctx))
	d.noteEnd(end)
	d.logCall(ctx, end, url, started, err)
	return a, end, err
}

// fetch requests a list.
func (d *Client) fetch(ctx context.Context, c plan.Call, url string) (a answer, err error) {
	var answerStarted atomic.Bool // a part of the answer has arrived; atomic because Do may return before the trace function does
	var conn atomic.Pointer[openConn]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if o, ok := info.Conn.(*openConn); ok {
				conn.Store(o)
			}
		},
		GotFirstResponseByte: func() { answerStarted.Store(true) },
	})
	defer func() { a.conn = conn.Load() }()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return answer{}, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		if answerStarted.Load() {
			d.noteProgress(c.ID)
			return answer{}, fmt.Errorf("%w: %w", errCutOff, err)
		}
		return answer{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer{}, fmt.Errorf("%w: %s", errTurnedAway, resp.Status)
	}
	d.noteProgress(c.ID)
	list, err := readAnswer(&progressReader{resp.Body, func() {
		d.noteAnswerBegun(c.ID)
		d.noteProgress(c.ID)
	}})
	conn.Load().markComplete()
	return answer{list: list}, err
}

// readAnswer reads a complete list.
func readAnswer(body io.Reader) (*Catalog, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxListBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errCutOff, err)
	case len(text) > maxListBytes:
		return nil, fmt.Errorf("discovery's answer exceeds %d bytes", maxListBytes)
	}
	list, err := ReadCatalog(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCutOff, err)
	}
	return list, nil
}

// progressReader calls onRead for each part that is read.
type progressReader struct {
	io.Reader
	onRead func()
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.onRead()
	}
	return n, err
}
