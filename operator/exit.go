package operator

import (
	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/result"
	"github.com/basiltally/basiltally/settings"
)

// Exit codes of basiltallyctl.
const (
	// ExitOK means that the command was executed.
	ExitOK = 0
	// ExitInternal means an unexpected error; the outcome is unknown.
	ExitInternal = 1
	// ExitFindings means that the command "config check" found errors or warnings.
	ExitFindings = 1
	// ExitInput means invalid usage, settings or bundle; nothing was changed.
	ExitInput = 2
	// ExitRefused means that the system refused the command; nothing was changed.
	ExitRefused = 3
	// ExitUnknown means that the command may have taken effect.
	ExitUnknown = 4
	// ExitUnavailable means that the store or all processes could not be reached; nothing was
	// changed.
	ExitUnavailable = 5
	// ExitConfirm means that the command needs a confirmation; nothing was changed.
	ExitConfirm = 6
	// ExitLagging means that the command "bundle status" found processes in which the accepted
	// version is not in force.
	ExitLagging = 7
)

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	var coded *result.Error
	var faults settings.Errors
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &coded):
		return exitCodeFor(coded.Code)
	case errors.As(err, &faults):
		return ExitInput
	default:
		return ExitInternal
	}
}

func exitCodeFor(code result.Code) int {
	switch code {
	case result.OK:
		return ExitOK
	case result.InvalidSettings, result.InvalidBundle, result.BadRequest:
		return ExitInput
	case result.StoreUnavailable:
		return ExitUnavailable
	case result.ConfirmationNeeded:
		return ExitConfirm
	case result.Internal:
		return ExitInternal
	}
	if result.Describe(code).Outcome == result.Unknown {
		return ExitUnknown
	}
	return ExitRefused
}
