package service

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"go.yaml.in/yaml/v3"

	"mimosadock/schedule/clock"
	"mimosadock/schedule/unit"
)

// Limits of a services text.
const (
	maxSlots                    = 4096
	maxDeadline      clock.Span = 2 * clock.Hour
	maxShortDeadline clock.Span = clock.Minute // maximum deadline of all classes except long
)

var namePattern = regexp.MustCompile(`^[a-z][a-zA-Z0-9-]{0,62}$`)

// checker checks a text and collects its faults.
type checker struct {
	text   *Text
	root   *yaml.Node
	faults Faults
}

// addFault adds a fault at the position of path in the text. It ignores faults
// beyond maxFaults.
func (c *checker) addFault(path, format string, args ...any) {
	if len(c.faults) >= maxFaults {
		return
	}
	line, column := position(c.root, path)
	c.faults = append(c.faults, Fault{Line: line, Column: column, Path: path, Message: fmt.Sprintf(format, args...)})
}

// addFaultAt adds a fault at the position of n. It ignores faults beyond
// maxFaults.
func (c *checker) addFaultAt(n *yaml.Node, path, format string, args ...any) {
	if len(c.faults) >= maxFaults {
		return
	}
	c.faults = append(c.faults, Fault{Line: n.Line, Column: n.Column, Path: path, Message: fmt.Sprintf(format, args...)})
}

// check checks the content of a decoded text.
func (c *checker) check() {
	if c.text.Version != Version {
		c.addFault("version", "version is %d, %d is supported", c.text.Version, Version)
	}
	c.checkNames()
	c.checkTeams()
	c.checkSets()
	c.checkServices()
	c.checkKinds()
	c.checkCycles()
	c.checkTokens("operators", c.text.Operators)
}

// checkNames checks the format of all names and that they are unique.
func (c *checker) checkNames() {
	t := c.text
	checkNameList(c, "dataCentres", t.DataCentres, func(d DataCentre) string { return string(d.Name) })
	checkNameList(c, "teams", t.Teams, func(m Team) string { return string(m.Name) })
	checkNameList(c, "upstreamSets", t.UpstreamSets, func(s UpstreamSet) string { return s.Name })
	// Services and kinds share one namespace, because dependsOn can name both.
	serviceNames := checkNameList(c, "services", t.Services, func(s Service) string { return string(s.Name) })
	for i, k := range t.Kinds {
		if _, ok := serviceNames[string(k.Name)]; ok {
			c.addFault(fmt.Sprintf("kinds[%d].name", i), "name %q is already a service", k.Name)
		}
	}
	checkNameList(c, "kinds", t.Kinds, func(k Kind) string { return string(k.Name) })
}

// checkNameList checks the names in one list and returns the position of each.
func checkNameList[V any](c *checker, list string, rows []V, name func(V) string) map[string]int {
	seen := make(map[string]int, len(rows))
	for i, r := range rows {
		n, path := name(r), fmt.Sprintf("%s[%d].name", list, i)
		if !namePattern.MatchString(n) {
			c.addFault(path, "name %q must be 1 to 63 letters, digits or hyphens and begin with a lower-case letter", n)
		}
		if first, ok := seen[n]; ok {
			c.addFault(path, "name %q is already used by %s[%d]", n, list, first)
			continue
		}
		seen[n] = i
	}
	return seen
}

func (c *checker) checkTeams() {
	var sum unit.Resources
	for i, m := range c.text.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		if hasNegative(m.Quota) {
			c.addFault(path+".quota", "quota has a negative component")
		}
		if m.RequestsPerSecond < 0 || m.Burst < 0 || m.Concurrent < 0 || m.CallerPerSecond < 0 || m.CallerConcurrent < 0 {
			c.addFault(path, "limits must not be negative")
		}
		c.checkTokens(path+".tokens", m.Tokens)
		sum = sum.Add(m.Quota)
	}
	if !sum.Fits(c.text.Capacity) {
		c.addFault("capacity", "quotas add up to %s, capacity is %s", formatResources(sum), formatResources(c.text.Capacity))
	}
}

func (c *checker) checkTokens(path string, tokens []TokenHash) {
	for i, h := range tokens {
		b, err := hex.DecodeString(string(h))
		if err != nil || len(b) != 32 || strings.ToLower(string(h)) != string(h) {
			c.addFault(fmt.Sprintf("%s[%d]", path, i), "token must be a SHA-256 in lower-case hexadecimal")
		}
	}
}

func (c *checker) checkSets() {
	for i, s := range c.text.UpstreamSets {
		path := fmt.Sprintf("upstreamSets[%d]", i)
		if s.Slots < 1 || s.Slots > maxSlots {
			c.addFault(path+".slots", "slots is %d, allowed are 1 to %d", s.Slots, maxSlots)
		}
		seen := make(map[unit.Upstream]bool, len(s.Members))
		for j, m := range s.Members {
			memberPath := fmt.Sprintf("%s.members[%d]", path, j)
			if _, err := netip.ParseAddrPort(string(m.Address)); err != nil {
				c.addFault(memberPath+".address", "address %q must be an IP number and a port", m.Address)
			}
			if seen[m.Address] {
				c.addFault(memberPath+".address", "address %q is listed twice", m.Address)
			}
			seen[m.Address] = true
			if c.text.DataCentre(m.DataCentre) == nil {
				c.addFault(memberPath+".dataCentre", "data centre %q is not in the text", m.DataCentre)
			}
		}
	}
}

func (c *checker) checkServices() {
	for i, s := range c.text.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.checkTeam(path, s.Team)
		if c.text.UpstreamSet(s.UpstreamSet) == nil {
			c.addFault(path+".upstreamSet", "upstream set %q is not in the text", s.UpstreamSet)
		}
		maxAllowed := maxShortDeadline
		if s.Class == Long {
			maxAllowed = maxDeadline
		}
		if s.DeadlineMs < 1 || s.DeadlineMs > maxAllowed {
			c.addFault(path+".deadlineMs", "deadline of %d ms, allowed for class %s are 1 to %d", s.DeadlineMs, s.Class, maxAllowed)
		}
		if s.Hedge && !s.Idempotent {
			c.addFault(path+".hedge", "only an idempotent service can be hedged")
		}
		c.checkDependencies(path, string(s.Name), s.DependsOn)
	}
}

func (c *checker) checkKinds() {
	for i, k := range c.text.Kinds {
		path := fmt.Sprintf("kinds[%d]", i)
		c.checkTeam(path, k.Team)
		if hasNegative(k.Resources) || k.Resources.CPU == 0 || k.Resources.Memory == 0 {
			c.addFault(path+".resources", "a task needs more than zero cpu and memory, and no negative component")
		}
		if k.ExpectedMs < 0 || k.CheckpointMs < 0 {
			c.addFault(path, "times must not be negative")
		}
		c.checkDependencies(path, string(k.Name), k.DependsOn)
	}
}

func (c *checker) checkTeam(path string, team unit.Team) {
	if c.text.Team(team) == nil {
		c.addFault(path+".team", "team %q is not in the text", team)
	}
}

func (c *checker) checkDependencies(path, self string, deps []string) {
	for j, dependency := range deps {
		dependencyPath := fmt.Sprintf("%s.dependsOn[%d]", path, j)
		switch {
		case dependency == self:
			c.addFault(dependencyPath, "%q depends on itself", dependency)
		case c.text.Service(unit.Service(dependency)) == nil && c.text.Kind(unit.Kind(dependency)) == nil:
			c.addFault(dependencyPath, "%q is neither a service nor a kind of the text", dependency)
		}
	}
}

// checkCycles reports every dependency that closes a cycle. It uses a depth-first
// search with three states for a node.
func (c *checker) checkCycles() {
	deps := make(map[string][]string)
	paths := make(map[string]string)
	for i, s := range c.text.Services {
		deps[string(s.Name)], paths[string(s.Name)] = s.DependsOn, fmt.Sprintf("services[%d]", i)
	}
	for i, k := range c.text.Kinds {
		deps[string(k.Name)], paths[string(k.Name)] = k.DependsOn, fmt.Sprintf("kinds[%d]", i)
	}
	const (
		visiting = 1
		visited  = 2
	)
	state := make(map[string]int, len(deps))
	var stack []string
	var visit func(name string)
	visit = func(name string) {
		state[name] = visiting
		stack = append(stack, name)
		for j, d := range deps[name] {
			if state[d] == visiting && d != name {
				c.addFault(fmt.Sprintf("%s.dependsOn[%d]", paths[name], j), "dependency cycle %s", formatCycle(stack, d))
			}
			if state[d] == 0 && paths[d] != "" {
				visit(d)
			}
		}
		stack = stack[:len(stack)-1]
		state[name] = visited
	}
	for _, s := range c.text.Services {
		if state[string(s.Name)] == 0 {
			visit(string(s.Name))
		}
	}
	for _, k := range c.text.Kinds {
		if state[string(k.Name)] == 0 {
			visit(string(k.Name))
		}
	}
}

// formatCycle returns the part of stack that begins with name, followed by name,
// as "a -> b -> a".
func formatCycle(stack []string, name string) string {
	for i, n := range stack {
		if n == name {
			return strings.Join(append(append([]string(nil), stack[i:]...), name), " -> ")
		}
	}
	return name
}

func hasNegative(r unit.Resources) bool {
	return r.CPU < 0 || r.Memory < 0 || r.Accelerators < 0
}

func formatResources(r unit.Resources) string {
	return fmt.Sprintf("cpu %d, memory %d, accelerators %d", r.CPU, r.Memory, r.Accelerators)
}
