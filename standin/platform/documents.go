package platform

// KindEvacuations is the kind of the objects that stand for data centres that are being evacuated.
const KindEvacuations = "evacuations"

// ServiceDocument returns a service as the operator's configuration states it. A coldPerSecond above zero is the number of requests
// a second that its targets bear for warmUp after their start.
func ServiceDocument(name string, keyed bool, maxConnections int, warmUp string, coldPerSecond float64) map[string]any {
	s := map[string]any{"name": name, "max_conns": maxConnections, "sharded": keyed}
	if coldPerSecond > 0 {
		s["warmup"], s["warmup_per_s"] = warmUp, coldPerSecond
	}
	return s
}

// SetWarmUpLeft makes the entry of a target state that it stays cold for the duration.
func SetWarmUpLeft(entry map[string]any, left string) {
	entry["status"].(map[string]any)["warmup_left"] = left
}

// MinimalConfig is the document of a configuration with a service and a route to it.
const MinimalConfig = `{"version":2,"routes":[{"name":"r","hostname":"h","path_prefix":"/","route_type":"safe","service":"s","max_attempts":1}],` +
	`"services":[{"name":"s"}]}`
