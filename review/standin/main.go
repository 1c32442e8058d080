// Command standin plays the scripts of the review on loopback: the platform's store, instances,
// clients and the operator are stand-ins; the machines run the program of the deploy file.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With "off" as
// its last argument it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	wantArgs = 4
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	fmt.Fprint(r.file, line)
}

func main() {
	if len(os.Args) != wantArgs {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER on|off")
		os.Exit(notRun)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	r := &record{file: file, start: time.Now()}
	code := play(os.Args[1], r, os.Args[3] != "off")
	r.printf("exit code %d", code)
	file.Close()
	os.Exit(code)
}

// play plays a case and returns the exit code.
func play(name string, r *record, trouble bool) int {
	cases := map[string]func(*deployment, bool) (int, error){
		"descriptors": playDescriptors,
		"crashing":    playCrashing,
	}
	run := cases[name]
	if run == nil {
		r.printf("no case %q", name)
		return notRun
	}
	d, err := newDeployment(r)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		r.printf("the case could not run: %v", err)
		return notRun
	}
	code, err := run(d, trouble)
	if err != nil {
		r.printf("the case could not run: %v", err)
		return notRun
	}
	return code
}
