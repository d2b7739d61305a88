package scale

import (
	"testing"
	"time"

	"brasswell/internal/rig/hollow"
	"brasswell/internal/rig/scale/result"
)

// TestNoRoleWithoutMembers: where all start within the measured part, real proxies have no usage at its begin, and none is told of
// them: a role of no members would make the result one that cannot be read.
func TestNoRoleWithoutMembers(t *testing.T) {
	began := time.Now()
	proxies := []*hollow.Usage{{CPU: time.Second}}
	for _, c := range []struct {
		before []*hollow.Usage
		roles  int
	}{{nil, 0}, {[]*hollow.Usage{{}}, 1}} {
		r, out := &run{plan: &plan{}}, &result.Run{}
		r.roles(out, &usage{at: began, real: c.before}, &usage{at: began.Add(time.Second), real: proxies})
		if len(out.Roles) != c.roles {
			t.Errorf("%d proxies at the begin: %+v", len(c.before), out.Roles)
		}
	}
}
