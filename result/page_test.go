package result_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/basiltally/basiltally/result"
)

// TestPageListsAllCodes compares docs/RESULT-CODES.md with the table of codes.
func TestPageListsAllCodes(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("../docs/RESULT-CODES.md")
	is.NoErr(err)
	var rows []string
	for line := range strings.Lines(string(data)) {
		if len(line) > 2 && line[0] == '|' && line[2] >= '0' && line[2] <= '9' {
			rows = append(rows, strings.TrimSpace(line))
		}
	}
	all := result.All()
	is.Equal(len(rows), len(all)) // one row for each code
	for i, info := range all {
		is.Equal(rows[i], fmt.Sprintf("| %d | %s | %s | %d | %s |", uint16(info.Code), info.Name, info.Outcome, info.HTTPStatus, info.Meaning))
	}
}
