package main

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"mimosadock/platform"
	"mimosadock/schedule/config"
	"mimosadock/schedule/inspection"
	"mimosadock/schedule/service"
)

// errFindings reports that a checked configuration must not be sent as it is.
var errFindings = errors.New("the configuration has errors")

// checkHelp is the help of the command, with examples.
const checkHelp = `Check a configuration before it is sent. Needs no server.

The file is a services text (YAML) or the operator's configuration (JSON). Errors say what is refused or has no effect, warnings what may not be meant. Exit code 5 means that there are errors, or with --strict warnings.

Examples: "mimosactl check services.yaml", "mimosactl check --against in-force.json next.json", "mimosactl -o json check --strict next.json".`

// checkOptions are the arguments of the command check.
type checkOptions struct {
	file    string
	against string
	strict  bool
}

// checkResult is the output of the command check.
type checkResult struct {
	Findings    inspection.Findings `json:"findings"`
	Differences []string            `json:"differences,omitempty"`
}

// registerCheck adds the command that checks a configuration.
func (c *cli) registerCheck(app *kingpin.Application) {
	var o checkOptions
	cmd := app.Command("check", checkHelp)
	cmd.Arg("file", "File with the configuration, - for standard input.").Required().StringVar(&o.file)
	cmd.Flag("against", "File with the configuration in force; shows what differs.").StringVar(&o.against)
	cmd.Flag("strict", "Fail on warnings, too.").BoolVar(&o.strict)
	cmd.Action(func(*kingpin.ParseContext) error { return c.check(o) })
}

// check checks a configuration and prints the findings and the differences.
func (c *cli) check(o checkOptions) error {
	next, err := readText(o.file, c.in)
	if err != nil {
		return err
	}
	var inForce []byte
	if o.against != "" {
		text, err := readText(o.against, c.in)
		if err != nil {
			return err
		}
		inForce = []byte(text)
	}
	check := checkText
	if bytes.HasPrefix(bytes.TrimSpace([]byte(next)), []byte("{")) {
		check = checkOperatorConfig
	}
	result, err := check([]byte(next), inForce)
	if err != nil {
		return fmt.Errorf("%s: %w", o.against, err)
	}
	result.Findings.Sort()
	if err := c.printCheck(result); err != nil {
		return err
	}
	if result.Findings.HasErrors() || o.strict && len(result.Findings) > 0 {
		return errFindings
	}
	return nil
}

// printCheck writes the result of a check.
func (c *cli) printCheck(r checkResult) error {
	if c.output == "json" {
		if r.Findings == nil {
			r.Findings = inspection.Findings{}
		}
		return writeJSON(c.out, r)
	}
	for _, f := range r.Findings {
		fmt.Fprintln(c.out, f)
	}
	for _, d := range r.Differences {
		fmt.Fprintln(c.out, "differs: "+d)
	}
	if len(r.Findings) == 0 {
		fmt.Fprintln(c.out, "ok")
	}
	return nil
}

// checkText checks a services text against the one in force, which may be nil. The
// error is that of the text in force.
func checkText(next, inForce []byte) (checkResult, error) {
	var r checkResult
	text, err := service.Parse(next)
	if err != nil {
		var faults service.Faults
		errors.As(err, &faults)
		for _, f := range faults {
			r.Findings = append(r.Findings, inspection.Finding{Severity: inspection.Error, Line: f.Line, Column: f.Column, Entry: f.Path, Message: f.Message})
		}
	} else {
		r.Findings = inspection.Text(text)
	}
	if inForce == nil {
		return r, nil
	}
	if _, err := service.Parse(inForce); err != nil {
		return r, err
	}
	if d := config.Difference(inForce, next, "in force", "checked"); d != "" {
		r.Differences = []string{d}
	}
	return r, nil
}

// checkOperatorConfig is checkText for an operator's configuration.
func checkOperatorConfig(next, inForce []byte) (checkResult, error) {
	var r checkResult
	cfg, positions, failed, err := platform.InspectConfig(next)
	if err != nil {
		r.Findings = inspection.Findings{{Severity: inspection.Error, Line: failed.Line, Column: failed.Column, Message: err.Error()}}
		return r, nil
	}
	r.Findings = inspection.Config(cfg)
	if inForce != nil {
		former, err := platform.DecodeConfig(inForce)
		if err != nil {
			return r, err
		}
		lines, findings := inspection.Difference(former, cfg)
		r.Differences, r.Findings = lines, append(r.Findings, findings...)
	}
	places := make(map[string]platform.Position)
	for name, p := range positions.Queues {
		places[inspection.QueueEntry(name)] = p
	}
	for name, p := range positions.Services {
		places[inspection.ServiceEntry(name)] = p
	}
	for i := range r.Findings {
		f := &r.Findings[i]
		f.Line, f.Column = places[f.Entry].Line, places[f.Entry].Column
	}
	return r, nil
}
