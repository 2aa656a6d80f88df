package traffic

import (
	"fmt"
	"strings"

	"mimosadock/replay/trace"
	"mimosadock/schedule/service"
)

// servicesText returns the services text of a deployment, parsed like that of an
// entry process.
func servicesText(d *trace.Deployment) (*service.Text, error) {
	var b strings.Builder
	b.WriteString("version: 1\ncapacity: {cpu: 16000000, memory: 60000000}\ndataCentres:\n")
	for _, dc := range d.DataCentres {
		fmt.Fprintf(&b, "  - {name: %s, region: home}\n", dc)
	}
	b.WriteString("teams:\n  - {name: house, quota: {cpu: 16000, memory: 61440}}\nupstreamSets:\n  - name: all\n")
	if len(d.Upstreams) > 0 {
		fmt.Fprintf(&b, "    slots: %d\n    members:\n", d.Upstreams[0].Slots)
	}
	for _, u := range d.Upstreams {
		fmt.Fprintf(&b, "      - {address: %q, dataCentre: %s}\n", u.Address, u.DataCentre)
	}
	b.WriteString("services:\n")
	for _, s := range d.Services {
		fmt.Fprintf(&b, "  - {name: %s, team: house, class: %s, upstreamSet: all, deadlineMs: %d, idempotent: %t}\n",
			s.Name, s.Class, s.Deadline, s.Idempotent)
	}
	return service.Parse([]byte(b.String()))
}
