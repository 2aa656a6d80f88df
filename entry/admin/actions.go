package admin

import (
	"context"
	"net/http"
	"strconv"

	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// Number of past configurations in a response.
const (
	defaultHistory = 20  // if the request has no limit
	maxHistory     = 500 // maximum limit of a request
)

// applyResponse is the response to an accepted change.
type applyResponse struct {
	Revision unit.Revision `json:"revision"`
}

// checkResponse is the response to the check of a services text without faults.
// It contains the length of each list of the text.
type checkResponse struct {
	Services int `json:"services"`
	Kinds    int `json:"kinds"`
	Teams    int `json:"teams"`
}

// operatorActions returns the actions that only operators may use, by pattern.
func (s *Server) operatorActions() map[string]action {
	return map[string]action{
		"GET /v1/config":         s.config,
		"PUT /v1/config":         s.apply,
		"GET /v1/config/history": s.history,
		"GET /v1/hosts":          s.hosts,
		"POST /v1/hosts/drain":   s.drain,
		"GET /v1/state":          s.dump,
	}
}

// teamActions returns the actions that operators and teams may use, by pattern.
func (s *Server) teamActions() map[string]action {
	return map[string]action{
		"GET /v1/status":            s.status,
		"POST /v1/config/check":     s.check,
		"GET /v1/services":          s.services,
		"GET /v1/services/{name}":   s.service,
		"GET /v1/teams":             s.teams,
		"GET /v1/teams/{name}":      s.usage,
		"POST /v1/jobs":             s.submit,
		"GET /v1/jobs":              s.jobs,
		"GET /v1/jobs/{id}":         s.job,
		"POST /v1/jobs/{id}/cancel": s.cancel,
	}
}

func (s *Server) status(ctx context.Context, _ principal, _ *http.Request) (any, error) {
	return s.Backend.Status(ctx)
}

func (s *Server) config(ctx context.Context, _ principal, _ *http.Request) (any, error) {
	return s.Backend.Config(ctx)
}

func (s *Server) check(_ context.Context, _ principal, r *http.Request) (any, error) {
	var c Change
	if err := decode(r, &c); err != nil {
		return nil, err
	}
	text, err := service.Parse([]byte(c.Text))
	if err != nil {
		return nil, err
	}
	return checkResponse{len(text.Services), len(text.Kinds), len(text.Teams)}, nil
}

func (s *Server) apply(ctx context.Context, p principal, r *http.Request) (any, error) {
	var c Change
	if err := decode(r, &c); err != nil {
		return nil, err
	}
	if _, err := service.Parse([]byte(c.Text)); err != nil {
		return nil, err
	}
	revision, err := s.Backend.Apply(ctx, p.author(), c)
	return applyResponse{revision}, err
}

func (s *Server) history(ctx context.Context, _ principal, r *http.Request) (any, error) {
	limit := defaultHistory
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			return nil, newStatusError(http.StatusBadRequest, "correct the limit", "limit is %q, allowed are 1 to %d", text, maxHistory)
		}
		limit = n
	}
	return s.Backend.History(ctx, limit)
}

func (s *Server) hosts(ctx context.Context, _ principal, _ *http.Request) (any, error) {
	return s.Backend.Hosts(ctx)
}

func (s *Server) drain(ctx context.Context, p principal, r *http.Request) (any, error) {
	var h struct {
		Address string `json:"address"`
	}
	if err := decode(r, &h); err != nil {
		return nil, err
	}
	return struct{}{}, s.Backend.Drain(ctx, p.author(), h.Address)
}

func (s *Server) dump(ctx context.Context, _ principal, _ *http.Request) (any, error) {
	return s.Backend.Dump(ctx)
}

func (s *Server) services(ctx context.Context, p principal, _ *http.Request) (any, error) {
	all, err := s.Backend.Services(ctx)
	if err != nil {
		return nil, err
	}
	return filterRows(all, func(v Service) bool { return p.canView(v.Team) }), nil
}

func (s *Server) service(ctx context.Context, p principal, r *http.Request) (any, error) {
	all, err := s.Backend.Services(ctx)
	if err != nil {
		return nil, err
	}
	name := unit.Service(r.PathValue("name"))
	return singleRow(filterRows(all, func(v Service) bool { return v.Name == name && p.canView(v.Team) }))
}

func (s *Server) teams(ctx context.Context, p principal, _ *http.Request) (any, error) {
	all, err := s.Backend.Usage(ctx)
	if err != nil {
		return nil, err
	}
	return filterRows(all, func(u Usage) bool { return p.canView(u.Team) }), nil
}

func (s *Server) usage(ctx context.Context, p principal, r *http.Request) (any, error) {
	all, err := s.Backend.Usage(ctx)
	if err != nil {
		return nil, err
	}
	name := unit.Team(r.PathValue("name"))
	return singleRow(filterRows(all, func(u Usage) bool { return u.Team == name && p.canView(name) }))
}

func (s *Server) submit(ctx context.Context, p principal, r *http.Request) (any, error) {
	var sub Submission
	if err := decode(r, &sub); err != nil {
		return nil, err
	}
	team := p.team
	if p.operator {
		team = unit.Team(r.URL.Query().Get("team"))
	}
	if team == "" {
		return nil, newStatusError(http.StatusBadRequest, "add ?team=NAME", "an operator must name the team of a job")
	}
	return s.Backend.Submit(ctx, team, sub)
}

func (s *Server) jobs(ctx context.Context, p principal, r *http.Request) (any, error) {
	team := p.team
	if p.operator {
		team = unit.Team(r.URL.Query().Get("team"))
	}
	all, err := s.Backend.Jobs(ctx, team)
	if err != nil {
		return nil, err
	}
	state := r.URL.Query().Get("state")
	return filterRows(all, func(j Job) bool { return p.canView(j.Team) && (state == "" || j.State == state) }), nil
}

func (s *Server) job(ctx context.Context, p principal, r *http.Request) (any, error) {
	return s.ownJob(ctx, p, r)
}

func (s *Server) cancel(ctx context.Context, p principal, r *http.Request) (any, error) {
	j, err := s.ownJob(ctx, p, r)
	if err != nil {
		return nil, err
	}
	return s.Backend.Cancel(ctx, p.author(), j.ID)
}

// ownJob returns the job whose id is in the path of r. The error is ErrNotFound
// if the principal may not view the job.
func (s *Server) ownJob(ctx context.Context, p principal, r *http.Request) (Job, error) {
	j, err := s.Backend.Job(ctx, unit.Job(r.PathValue("id")))
	if err == nil && !p.canView(j.Team) {
		err = ErrNotFound
	}
	return j, err
}

// filterRows returns the rows for which keep returns true. The result is never
// nil, so that it is encoded as a JSON list.
func filterRows[V any](rows []V, keep func(V) bool) []V {
	out := make([]V, 0, len(rows))
	for _, r := range rows {
		if keep(r) {
			out = append(out, r)
		}
	}
	return out
}

// singleRow returns the only row, or ErrNotFound if rows does not have exactly
// one.
func singleRow[V any](rows []V) (any, error) {
	if len(rows) != 1 {
		return nil, ErrNotFound
	}
	return rows[0], nil
}
