package demo

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// tourReads is the number of keyed reads in a tour.
const tourReads = 200

// Tour sends requests of all classes through the entries and prints which targets
// answered. It returns an error if a request fails, a key is answered by two targets,
// a filing runs more than once or a bulk body is incomplete.
func (c *Cluster) Tour(w io.Writer) error {
	client := &http.Client{Timeout: 10 * time.Second}
	owners := make(map[string]string)
	slowest := time.Duration(0)
	for i := range tourReads {
		key := fmt.Sprintf("sheet-%d", i%20)
		begin := time.Now()
		a, err := c.request(client, i%c.opts.VMs, http.MethodGet, "/sheets/"+key, "", "")
		if err != nil {
			return err
		}
		slowest = max(slowest, time.Since(begin))
		if a.code != "0" {
			return errors.Errorf("read of key %s failed with code %s: %s", key, a.code, a.body)
		}
		target := jsonString(a.body, "target")
		if known, ok := owners[key]; ok && known != target {
			return errors.Errorf("key %s was answered by two targets: %s and %s", key, known, target)
		}
		owners[key] = target
	}
	perTarget := make(map[string]int)
	for _, t := range owners {
		perTarget[t]++
	}
	fmt.Fprintf(w, "keyed reads: %d through %d entries, %d keys on targets %v, slowest %s\n", tourReads, c.opts.VMs, len(owners), perTarget, slowest.Round(10*time.Microsecond))
	if err := c.tourFiling(client, w); err != nil {
		return err
	}
	return c.tourBulk(client, w)
}

func (c *Cluster) tourFiling(client *http.Client, w io.Writer) error {
	const key = "batch-4711"
	var targets []string
	for i := range c.opts.VMs {
		a, err := c.request(client, i, http.MethodPost, "/filings/batch", key, "certificate")
		if err != nil {
			return err
		}
		if a.code != "0" {
			return errors.Errorf("filing failed with code %s: %s", a.code, a.body)
		}
		targets = append(targets, jsonString(a.body, "target")+"/"+jsonString(a.body, "request_id"))
	}
	for _, t := range targets {
		if t != targets[0] {
			return errors.Errorf("one filing ran more than once: %v", targets)
		}
	}
	fmt.Fprintf(w, "filing: sent through %d entries with one idempotency key, ran once on %s\n", c.opts.VMs, targets[0])
	return nil
}

func (c *Cluster) tourBulk(client *http.Client, w io.Writer) error {
	const size = 8 << 20
	begin := time.Now()
	a, err := c.request(client, 0, http.MethodGet, fmt.Sprintf("/drawings/pack-1?bytes=%d", size), "", "")
	if err != nil {
		return err
	}
	if len(a.body) != size {
		return errors.Errorf("drawing pack incomplete: got %d of %d bytes, code %s", len(a.body), size, a.code)
	}
	fmt.Fprintf(w, "drawing pack: %d bytes in %s\n", size, time.Since(begin).Round(time.Millisecond))
	return nil
}

type answer struct {
	status  int
	code    string
	outcome string
	body    string
}

func (c *Cluster) request(client *http.Client, vm int, method, path, idempotencyKey, body string) (answer, error) {
	req, err := http.NewRequest(method, "http://"+c.EntryAddress(vm)+path, strings.NewReader(body))
	if err != nil {
		return answer{}, errors.Wrap(err, "build request")
	}
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, code: resp.Header.Get("Basiltally-Code"),
		outcome: resp.Header.Get("Basiltally-Outcome"), body: string(b),
	}, errors.Wrap(err, "read answer")
}

// jsonString returns the string member with the name of a flat JSON object, or "" if
// there is none.
func jsonString(body, name string) string {
	_, rest, ok := strings.Cut(body, `"`+name+`":"`)
	if !ok {
		return ""
	}
	value, _, _ := strings.Cut(rest, `"`)
	return value
}
