package target

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/basiltally/basiltally/standin"
	"github.com/basiltally/basiltally/target"
)

// HeaderCrash is a request header that crashes the target, whatever its non-empty value.
const HeaderCrash = "Standin-Crash"

// Faults are the simulated faults and costs of a target. The zero value is a healthy target.
type Faults struct {
	// IgnoreTokens runs every request, without a check of its token or group.
	IgnoreTokens bool `json:"ignore_tokens,omitempty"`
	// Shed refuses every request, as an overloaded target does.
	Shed bool `json:"shed,omitempty"`
	// Drain refuses every request because the target is draining.
	Drain bool `json:"drain,omitempty"`
	// MaxConnections bounds the open connections; further ones are reset. Zero means no limit.
	MaxConnections int `json:"max_connections,omitempty"`
	// ConnectCost is the processor time that each new connection takes.
	ConnectCost standin.Duration `json:"connect_cost,omitempty"`
	// ProbeCost is the processor time that each health call takes.
	ProbeCost standin.Duration `json:"probe_cost,omitempty"`
	// ColdStart is the time after a start during which each request runs ColdWork longer.
	ColdStart standin.Duration `json:"cold_start,omitempty"`
	// ColdWork is added to the time that a request runs during ColdStart.
	ColdWork standin.Duration `json:"cold_work,omitempty"`
	// ExtraWork is added to the time that each request runs.
	ExtraWork standin.Duration `json:"extra_work,omitempty"`
	// ControlDelay delays the answer to a renewal or a health call.
	ControlDelay standin.Duration `json:"control_delay,omitempty"`
	// HealthLag is how old the reported health may be.
	HealthLag standin.Duration `json:"health_lag,omitempty"`
	// ReportedHealth is reported instead of the actual health.
	ReportedHealth *target.Health `json:"reported_health,omitempty"`
	// CrashMark is text that crashes the target when a request's path contains it.
	CrashMark string `json:"crash_mark,omitempty"`
	// RestartAfter is how long a crashed target stays down.
	RestartAfter standin.Duration `json:"restart_after,omitempty"`
	// IgnoreDeadline runs requests on after their deadline.
	IgnoreDeadline bool `json:"ignore_deadline,omitempty"`
	// IgnoreCancel runs requests on after the caller has closed the connection.
	IgnoreCancel bool `json:"ignore_cancel,omitempty"`
	// CutBody breaks the connection after this many bytes of an answer whose size is set by
	// ArgBytes or Options.BulkBytes. Zero means never.
	CutBody int `json:"cut_body,omitempty"`
	// WrongRequestID answers with a request ID that is not the request's.
	WrongRequestID bool `json:"wrong_request_id,omitempty"`
}

// Action is a single operation on the target.
type Action string

// Actions on a target.
const (
	// Freeze stops all handlers while the target's clock continues.
	Freeze Action = "freeze"
	// FreezeClock stops all handlers and the target's clock.
	FreezeClock Action = "freeze-clock"
	// Unfreeze lets the handlers and the clock continue where they stopped.
	Unfreeze Action = "unfreeze"
	// Crash resets all connections and drops all leases and grants. The target starts
	// again after Faults.RestartAfter.
	Crash Action = "crash"
	// Silence drops everything that arrives or is sent on the open connections; new
	// connections work.
	Silence Action = "silence"
	// SilenceAnswers drops only what the target sends on the open connections.
	SilenceAnswers Action = "silence-answers"
)

// Admin is the body of a call to standin.FaultsPath. Absent fields change nothing.
type Admin struct {
	// Faults replaces the faults in force.
	Faults *Faults `json:"faults,omitempty"`
	// Actions are performed in order.
	Actions []Action `json:"actions,omitempty"`
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) { s.faults.Store(&f) }

// Faults returns the faults in force.
func (s *Server) Faults() Faults { return *s.faults.Load() }

// Act performs an action. It fails if the action is unknown.
func (s *Server) Act(action Action) error {
	switch action {
	case Freeze:
		s.gate.freeze()
	case FreezeClock:
		s.gate.freeze()
		s.current().clock.stop()
	case Unfreeze:
		s.current().clock.resume()
		s.gate.unfreeze()
	case Crash:
		s.crash(s.current())
	case Silence, SilenceAnswers:
		s.current().conns.silence(action == SilenceAnswers)
	default:
		return errors.Errorf("unknown action %q", action)
	}
	return nil
}

func (s *Server) handleAdmin(rc *fasthttp.RequestCtx) {
	var admin Admin
	body, err := controlBody(rc)
	if err != nil {
		rc.Error(err.Error(), http.StatusBadRequest)
		return
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&admin); err != nil {
		rc.Error(err.Error(), http.StatusBadRequest)
		return
	}
	if admin.Faults != nil {
		s.SetFaults(*admin.Faults)
	}
	for _, action := range admin.Actions {
		if err := s.Act(action); err != nil {
			rc.Error(err.Error(), http.StatusBadRequest)
			return
		}
	}
	rc.SetConnectionClose()
	writeJSON(rc, s.Faults())
}
