package node

import (
	"context"
	"time"

	"magnolialedge/io/event"
	"magnolialedge/io/pause"
)

// steeringPollInterval is the time between two comparisons of the entries that resolve
// responses leave out.
const steeringPollInterval = 100 * time.Millisecond

// reportSteering logs each change of the entries that are listed and that resolve responses
// leave out, until ctx is done.
func (n *Node) reportSteering(ctx context.Context) {
	known := map[string]string{}
	for ctx.Err() == nil {
		pause.Sleep(ctx, steeringPollInterval)
		leftOut := n.members.leftOut(time.Now())
		for name, reason := range leftOut {
			if _, ok := known[name]; !ok {
				n.log.Log(event.SteeringChanged, "member", name, "named", false, "reason", reason, "subscribers", n.follower.Subscribers())
			}
		}
		for name := range known {
			if _, ok := leftOut[name]; !ok {
				n.log.Log(event.SteeringChanged, "member", name, "named", true, "reason", n.members.namedReason(name))
			}
		}
		known = leftOut
	}
}
