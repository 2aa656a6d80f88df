package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a wrong exit code, and against a configuration that is decoded in
// another way than by the processes.
func TestCheck(t *testing.T) {
	files := map[string]string{
		"good.yaml": "version: 1\n",
		"bad.yaml":  "version: 1\nservices: [{name: X}]\n",
		"warn.yaml": "version: 1\nteams: [{name: m}]\n",
		"good.json": `{"version":1,"routes":[{"name":"q","host":"a.example","path_prefix":"/q/","service":"s","max_attempts":3,"slack_factor":2}],"services":[{"name":"s"}]}`,
		"next.json": `{"version":2,"routes":[{"name":"q","host":"a.example","path_prefix":"/q/","service":"s","max_attempts":4,"slack_factor":2}],"services":[{"name":"s"}]}`,
		"warn.json": `{"version":1,"routes":[{"name":"q","host":"a.example","path_prefix":"/q/","service":"s","max_attempts":3,"slack_factor":2}],"services":[{"name":"s"},{"name":"t"}]}`,
		"hidden.json": "{\"version\":1,\"routes\":[{\"name\":\"q\",\"host\":\"a.example\",\"path_prefix\":\"/q/\",\"service\":\"s\",\"max_attempts\":3,\"slack_factor\":2},\n" +
			"{\"name\":\"r\",\"host\":\"a.example\",\"path_prefix\":\"/q/\",\"service\":\"s\",\"max_attempts\":3,\"slack_factor\":2}]}",
		"broken.json": "{\"version\":\n}",
	}
	dir := t.TempDir()
	for name, text := range files {
		is.New(t).NoErr(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	for name, c := range map[string]struct {
		args   []string
		code   exitCode
		out    string // part of standard output
		stderr string // part of standard error
	}{
		"services text":                 {[]string{"good.yaml"}, exitOK, "ok", ""},
		"faults of a services text":     {[]string{"bad.yaml"}, exitFaults, "2:19: error", "has errors"},
		"warning of a services text":    {[]string{"warn.yaml"}, exitOK, "owns no service", ""},
		"difference of services texts":  {[]string{"--against", "good.yaml", "warn.yaml"}, exitOK, "+teams", ""},
		"configuration":                 {[]string{"good.json"}, exitOK, "ok", ""},
		"hidden route":                  {[]string{"hidden.json"}, exitFaults, `2:1: error: queue "r": can never match`, "has errors"},
		"syntax":                        {[]string{"broken.json"}, exitFaults, "2:1: error", "has errors"},
		"warning":                       {[]string{"warn.json"}, exitOK, `service "t": no queue uses it`, ""},
		"warning, strict":               {[]string{"--strict", "warn.json"}, exitFaults, `service "t"`, "has errors"},
		"difference":                    {[]string{"--against", "good.json", "next.json"}, exitOK, `differs: queue "q": attempts of a task: 3 -> 4`, ""},
		"version is not new":            {[]string{"--against", "good.json", "warn.json"}, exitFaults, "not above", "has errors"},
		"configuration in force is bad": {[]string{"--against", "broken.json", "good.json"}, exitUsage, "", "broken.json"},
		"json":                          {[]string{"-o", "json", "warn.json"}, exitOK, `"severity": "warning"`, ""},
		"json without findings":         {[]string{"-o", "json", "good.json"}, exitOK, `"findings": []`, ""},
		"no such file":                  {[]string{"none.json"}, exitUsage, "", "no such file"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			args := []string{"check"}
			for _, a := range c.args {
				if strings.Contains(a, ".") {
					a = filepath.Join(dir, a)
				}
				args = append(args, a)
			}
			var out, stderr bytes.Buffer
			code := execute(context.Background(), args, strings.NewReader(""), &out, &stderr)
			t.Log(out.String(), stderr.String())
			is.Equal(code, c.code)
			is.True(strings.Contains(out.String(), c.out))
			is.True(strings.Contains(stderr.String(), c.stderr))
		})
	}
}
