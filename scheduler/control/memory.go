package control

import "mimosadock/schedule/clock"

// Replies to submissions that the owner does not take in.
var (
	jobsTooLarge = Reply{Status: StatusRefused, Reason: "open jobs take too much memory", RetryAfter: clock.Second}
	noJob        = Reply{Status: StatusRefused, Reason: "submission without its job", RetryAfter: clock.Second}
)

// refuseSubmission returns the reply to a submission without its job, or for which
// the process has no memory: the tables of all its shards together have a bound. It
// returns nil for others, and for a job that the shard has already.
func (c *Control) refuseSubmission(owned *ownedShard, request *Request) *Reply {
	if request.Spec == nil || request.Spec.ID != request.Job {
		return &noJob
	}
	if owned.shard.HasJob(request.Job) {
		return nil
	}
	total := request.Spec.JobBytes()
	for _, o := range c.owned {
		total += o.shard.JobBytes()
	}
	if bound := c.Settings.MaxJobBytes; bound > 0 && total > bound {
		return &jobsTooLarge
	}
	return nil
}
