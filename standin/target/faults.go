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

// HeaderCrash marks a request that crashes the target, whatever its value.
const HeaderCrash = "Standin-Crash"

// Faults are the faults and costs in force. The zero value is a healthy target.
type Faults struct {
	// IgnoreTokens runs every request, whoever sends it.
	IgnoreTokens bool `json:"ignore_tokens,omitempty"`
	// Shed refuses every request as shed.
	Shed bool `json:"shed,omitempty"`
	// Drain refuses every request as draining.
	Drain bool `json:"drain,omitempty"`
	// MaxConnections bounds the open connections; further ones are reset. Zero is no limit.
	MaxConnections int `json:"max_connections,omitempty"`
	// ConnectCost is processor time per new connection, ProbeCost per health call.
	ConnectCost standin.Duration `json:"connect_cost,omitempty"`
	ProbeCost   standin.Duration `json:"probe_cost,omitempty"`
	// ColdStart is the time after a start in which each request runs ColdWork longer.
	ColdStart standin.Duration `json:"cold_start,omitempty"`
	ColdWork  standin.Duration `json:"cold_work,omitempty"`
	// ExtraWork is added to the time that each request runs.
	ExtraWork standin.Duration `json:"extra_work,omitempty"`
	// ControlDelay is waited before the answer to a renewal or a health call.
	ControlDelay standin.Duration `json:"control_delay,omitempty"`
	// HealthLag is the age that the reported health may reach.
	HealthLag standin.Duration `json:"health_lag,omitempty"`
	// ReportedHealth replaces the truth.
	ReportedHealth *target.Health `json:"reported_health,omitempty"`
	// CrashMark crashes the target at a request whose path contains it.
	CrashMark string `json:"crash_mark,omitempty"`
	// RestartAfter is the time that a crashed target is down.
	RestartAfter standin.Duration `json:"restart_after,omitempty"`
	// IgnoreDeadline runs requests past their deadline, IgnoreCancel after the caller left.
	IgnoreDeadline bool `json:"ignore_deadline,omitempty"`
	IgnoreCancel   bool `json:"ignore_cancel,omitempty"`
	// CutBody ends the connection after so many bytes of a large answer; zero never.
	CutBody int `json:"cut_body,omitempty"`
	// WrongRequestID answers with another request's correlation identifier.
	WrongRequestID bool `json:"wrong_request_id,omitempty"`
}

// Action is a single act on the target.
type Action string

// Actions on a target.
const (
	// Freeze stops all handlers while the clock goes on; FreezeClock stops the clock too.
	Freeze      Action = "freeze"
	FreezeClock Action = "freeze-clock"
	// Unfreeze lets the handlers go on as though nothing happened.
	Unfreeze Action = "unfreeze"
	// Crash resets all connections and forgets everything; the target starts
	// again after RestartAfter.
	Crash Action = "crash"
	// Silence makes the open connections silent; new ones work. SilenceAnswers
	// drops only what the target sends.
	Silence        Action = "silence"
	SilenceAnswers Action = "silence-answers"
)

// Admin is the body of a call to standin.FaultsPath. Absent fields change nothing.
type Admin struct {
	// Faults replaces the faults in force.
	Faults *Faults `json:"faults,omitempty"`
	// Actions are done in order.
	Actions []Action `json:"actions,omitempty"`
}

// SetFaults replaces the faults in force.
func (s *Server) SetFaults(f Faults) { s.faults.Store(&f) }

// Faults returns the faults in force.
func (s *Server) Faults() Faults { return *s.faults.Load() }

// Act does one action.
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
