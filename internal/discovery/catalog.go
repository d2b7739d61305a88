package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"brasswell/balance"
	"brasswell/internal/settings"
)

// Catalog is a server list in the format of discovery: the whole list, or the changes since a version.
type Catalog struct {
	Seq   int64 `json:"seq"`
	Whole bool  `json:"whole"`
	Hosts []struct {
		Host   string  `json:"host"`
		Dial   string  `json:"dial"`
		Site   string  `json:"site"`
		Block  int     `json:"block"`
		Health string  `json:"health"`
		BornMS float64 `json:"born_ms"`
	} `json:"hosts"`
}

var states = map[string]balance.State{
	"up": balance.InService, "draining": balance.Draining, "removed": balance.Gone,
}

// entries converts a list to the entries of the balancer and the addresses to dial, and returns an error that
// describes the invalid entries. A server with an invalid entry is kept as draining: it exists, but it is not known
// how to use it. Rejecting the whole list instead would keep every other change from the balancer for as long as that
// entry exists; omitting the server would make it count as gone.
func (c *Catalog) entries(zones map[string]int) (list []balance.Entry, addresses map[string]string, invalid error) {
	list = make([]balance.Entry, 0, len(c.Hosts))
	addresses = make(map[string]string, len(c.Hosts))
	index := make(map[string]int, len(c.Hosts))
	for _, h := range c.Hosts {
		if h.Host == "" {
			invalid = errors.Join(invalid, errors.New("entry without a host"))
			continue
		}
		state, known := states[h.Health]
		zone, knownZone := zones[h.Site]
		_, _, dialErr := net.SplitHostPort(h.Dial)
		var err error
		switch {
		case !known:
			err = fmt.Errorf("%s: unknown health %q", h.Host, h.Health)
		case state != balance.InService:
		case !knownZone:
			err = fmt.Errorf("%s: unknown site %q", h.Host, h.Site)
		case dialErr != nil:
			err = fmt.Errorf("%s: dial: %w", h.Host, dialErr)
		}
		if err != nil {
			invalid = errors.Join(invalid, err)
			state = balance.Draining
		}
		e := balance.Entry{ID: h.Host, Zone: zone, Cell: h.Block, State: state, Boot: settings.Millis(h.BornMS)}
		addresses[h.Host] = h.Dial
		if n, twice := index[h.Host]; twice {
			list[n] = e // the later entry counts
			continue
		}
		index[h.Host] = len(list)
		list = append(list, e)
	}
	return list, addresses, invalid
}

// kind returns how the list relates to the held one.
func (c *Catalog) kind() balance.ListKind {
	if c.Whole {
		return balance.Full
	}
	return balance.Delta
}

// ReadCatalog parses a list in the format of discovery.
func ReadCatalog(text []byte) (*Catalog, error) {
	c := &Catalog{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("server list: %w", err)
	}
	return c, nil
}
