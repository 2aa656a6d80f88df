package inspection

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"mimosadock/schedule/dispatch"
	"mimosadock/schedule/service"
)

// queue returns a queue without findings after a change.
func queue(change func(*dispatch.Queue)) dispatch.Queue {
	q := dispatch.Queue{Name: "q", Host: "a.example", Prefix: "/q/", Service: "s", MaxAttempts: 3, SlackFactor: 2, TargetLatency: 500}
	change(&q)
	return q
}

func unchanged(*dispatch.Queue) {}

// configOf returns a configuration with the given queues and one service for them.
func configOf(queues ...dispatch.Queue) *dispatch.Config {
	return &dispatch.Config{Version: 2, Queues: queues, Services: []dispatch.ServiceConfig{{Name: "s", MaxConnections: 64}}}
}

// Guards against a configuration that is sent although entries of it have no effect,
// and against findings about one that is right.
func TestConfig(t *testing.T) {
	other := func(prefix string) dispatch.Queue {
		return queue(func(q *dispatch.Queue) { q.Name, q.Prefix = "r", prefix })
	}
	for name, c := range map[string]struct {
		config   *dispatch.Config
		severity Severity
		want     string // part of the only finding; empty for none
	}{
		"right":                     {configOf(queue(unchanged), other("/r/")), 0, ""},
		"longer prefix":             {configOf(queue(unchanged), other("/q/r/")), 0, ""},
		"same route":                {configOf(queue(unchanged), other("/q/")), Error, "can never match"},
		"hidden ids":                {configOf(queue(unchanged), other("/q/0a")), Error, "ids that begin with 0a"},
		"same name":                 {configOf(queue(unchanged), queue(func(q *dispatch.Queue) { q.Prefix = "/r/" })), Error, "listed twice"},
		"host with port":            {configOf(queue(func(q *dispatch.Queue) { q.Host = "a:80" })), Error, "port"},
		"no host":                   {configOf(queue(func(q *dispatch.Queue) { q.Host = "" })), Error, "no host"},
		"prefix without slash":      {configOf(queue(func(q *dispatch.Queue) { q.Prefix = "q/" })), Error, "does not begin"},
		"prefix without end":        {configOf(queue(func(q *dispatch.Queue) { q.Prefix = "/q" })), Warning, "does not end"},
		"no attempts":               {configOf(queue(func(q *dispatch.Queue) { q.MaxAttempts = 0 })), Error, "attempts"},
		"objective below the work":  {configOf(queue(func(q *dispatch.Queue) { q.SlackFactor = 0.5 })), Warning, "longer than 1000 ms"},
		"tickets too short":         {configOf(queue(func(q *dispatch.Queue) { q.Advice = &dispatch.AdvicePolicy{Valid: 400} })), Error, "at least 401 ms"},
		"tickets right":             {configOf(queue(func(q *dispatch.Queue) { q.Advice = &dispatch.AdvicePolicy{Decision: 5, PerWorker: 1, Valid: 3000} })), 0, ""},
		"advice above the target":   {configOf(queue(func(q *dispatch.Queue) { q.Advice = &dispatch.AdvicePolicy{Decision: 600, Valid: 3000} })), Warning, "target latency"},
		"service that is not named": {&dispatch.Config{Queues: []dispatch.Queue{queue(unchanged)}, Services: []dispatch.ServiceConfig{{Name: "s", MaxConnections: 64}, {Name: "t", MaxConnections: 64}}}, Warning, "no queue uses"},
		"queue without a service":   {&dispatch.Config{Queues: []dispatch.Queue{queue(unchanged), queue(func(q *dispatch.Queue) { q.Name, q.Prefix, q.Service = "r", "/r/", "t" })}, Services: []dispatch.ServiceConfig{{Name: "s", MaxConnections: 64}}}, Warning, "no entry"},
		"few connections":           {&dispatch.Config{Queues: []dispatch.Queue{queue(unchanged)}, Services: []dispatch.ServiceConfig{{Name: "s", MaxConnections: 5}}}, Warning, "5 connections"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := Config(c.config)
			if c.want == "" {
				is.Equal(len(f), 0)
				return
			}
			if strings.HasSuffix(c.config.Queues[len(c.config.Queues)-1].Prefix, "/") {
				is.Equal(len(f), 1) // else there is one about the prefix, too
			}
			is.Equal(f[0].Severity, c.severity)
			is.True(strings.Contains(f[0].Message, c.want))
		})
	}
}

// Guards against a change that is missing in the difference, and against a version
// that no process takes.
func TestDifference(t *testing.T) {
	before := configOf(queue(unchanged))
	before.Version = 1
	for name, c := range map[string]struct {
		next     *dispatch.Config
		lines    []string
		findings []string // entries and parts of their messages
	}{
		"same":            {configOf(queue(unchanged)), nil, nil},
		"older":           {&dispatch.Config{Version: 1, Queues: before.Queues, Services: before.Services}, nil, []string{"not above"}},
		"limit":           {configOf(queue(func(q *dispatch.Queue) { q.TargetLatency = 700 })), []string{`queue "q": target latency in ms: 500 -> 700`}, nil},
		"advice":          {configOf(queue(func(q *dispatch.Queue) { q.Advice = &dispatch.AdvicePolicy{Valid: 3000} })), []string{`queue "q": advice needed: false -> true`}, nil},
		"queue removed":   {configOf(), []string{`queue "q" removed`}, []string{"is removed"}},
		"service removed": {&dispatch.Config{Version: 2, Queues: before.Queues}, []string{`service "s" removed`}, nil},
		"queue added":     {configOf(queue(unchanged), queue(func(q *dispatch.Queue) { q.Name, q.Prefix = "r", "/r/" })), []string{`queue "r" added`}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			lines, f := Difference(before, c.next)
			is.Equal(lines, c.lines)
			is.Equal(len(f), len(c.findings))
			for i := range f {
				is.True(strings.Contains(f[i].Message, c.findings[i]))
			}
		})
	}
}

// Guards against a services text whose tasks never run, and against findings about
// one that is right.
func TestText(t *testing.T) {
	const head = "version: 1\ncapacity: {cpu: 9, memory: 9}\nteams: [{name: m, quota: {cpu: 4, memory: 4}%s}]\n"
	for name, c := range map[string]struct {
		team, rest string
		want       string // part of the only finding; empty for none
	}{
		"right":                  {"", "kinds: [{name: k, team: m, class: batch, resources: {cpu: 4, memory: 4}}]", ""},
		"above the quota":        {"", "kinds: [{name: k, team: m, class: batch, resources: {cpu: 5, memory: 4}}]", "quota"},
		"checkpoints":            {"", "kinds: [{name: k, team: m, class: batch, resources: {cpu: 1, memory: 1}, expectedMs: 50, checkpointMs: 50}]", "checkpoints"},
		"team owns nothing":      {"", "", "owns no service"},
		"callers above the team": {", requestsPerSecond: 5, callerPerSecond: 6", "kinds: [{name: k, team: m, class: batch, resources: {cpu: 1, memory: 1}}]", "6 requests a second"},
		"set of no service":      {"", "kinds: [{name: k, team: m, class: batch, resources: {cpu: 1, memory: 1}}]\nupstreamSets: [{name: u, slots: 1}]", "no service uses it"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text, err := service.Parse([]byte(strings.Replace(head, "%s", c.team, 1) + c.rest + "\n"))
			is.NoErr(err)
			f := Text(text)
			if c.want == "" {
				is.Equal(len(f), 0)
				return
			}
			is.Equal(len(f), 1)
			is.True(strings.Contains(f[0].Message, c.want))
		})
	}
}
