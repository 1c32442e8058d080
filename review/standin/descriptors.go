package main

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// machineCount and clientCount are those of the site file.
	machineCount = 12
	clientCount  = 425
	// connectionsPerClient is the size of a client's pool.
	connectionsPerClient = 11
	// requestPause keeps all connections together at the 755 requests a second of the site file, and
	// each of them below four fifths of idle_timeout.
	requestPause = 6200 * time.Millisecond
	// ownDescriptors is the number of descriptors that the clients and instances need.
	ownDescriptors = 10000
	// lossTime is how long the lost machines are away.
	lossTime = 4 * time.Second
)

// playDescriptors loses all machines but one for lossTime. All clients then connect to the one that is
// left, which runs out of descriptors. Later, when the others are back and the clients have spread
// again, the operator writes a configuration.
func playDescriptors(d *deployment, trouble bool) (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < ownDescriptors {
		return notRun, fmt.Errorf("the stand-in may have %d descriptors and needs %d: %v", limit.Cur, ownDescriptors, err)
	}
	if err := d.startMachines(machineCount); err != nil {
		return notRun, err
	}
	if err := d.awaitReady(30 * time.Second); err != nil {
		return notRun, err
	}
	d.record.printf("%d machines are ready", machineCount)
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	b := newBalancer(d.machines)
	clients.Go(func() { b.run(ctx) })
	answered := &counts{byStatus: map[int]int{}}
	for range clientCount * connectionsPerClient {
		c := &clientConnection{balancer: b, counts: answered, pause: requestPause, requests: 4}
		clients.Go(func() { c.run(ctx) })
	}
	time.Sleep(12 * time.Second)
	report := func() {
		d.record.printf("clients: %d connections open; answers by status: %s", answered.open.Load(), answered)
	}
	report()
	survivor := d.machines[machineCount-1]
	if trouble {
		for _, m := range d.machines[:machineCount-1] {
			m.kill()
		}
		d.record.printf("%d of %d machines are lost; %s is left", machineCount-1, machineCount, survivor.name)
	}
	time.Sleep(lossTime)
	report()
	if trouble {
		for _, m := range d.machines[:machineCount-1] {
			if err := m.start(d.dir); err != nil {
				return notRun, err
			}
		}
		d.record.printf("the lost machines start again")
	}
	time.Sleep(30 * time.Second)
	report()
	for i, m := range d.machines {
		d.record.printf("%s: process runs: %v; last said that it is ready %.1f s ago", m.name, m.running(), b.notReadyFor(i).Seconds())
	}
	return checkConfig(d), nil
}

// checkConfig writes a configuration with a new route and requests it from each machine, later than
// config_apply after the acknowledgement. No machine was disturbed since contact before.
func checkConfig(d *deployment) int {
	d.putConfig()
	time.Sleep(configApply + 500*time.Millisecond)
	code := held
	for _, m := range d.machines {
		old := 0
		var last string
		for range 5 {
			status, err := ask(m.front, getRequest(addedPrefix(d.version)+"x", 0, "close"), 1500*time.Millisecond)
			if status == 404 {
				old++
			}
			if last = "no answer"; err == nil || status > 0 {
				last = strconv.Itoa(status)
			}
		}
		if old > 0 {
			code = broken
		}
		d.record.printf("%s: %d of 5 requests on the new route were answered 404; last answer %s", m.name, old, last)
	}
	return code
}
