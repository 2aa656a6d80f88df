package inspection

import (
	"fmt"
	"slices"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// Difference says, one change a line, how an operator's configuration differs from
// the one in force. The findings are about changes that have no effect or affect
// accepted jobs.
func Difference(inForce, next *dispatch.Config) ([]string, Findings) {
	var lines []string
	var f Findings
	if next.Version <= inForce.Version {
		f.add(Error, "", "version %d is not above version %d in force, so that no process takes it", next.Version, inForce.Version)
	}
	lines = append(lines, compareRows(inForce.Queues, next.Queues, func(q *dispatch.Queue) unit.Queue { return q.Name }, "queue", queueChanges)...)
	lines = append(lines, compareRows(inForce.Services, next.Services, func(s *dispatch.ServiceConfig) unit.Service { return s.Name }, "service", serviceChanges)...)
	if inForce.MaxBody != next.MaxBody {
		lines = append(lines, fmt.Sprintf("limit of a body: %d bytes -> %d bytes", inForce.MaxBody, next.MaxBody))
	}
	for i := range inForce.Queues {
		q := &inForce.Queues[i]
		if !slices.ContainsFunc(next.Queues, func(n dispatch.Queue) bool { return n.Name == q.Name }) {
			f.add(Warning, QueueEntry(q.Name), "is removed: its jobs go on with their former limits, and callers can't read or cancel them")
		}
	}
	return lines, f
}

// compareRows says which rows were added, removed or changed.
func compareRows[V any, K comparable](before, after []V, key func(*V) K, kind string, changes func(a, b *V) []string) []string {
	var lines []string
	find := func(rows []V, k K) *V {
		for i := range rows {
			if key(&rows[i]) == k {
				return &rows[i]
			}
		}
		return nil
	}
	for i := range before {
		if k := key(&before[i]); find(after, k) == nil {
			lines = append(lines, fmt.Sprintf("%s %q removed", kind, fmt.Sprint(k)))
		}
	}
	for i := range after {
		k := key(&after[i])
		old := find(before, k)
		if old == nil {
			lines = append(lines, fmt.Sprintf("%s %q added", kind, fmt.Sprint(k)))
			continue
		}
		for _, c := range changes(old, &after[i]) {
			lines = append(lines, fmt.Sprintf("%s %q: %s", kind, fmt.Sprint(k), c))
		}
	}
	return lines
}

// changed returns "name: a -> b" if a and b differ, else nothing.
func changed[V comparable](name string, a, b V) []string {
	if a == b {
		return nil
	}
	return []string{fmt.Sprintf("%s: %v -> %v", name, a, b)}
}

func queueChanges(a, b *dispatch.Queue) []string {
	lines := slices.Concat(
		changed("host", a.Host, b.Host),
		changed("prefix", a.Prefix, b.Prefix),
		changed("service", a.Service, b.Service),
		changed("priority", a.Priority, b.Priority),
		changed("attempts of a task", a.MaxAttempts, b.MaxAttempts),
		changed("slack factor", a.SlackFactor, b.SlackFactor),
		changed("target latency in ms", a.TargetLatency, b.TargetLatency),
		changed("advice needed", a.Advice != nil, b.Advice != nil),
	)
	if a.Advice != nil && b.Advice != nil {
		lines = append(lines, changed("validity of tickets in ms", a.Advice.Valid, b.Advice.Valid)...)
		lines = append(lines, changed("duration of a call for advice in ms", a.Advice.CallTime(), b.Advice.CallTime())...)
	}
	return lines
}

func serviceChanges(a, b *dispatch.ServiceConfig) []string {
	return changed("connections to an executor", a.MaxConnections, b.MaxConnections)
}
