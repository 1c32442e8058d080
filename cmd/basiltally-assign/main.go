// Command basiltally-assign runs the assign process of a VM.
package main

import "github.com/basiltally/basiltally/daemon"

func main() {
	daemon.Main("basiltally-assign", new(daemon.AssignSettings), daemon.RunAssign)
}
