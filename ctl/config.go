package main

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"mimosadock/entry/admin"
	"mimosadock/schedule/config"
	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
)

// registerConfig adds the commands for the services text.
func (c *cli) registerConfig(cmd *kingpin.CmdClause) {
	var file string
	var base uint64
	var limit int
	check := cmd.Command("check", "Check a services text without applying it; needs no server.")
	check.Arg("file", "File with the services text, - for standard input.").Required().StringVar(&file)
	check.Action(func(*kingpin.ParseContext) error { return c.configCheck(file) })

	apply := cmd.Command("apply", "Apply a services text.")
	apply.Arg("file", "File with the services text, - for standard input.").Required().StringVar(&file)
	apply.Flag("base", "Revision that the text is based on.").Required().Uint64Var(&base)
	apply.Action(func(*kingpin.ParseContext) error { return c.configApply(file, unit.Revision(base)) })

	cmd.Command("show", "Show the services text in force.").Action(func(*kingpin.ParseContext) error { return c.configShow() })

	diff := cmd.Command("diff", "Show the difference from the text in force to a file.")
	diff.Arg("file", "File with the services text, - for standard input.").Required().StringVar(&file)
	diff.Action(func(*kingpin.ParseContext) error { return c.configDiff(file) })

	history := cmd.Command("history", "Show past revisions, newest first.")
	history.Flag("limit", "Maximum number of revisions to show.").Default("20").IntVar(&limit)
	history.Action(func(*kingpin.ParseContext) error { return c.configHistory(limit) })
}

func (c *cli) configCheck(file string) error {
	data, err := readText(file, c.in)
	if err != nil {
		return err
	}
	text, err := service.Parse([]byte(data))
	if err != nil {
		faults, _ := err.(service.Faults)
		return &problem{Verdict: verdict.DidNotRun, Reason: "the services text has faults", Faults: faults, Next: "correct the lines named"}
	}
	fmt.Fprintf(c.out, "ok: %d services, %d kinds, %d teams\n", len(text.Services), len(text.Kinds), len(text.Teams))
	return nil
}

func (c *cli) configApply(file string, base unit.Revision) error {
	text, err := readText(file, c.in)
	if err != nil {
		return err
	}
	var applied struct {
		Revision unit.Revision `json:"revision"`
	}
	if err := c.client.call(c.ctx, "PUT", "/v1/config", admin.Change{BaseRevision: base, Text: text}, &applied); err != nil {
		return err
	}
	if c.output == "json" {
		return writeJSON(c.out, applied)
	}
	fmt.Fprintf(c.out, "revision %d accepted\n", applied.Revision)
	return nil
}

func (c *cli) configShow() error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	if c.output == "json" {
		return writeJSON(c.out, cfg)
	}
	fmt.Fprintf(c.out, "# revision %d by %s\n%s", cfg.Revision, cfg.Author, cfg.Text)
	return nil
}

func (c *cli) config() (admin.Config, error) {
	var cfg admin.Config
	err := c.client.call(c.ctx, "GET", "/v1/config", nil, &cfg)
	return cfg, err
}

func (c *cli) configHistory(limit int) error {
	var rows []admin.Config
	if err := c.client.call(c.ctx, "GET", "/v1/config/history?limit="+url.QueryEscape(strconv.Itoa(limit)), nil, &rows); err != nil {
		return err
	}
	return render(c, rows, rows,
		column[admin.Config]{"REVISION", func(r admin.Config) any { return r.Revision }},
		column[admin.Config]{"AUTHOR", func(r admin.Config) any { return r.Author }},
		column[admin.Config]{"WHEN", func(r admin.Config) any { return time.UnixMilli(r.UnixMs).UTC().Format(time.RFC3339) }},
	)
}

func (c *cli) configDiff(file string) error {
	text, err := readText(file, c.in)
	if err != nil {
		return err
	}
	cfg, err := c.config()
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(c.out, config.Difference([]byte(cfg.Text), []byte(text), fmt.Sprintf("revision %d", cfg.Revision), file))
	return err
}
