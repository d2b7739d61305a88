package config

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"brasswell/internal/cluster"
	"brasswell/internal/cluster/agreement"
	"brasswell/internal/logging"
	"brasswell/internal/operator"
	"brasswell/internal/proxy"
	"brasswell/internal/recovery"
)

// Operator is all that the operator file may set.
type Operator struct {
	Proxy     proxy.Options
	Log       logging.Options
	Fleet     cluster.Options
	Rules     agreement.Options
	Recovery  recovery.Options
	Listeners []*Listener
	Values    operator.Values // what the file sets
}

// Listener is an additional address to accept requests at, with its own balancer and server list.
type Listener struct {
	Name, Listen, Discovery string
	Settings                string  // a file with its settings object; "" for those of the first listener
	Share                   float64 // of the memory and the sockets
}

const (
	mostListeners = 16
	// leastLeft of the memory and the sockets stays with the first listener.
	leastLeft = 0.1
)

// DefaultOperator is what holds without a file.
func DefaultOperator() *Operator {
	return &Operator{Proxy: proxy.DefaultOptions(), Log: logging.DefaultOptions(), Fleet: cluster.DefaultOptions(), Rules: agreement.DefaultOptions(), Recovery: recovery.DefaultOptions()}
}

// Schema describes every section, bound to o.
func (o *Operator) Schema() (*operator.Schema, error) {
	return operator.NewSchema(append(o.Proxy.Sections(), o.Log.Section(), o.Fleet.Section(), o.rules(), o.Recovery.Section(), o.listeners())...)
}

// rules are agreed on over the fleet's link, so there has to be one.
func (o *Operator) rules() operator.Section {
	s := o.Rules.Section()
	check := s.Check
	s.Check = func() []operator.Problem {
		if o.Fleet.Name == "" {
			return []operator.Problem{{Key: "keepers", Text: "there is no [fleet] before this section, and proxies need it to agree; add it above"}}
		}
		return check()
	}
	return s
}

func (o *Operator) listeners() operator.Section {
	return operator.Section{
		Name:       "listener",
		Doc:        "An additional address to accept requests at, with its own balancer and server list. Listeners share only the process.",
		Absent:     "the proxy listens only at the address that the platform sets.",
		MostTables: mostListeners,
		Each: func() ([]operator.Key, func() []operator.Problem) {
			l := &Listener{Share: 0.25}
			return []operator.Key{
				operator.Name("name", &l.Name, "Its name in logs.").MustBeSet(),
				operator.Address("listen", &l.Listen, "The address at which callers connect.").MustBeSet(),
				operator.Address("discovery", &l.Discovery, "The address of the discovery that provides its server list.").MustBeSet(),
				operator.Path("settings", &l.Settings, "A JSON file with its settings object, in the platform's format; empty to use the first listener's."),
				operator.Float("share", &l.Share, 0.01, 0.9, "Its share of the process's memory and sockets."),
			}, func() []operator.Problem { return o.addListener(l) }
		},
	}
}

// addListener takes a sound listener in, or says why it does not go with those before it.
func (o *Operator) addListener(l *Listener) []operator.Problem {
	left := 1 - leastLeft - l.Share
	for _, other := range o.Listeners {
		left -= other.Share
		switch {
		case other.Name == l.Name:
			return []operator.Problem{{Key: "name", Text: fmt.Sprintf("%q is already the name of another [[listener]]; give each its own name", l.Name)}}
		case other.Listen == l.Listen:
			return []operator.Problem{{Key: "listen", Text: fmt.Sprintf("%s is already used by [[listener]] %s; give each its own", l.Listen, other.Name)}}
		}
	}
	const rounding = 1e-9
	if left < -rounding {
		return []operator.Problem{{Key: "share", Text: fmt.Sprintf("the shares leave less than %g for the first listener; lower them by %.2g", leastLeft, -left)}}
	}
	o.Listeners = append(o.Listeners, l)
	return nil
}

// ParseOperator reads a file's text. The error, if any, is an operator.Error with every finding.
func ParseOperator(file string, text []byte) (*Operator, error) {
	o := DefaultOperator()
	schema, err := o.Schema()
	if err != nil {
		return nil, err
	}
	o.Values, err = schema.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return o, nil
}

// ReadOperator reads a file; "" stands for none, and gives the defaults.
func ReadOperator(path string) (*Operator, error) {
	if path == "" {
		return DefaultOperator(), nil
	}
	text, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseOperator(filepath.Base(path), text)
}

// ErrTooLong is that of a file which no person wrote.
var ErrTooLong = errors.New("longer than any configuration")

// ReadFile reads a configuration file whole, up to a bound: a device or a log named by mistake must not fill the
// memory.
func ReadFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxFile {
		return nil, fmt.Errorf("%s: %w (%d bytes)", path, ErrTooLong, maxFile)
	}
	return text, nil
}

// maxFile bounds a configuration file; the platform's holds a fleet's server list.
const maxFile = 16 << 20
