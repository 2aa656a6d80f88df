package trace

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against replaying a damaged trace like a complete one.
func TestReadRefusesDamagedTraces(t *testing.T) {
	const header = `{"format":"mimosadock-trace","version":1,"name":"x","origin":"test","seed":1,"lengthMs":10,` +
		`"deployment":{"entries":[{"host":"10.0.0.1"}],"services":[{"name":"lookup","class":"urgent"}]}}` + "\n"
	tests := map[string]struct {
		text string
		want string // part of the error; empty expects none
	}{
		"complete":        {text: header + `{"at":1,"what":"request","service":"lookup"}`},
		"other format":    {text: strings.Replace(header, "-trace", "-text", 1), want: "format"},
		"other version":   {text: strings.Replace(header, `"version":1`, `"version":2`, 1), want: "version 2"},
		"unknown field":   {text: header + `{"at":1,"what":"request","service":"lookup","size":1}`, want: "line 2"},
		"unknown event":   {text: header + `{"at":1,"what":"reboot"}`, want: "reboot"},
		"out of order":    {text: header + `{"at":2,"what":"journalUp"}` + `{"at":1,"what":"journalUp"}`, want: "line 3"},
		"unknown entry":   {text: header + `{"at":1,"what":"entryDown","entry":1}`, want: "entry host 1"},
		"unknown service": {text: header + `{"at":1,"what":"request","service":"other"}`, want: "other"},
		"empty job":       {text: header + `{"at":1,"what":"submit"}`, want: "without a job"},
		"truncated":       {text: header + `{"at":1,"wh`, want: "line 2"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Read(strings.NewReader(tc.text))
			is.Equal(err != nil, tc.want != "")
			if err != nil {
				is.True(strings.Contains(err.Error(), tc.want))
			}
		})
	}
}
