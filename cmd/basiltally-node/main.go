// Command basiltally-node runs the router on a VM of the platform, with the data path
// and the assignment of keys in one process.
package main

import "github.com/basiltally/basiltally/daemon"

func main() {
	daemon.MainReloading("basiltally-node", new(daemon.NodeSettings), daemon.RunNode)
}
