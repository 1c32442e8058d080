package demo

import (
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/basiltally/basiltally/standin/faultstore"
)

// Outage makes the object API hang, and meanwhile kills the processes of one VM and
// starts new ones. It prints the time until the new entry process is ready.
func (c *Cluster) Outage(w io.Writer) error {
	if err := c.storeFaults(faultstore.Faults{Hang: true}); err != nil {
		return err
	}
	for _, role := range []string{"-entry", "-assign"} {
		if err := c.Signal(VMName(0)+role, syscall.SIGKILL); err != nil {
			return err
		}
		c.Wait(VMName(0) + role)
	}
	begin := time.Now()
	if err := c.StartVM(0); err != nil {
		return err
	}
	if err := c.WaitReady(0); err != nil {
		return err
	}
	ready := time.Since(begin)
	if _, err := c.ownerIndex("/sheets/key-0"); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "object API silent: a fresh VM served after %s, with the VM list and the views of its peers\n", ready.Round(time.Millisecond))
	if err != nil {
		return errors.Wrap(err, "print")
	}
	return c.storeFaults(faultstore.Faults{})
}
