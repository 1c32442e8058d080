// Command basiltally-entry runs the entry process of a VM.
package main

import "github.com/basiltally/basiltally/daemon"

func main() {
	daemon.Main("basiltally-entry", new(daemon.EntrySettings), daemon.RunEntry)
}
