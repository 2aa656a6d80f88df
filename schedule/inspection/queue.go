package inspection

import (
	"fmt"
	"strings"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/unit"
)

// idDigits are the characters of a job's id, which follows the prefix of a queue in
// the path.
const idDigits = "0123456789abcdef"

// idLength is the number of digits of a job's id.
const idLength = 16

// Config returns the findings about an operator's configuration.
func Config(c *dispatch.Config) Findings {
	var f Findings
	f.checkNames(c)
	for i := range c.Queues {
		q := &c.Queues[i]
		f.checkRoute(c, i)
		f.checkLimits(q)
		f.checkAdvice(q)
		if len(c.Services) > 0 && !hasService(c, q.Service) {
			f.add(Warning, QueueEntry(q.Name), "service %q has no entry, so that it has the default limits", q.Service)
		}
	}
	for i := range c.Services {
		f.checkService(c, &c.Services[i])
	}
	if c.MaxBody < 0 {
		f.add(Error, "", "the limit of a body is %d bytes, must not be negative", c.MaxBody)
	}
	return f
}

// QueueEntry returns the entry of a queue in findings.
func QueueEntry(name unit.Queue) string { return fmt.Sprintf("queue %q", name) }

// ServiceEntry returns the entry of a service in findings.
func ServiceEntry(name unit.Service) string { return fmt.Sprintf("service %q", name) }

func hasService(c *dispatch.Config, name unit.Service) bool {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return true
		}
	}
	return false
}

// checkNames finds queues and services with the same name. Of those, jobs use the
// last queue and the first service.
func (f *Findings) checkNames(c *dispatch.Config) {
	queues, services := make(map[unit.Queue]bool), make(map[unit.Service]bool)
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Name == "" {
			f.add(Error, QueueEntry(q.Name), "has no name")
		}
		if queues[q.Name] {
			f.add(Error, QueueEntry(q.Name), "is listed twice; accepted jobs use the last entry only")
		}
		queues[q.Name] = true
	}
	for i := range c.Services {
		s := &c.Services[i]
		if services[s.Name] {
			f.add(Error, ServiceEntry(s.Name), "is listed twice; the first entry holds")
		}
		services[s.Name] = true
	}
}

// checkRoute finds why requests can't reach a queue.
func (f *Findings) checkRoute(c *dispatch.Config, index int) {
	q := &c.Queues[index]
	switch {
	case q.Host == "":
		f.add(Error, QueueEntry(q.Name), "has no host, so that no request matches")
	case strings.Contains(q.Host, ":"):
		f.add(Error, QueueEntry(q.Name), "host %q has a port, so that no request matches", q.Host)
	}
	if !strings.HasPrefix(q.Prefix, "/") {
		f.add(Error, QueueEntry(q.Name), "prefix %q does not begin with a slash, so that no request matches", q.Prefix)
	} else if !strings.HasSuffix(q.Prefix, "/") {
		f.add(Warning, QueueEntry(q.Name), "prefix %q does not end with a slash; the id of a job follows it directly", q.Prefix)
	}
	for i := range c.Queues {
		other := &c.Queues[i]
		if i == index || other.Host != q.Host {
			continue
		}
		switch {
		case other.Prefix == q.Prefix && i < index:
			f.add(Error, QueueEntry(q.Name), "can never match: %s has the same host and prefix", QueueEntry(other.Name))
		case isIDPart(strings.TrimPrefix(other.Prefix, q.Prefix)) && strings.HasPrefix(other.Prefix, q.Prefix):
			f.add(Error, QueueEntry(q.Name), "does not get the ids that begin with %s: %s matches them", other.Prefix[len(q.Prefix):], QueueEntry(other.Name))
		}
	}
}

// isIDPart reports whether s can be the beginning of a job's id.
func isIDPart(s string) bool {
	return s != "" && len(s) <= idLength && strings.Trim(s, idDigits) == ""
}

// checkLimits finds limits of a queue that its jobs can't meet.
func (f *Findings) checkLimits(q *dispatch.Queue) {
	if q.Service == "" {
		f.add(Error, QueueEntry(q.Name), "has no service, so that its tasks never run")
	}
	if q.MaxAttempts < 1 {
		f.add(Error, QueueEntry(q.Name), "allows %d attempts of a task, at least 1 is needed", q.MaxAttempts)
	}
	if q.Priority < 0 {
		f.add(Error, QueueEntry(q.Name), "priority is %d, 0 is the highest", q.Priority)
	}
	if q.TargetLatency < 0 {
		f.add(Error, QueueEntry(q.Name), "target latency is %d ms, must not be negative", q.TargetLatency)
	}
	switch {
	case q.SlackFactor < 0:
		f.add(Error, QueueEntry(q.Name), "slack factor is %g, must not be negative", q.SlackFactor)
	case q.SlackFactor < 1 && q.TargetLatency >= 0:
		f.add(Warning, QueueEntry(q.Name), "slack factor %g is below 1: jobs longer than %s can't meet their objective, however soon they start", q.SlackFactor, longestJob(q))
	}
}

// longestJob returns the length of work above which the objective of a queue with a
// slack factor below 1 is shorter than the work.
func longestJob(q *dispatch.Queue) string {
	return fmt.Sprintf("%.0f ms", float64(q.TargetLatency)/(1-q.SlackFactor))
}

// checkAdvice finds limits of tickets that contradict each other.
func (f *Findings) checkAdvice(q *dispatch.Queue) {
	a := q.Advice
	if a == nil {
		return
	}
	switch {
	case a.Decision < 0 || a.PerWorker < 0:
		f.add(Error, QueueEntry(q.Name), "times of advice must not be negative")
	case a.UsableTime() <= 0:
		f.add(Error, QueueEntry(q.Name), "tickets are valid for %d ms, which is too short for any start: at least %d ms are needed", a.Valid, a.Valid-a.UsableTime()+1)
	case a.CallTime() >= a.UsableTime():
		f.add(Warning, QueueEntry(q.Name), "a call for advice takes up to %d ms, and its tickets can be used for %d ms", a.CallTime(), a.UsableTime())
	}
	if q.TargetLatency > 0 && a.CallTime() > q.TargetLatency {
		f.add(Warning, QueueEntry(q.Name), "a call for advice takes up to %d ms, longer than the target latency of %d ms", a.CallTime(), q.TargetLatency)
	}
}

// checkService finds services that no queue uses, and limits that are too low.
func (f *Findings) checkService(c *dispatch.Config, s *dispatch.ServiceConfig) {
	used := false
	for i := range c.Queues {
		used = used || c.Queues[i].Service == s.Name
	}
	if !used {
		f.add(Warning, ServiceEntry(s.Name), "no queue uses it")
	}
	if lost := dispatch.CoveredLostOwners(s.MaxConnections); lost < 1 {
		f.add(Warning, ServiceEntry(s.Name), "executors accept %d connections, which the owners of a home shard and of a borrower use up: none is left for a successor of an owner that lost power", s.MaxConnections)
	}
}
