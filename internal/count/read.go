package count

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLine bounds the length of one log line, in bytes.
const maxLine = 1 << 20

// Read parses a proxy's log, in the text or the JSON form that the proxy writes, and calls handle with each line. It
// ignores what precedes "time=" in a line of text, since log collectors may put a timestamp of their own there. It
// returns the number of lines that have neither form.
func Read(r io.Reader, handle func(Line)) (skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		l, ok := parse(s.Text())
		if !ok {
			skipped++
			continue
		}
		handle(l)
	}
	if err := s.Err(); err != nil {
		return skipped, fmt.Errorf("line longer than %d bytes, or read error: %w", maxLine, err)
	}
	return skipped, nil
}

func parse(text string) (Line, bool) {
	fields := map[string]string{}
	if strings.HasPrefix(text, "{") {
		var object map[string]any
		if json.Unmarshal([]byte(text), &object) != nil {
			return Line{}, false
		}
		for name, v := range object {
			switch v := v.(type) {
			case float64:
				fields[name] = strconv.FormatFloat(v, 'f', -1, 64)
			case nil: // no error was logged
			default:
				fields[name] = fmt.Sprint(v)
			}
		}
	} else {
		at := strings.Index(text, "time=")
		if at < 0 {
			return Line{}, false
		}
		d := logfmt.NewDecoder(strings.NewReader(text[at:]))
		for d.ScanRecord() {
			for d.ScanKeyval() {
				fields[string(d.Key())] = string(d.Value())
			}
		}
		if d.Err() != nil {
			return Line{}, false
		}
	}
	at, err := time.Parse(time.RFC3339Nano, fields["time"])
	if err != nil || fields["msg"] == "" {
		return Line{}, false
	}
	return Line{Proxy: fields["name"], At: at, Msg: fields["msg"], Fields: fields}, true
}

func parseInt(text string) (int64, bool) {
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil
}
