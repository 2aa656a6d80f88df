package main

import (
	"fmt"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"mimosadock/entry/admin"
	"mimosadock/schedule/unit"
)

// registerHost adds the commands for hosts.
func (c *cli) registerHost(cmd *kingpin.CmdClause) {
	var address string
	cmd.Command("list", "List hosts.").Action(func(*kingpin.ParseContext) error { return c.hostList() })
	drain := cmd.Command("drain", "Drain a host: assign it no new work and move its running work.")
	drain.Arg("address", "Address of the host as listed.").Required().StringVar(&address)
	drain.Action(func(*kingpin.ParseContext) error { return c.hostDrain(address) })
}

func (c *cli) hostList() error {
	var rows []admin.Host
	if err := c.client.call(c.ctx, "GET", "/v1/hosts", nil, &rows); err != nil {
		return err
	}
	return render(c, rows, rows,
		column[admin.Host]{"ADDRESS", func(h admin.Host) any { return h.Address }},
		column[admin.Host]{"DATA CENTRE", func(h admin.Host) any { return h.DataCentre }},
		column[admin.Host]{"RACK", func(h admin.Host) any { return h.Rack }},
		column[admin.Host]{"ROLE", func(h admin.Host) any { return h.Role }},
		column[admin.Host]{"STATE", func(h admin.Host) any { return h.State }},
		column[admin.Host]{"CAPACITY", func(h admin.Host) any { return formatResources(h.Capacity) }},
		column[admin.Host]{"USED", func(h admin.Host) any { return formatResources(h.Used) }},
	)
}

func (c *cli) hostDrain(address string) error {
	var done struct{}
	body := map[string]string{"address": address}
	if err := c.client.call(c.ctx, "POST", "/v1/hosts/drain", body, &done); err != nil {
		return err
	}
	if c.output != "json" {
		fmt.Fprintf(c.out, "%s is draining\n", address)
	}
	return nil
}

// registerService adds the commands for services.
func (c *cli) registerService(cmd *kingpin.CmdClause) {
	var name string
	cmd.Command("list", "List services.").Action(func(*kingpin.ParseContext) error {
		var rows []admin.Service
		if err := c.client.call(c.ctx, "GET", "/v1/services", nil, &rows); err != nil {
			return err
		}
		return c.showServices(rows, rows)
	})
	showOne := cmd.Command("show", "Show a service.")
	showOne.Arg("name", "Name of the service.").Required().StringVar(&name)
	showOne.Action(func(*kingpin.ParseContext) error {
		var s admin.Service
		if err := c.client.call(c.ctx, "GET", "/v1/services/"+url.PathEscape(name), nil, &s); err != nil {
			return err
		}
		return c.showServices(s, []admin.Service{s})
	})
}

func (c *cli) showServices(value any, rows []admin.Service) error {
	return render(c, value, rows,
		column[admin.Service]{"SERVICE", func(s admin.Service) any { return s.Name }},
		column[admin.Service]{"TEAM", func(s admin.Service) any { return s.Team }},
		column[admin.Service]{"CLASS", func(s admin.Service) any { return s.Class }},
		column[admin.Service]{"DEADLINE MS", func(s admin.Service) any { return s.DeadlineMs }},
		column[admin.Service]{"UPSTREAMS", func(s admin.Service) any { return s.Upstreams }},
		column[admin.Service]{"SLOTS HELD", func(s admin.Service) any { return s.Held }},
		column[admin.Service]{"SLOTS USED", func(s admin.Service) any { return s.Used }},
	)
}

// registerTeam adds the commands for teams.
func (c *cli) registerTeam(cmd *kingpin.CmdClause) {
	var name string
	cmd.Command("list", "List teams.").Action(func(*kingpin.ParseContext) error {
		var rows []admin.Usage
		if err := c.client.call(c.ctx, "GET", "/v1/teams", nil, &rows); err != nil {
			return err
		}
		return c.showTeams(rows, rows)
	})
	usage := cmd.Command("usage", "Show the usage of a team.")
	usage.Arg("name", "Name of the team.").Required().StringVar(&name)
	usage.Action(func(*kingpin.ParseContext) error {
		var u admin.Usage
		if err := c.client.call(c.ctx, "GET", "/v1/teams/"+url.PathEscape(name), nil, &u); err != nil {
			return err
		}
		return c.showTeams(u, []admin.Usage{u})
	})
}

func (c *cli) showTeams(value any, rows []admin.Usage) error {
	return render(c, value, rows,
		column[admin.Usage]{"TEAM", func(u admin.Usage) any { return u.Team }},
		column[admin.Usage]{"QUOTA", func(u admin.Usage) any { return formatResources(u.Quota) }},
		column[admin.Usage]{"USED", func(u admin.Usage) any { return formatResources(u.Used) }},
		column[admin.Usage]{"SHARE", func(u admin.Usage) any { return fmt.Sprintf("%.1f%%", 100*u.Share) }},
		column[admin.Usage]{"TASKS", func(u admin.Usage) any { return u.Tasks }},
	)
}

// registerState adds the commands for the state of a process.
func (c *cli) registerState(app *kingpin.Application) {
	state := app.Command("state", "Inspect the state of a process.")
	state.Command("dump", "Print the state dump of a process as JSON.").Action(func(*kingpin.ParseContext) error {
		var dump any
		if err := c.client.call(c.ctx, "GET", "/v1/state", nil, &dump); err != nil {
			return err
		}
		return writeJSON(c.out, dump)
	})
	app.Command("status", "Show the summary of a process.").Action(func(*kingpin.ParseContext) error {
		var s admin.Status
		if err := c.client.call(c.ctx, "GET", "/v1/status", nil, &s); err != nil {
			return err
		}
		return render(c, s, []admin.Status{s},
			column[admin.Status]{"INSTANCE", func(s admin.Status) any { return s.Instance }},
			column[admin.Status]{"DATA CENTRE", func(s admin.Status) any { return s.DataCentre }},
			column[admin.Status]{"READY", func(s admin.Status) any { return s.Ready }},
			column[admin.Status]{"REVISION", func(s admin.Status) any { return s.Revision }},
			column[admin.Status]{"MEMBERS", func(s admin.Status) any { return s.Members }},
			column[admin.Status]{"OWNS", func(s admin.Status) any { return s.Owns }},
			column[admin.Status]{"JOURNAL", func(s admin.Status) any { return s.Journal }},
			column[admin.Status]{"JOBS", func(s admin.Status) any { return s.Jobs }},
		)
	})
}

// formatResources returns a size in cores, MiB and accelerators.
func formatResources(r unit.Resources) string {
	return fmt.Sprintf("%.1f cores, %d MiB, %d acc", float64(r.CPU)/1000, r.Memory, r.Accelerators)
}
