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

// maxLine bounds one line of a log.
const maxLine = 1 << 20

// Read takes a proxy's log apart, in either of the forms that the proxy writes, and hands each line on. What stands
// before "time=" in a line, as where logs were collected with a stamp of the collector's, is passed over. Lines that are
// neither count as skipped.
func Read(r io.Reader, take func(Line)) (skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		l, ok := parse(s.Text())
		if !ok {
			skipped++
			continue
		}
		take(l)
	}
	if err := s.Err(); err != nil {
		return skipped, fmt.Errorf("a line of over %d bytes, or the file cannot be read: %w", maxLine, err)
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
			case nil: // as an error that there was not
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

func number(text string) (int64, bool) {
	n, err := strconv.ParseInt(text, 10, 64)
	return n, err == nil
}
