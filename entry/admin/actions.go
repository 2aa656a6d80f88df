package admin

import (
	"context"
	"net/http"
	"strconv"

	"mimosadock/schedule/service"
	"mimosadock/schedule/unit"
)

// defaultHistory is how many past configurations are shown when a request
// names no number, maxHistory the most that it may name.
const (
	defaultHistory = 20
	maxHistory     = 500
)

// applied is the answer to an accepted change.
type applied struct {
	Revision unit.Revision `json:"revision"`
}

// checked is the answer to a services text without faults.
type checked struct {
	Services int `json:"services"`
	Kinds    int `json:"kinds"`
	Teams    int `json:"teams"`
}

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
	return checked{len(text.Services), len(text.Kinds), len(text.Teams)}, nil
}

func (s *Server) apply(ctx context.Context, p principal, r *http.Request) (any, error) {
	var c Change
	if err := decode(r, &c); err != nil {
		return nil, err
	}
	if _, err := service.Parse([]byte(c.Text)); err != nil {
		return nil, err
	}
	revision, err := s.Backend.Apply(ctx, p.name(), c)
	return applied{revision}, err
}

func (s *Server) history(ctx context.Context, _ principal, r *http.Request) (any, error) {
	limit := defaultHistory
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			return nil, refuse(http.StatusBadRequest, "correct the limit", "limit is %q, allowed are 1 to %d", text, maxHistory)
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
	return struct{}{}, s.Backend.Drain(ctx, p.name(), h.Address)
}

func (s *Server) dump(ctx context.Context, _ principal, _ *http.Request) (any, error) {
	return s.Backend.Dump(ctx)
}

func (s *Server) services(ctx context.Context, p principal, _ *http.Request) (any, error) {
	all, err := s.Backend.Services(ctx)
	if err != nil {
		return nil, err
	}
	return visible(all, func(v Service) bool { return p.sees(v.Team) }), nil
}

func (s *Server) service(ctx context.Context, p principal, r *http.Request) (any, error) {
	all, err := s.Backend.Services(ctx)
	if err != nil {
		return nil, err
	}
	name := unit.Service(r.PathValue("name"))
	return only(visible(all, func(v Service) bool { return v.Name == name && p.sees(v.Team) }))
}

func (s *Server) teams(ctx context.Context, p principal, _ *http.Request) (any, error) {
	all, err := s.Backend.Usage(ctx)
	if err != nil {
		return nil, err
	}
	return visible(all, func(u Usage) bool { return p.sees(u.Team) }), nil
}

func (s *Server) usage(ctx context.Context, p principal, r *http.Request) (any, error) {
	all, err := s.Backend.Usage(ctx)
	if err != nil {
		return nil, err
	}
	name := unit.Team(r.PathValue("name"))
	return only(visible(all, func(u Usage) bool { return u.Team == name && p.sees(name) }))
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
		return nil, refuse(http.StatusBadRequest, "add ?team=NAME", "an operator must name the team of a job")
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
	return visible(all, func(j Job) bool { return p.sees(j.Team) && (state == "" || j.State == state) }), nil
}

func (s *Server) job(ctx context.Context, p principal, r *http.Request) (any, error) {
	return s.ownJob(ctx, p, r)
}

func (s *Server) cancel(ctx context.Context, p principal, r *http.Request) (any, error) {
	j, err := s.ownJob(ctx, p, r)
	if err != nil {
		return nil, err
	}
	return s.Backend.Cancel(ctx, p.name(), j.ID)
}

// ownJob returns the job that r names if the principal may see it.
func (s *Server) ownJob(ctx context.Context, p principal, r *http.Request) (Job, error) {
	j, err := s.Backend.Job(ctx, unit.Job(r.PathValue("id")))
	if err == nil && !p.sees(j.Team) {
		err = ErrNotFound
	}
	return j, err
}

// visible returns the rows that keep lets through, never nil.
func visible[V any](rows []V, keep func(V) bool) []V {
	out := make([]V, 0, len(rows))
	for _, r := range rows {
		if keep(r) {
			out = append(out, r)
		}
	}
	return out
}

// only returns the single row, or ErrNotFound.
func only[V any](rows []V) (any, error) {
	if len(rows) != 1 {
		return nil, ErrNotFound
	}
	return rows[0], nil
}
