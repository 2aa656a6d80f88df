package worker

import (
	"encoding/json"
	"errors"
	"net/http"
	"sync"

	"mimosadock/schedule/unit"
	"mimosadock/schedule/verdict"
	"mimosadock/schedule/worker"
)

// maxBodyBytes bounds the body of a command.
const maxBodyBytes = 4 << 20

// Server serves a worker over HTTP. Commands are posted as JSON to
// /worker/v1/{command}. A refused command is answered with a verdict and a
// reason. Set the fields before use.
type Server struct {
	Worker *Worker
	// Network decides the outcome of each call. If it is nil, all calls are executed
	// and answered. A lost request or answer ends the connection without an
	// answer.
	Network func(unit.Worker) CallOutcome

	mu     sync.Mutex
	paused chan struct{} // closed at the end of the last pause; nil before the first
}

// throttle is the body of a throttle command.
type throttle struct {
	worker.Command
	Share float64 `json:"share"`
}

// refusal is the body of the answer to a refused command.
type refusal struct {
	Verdict verdict.Verdict `json:"verdict"`
	Reason  string          `json:"reason"`
	Fenced  bool            `json:"fenced,omitempty"`
}

// Pause delays the execution of later commands until the returned function is
// called.
func (s *Server) Pause() (resume func()) {
	gate := make(chan struct{})
	s.mu.Lock()
	s.paused = gate
	s.mu.Unlock()
	return sync.OnceFunc(func() { close(gate) })
}

// Handler returns the HTTP handler for the worker's port.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	w := s.Worker
	handle(s, mux, "start", func(c worker.Start) (any, error) { return nil, w.Start(c) })
	handle(s, mux, "renew", func(c worker.Renewal) (any, error) { return w.Renew(c) })
	handle(s, mux, "checkpoint", func(c worker.Command) (any, error) { return nil, w.Checkpoint(c) })
	handle(s, mux, "throttle", func(c throttle) (any, error) { return nil, w.Throttle(c.Command, c.Share) })
	handle(s, mux, "stop", func(c worker.Command) (any, error) { return nil, w.Stop(c) })
	handle(s, mux, "release", func(c worker.Command) (any, error) { return nil, w.Release(c) })
	return mux
}

// handle adds the handler of a command with the given name and type of body.
func handle[Body any](s *Server, mux *http.ServeMux, name string, do func(Body) (any, error)) {
	mux.HandleFunc("POST /worker/v1/"+name, func(w http.ResponseWriter, r *http.Request) {
		outcome := s.callOutcome(r)
		if outcome == RequestLost {
			panic(http.ErrAbortHandler)
		}
		var body Body
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&body); err != nil {
			refuse(w, http.StatusBadRequest, verdict.Refuse("body: %v", err))
			return
		}
		answer, err := do(body)
		switch {
		case outcome == AnswerLost:
			panic(http.ErrAbortHandler)
		case err != nil:
			refuse(w, http.StatusConflict, err)
		default:
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(answer)
		}
	})
}

// callOutcome waits for the end of a pause and returns the outcome of the call
// on the network. The request is lost if the client disconnects during the
// pause.
func (s *Server) callOutcome(r *http.Request) CallOutcome {
	s.mu.Lock()
	gate := s.paused
	s.mu.Unlock()
	if gate != nil {
		select {
		case <-gate:
		case <-r.Context().Done():
			return RequestLost
		}
	}
	if s.Network == nil {
		return Delivered
	}
	return s.Network(s.Worker.ID)
}

func refuse(w http.ResponseWriter, status int, err error) {
	body := refusal{Verdict: verdict.Of(err), Reason: err.Error(), Fenced: errors.Is(err, worker.ErrFenced)}
	var ve *verdict.Error
	if errors.As(err, &ve) {
		body.Reason = ve.Reason
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
