package discovery

import (
	"math/rand/v2"

	"brasswell/internal/discovery/plan"
)

// seed makes the random delays of a client that has done nothing yet depend on a seed.
func seed(d *Client, number uint64) {
	const stream = 0xd15c
	d.plan = plan.NewFollower(0, "discovery:1", plan.Settings{Hold: DefaultOptions().Hold, Slack: DefaultOptions().Slack}, rand.New(rand.NewPCG(number, stream)).Float64)
}
