package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"strings"
	"time"
)

const (
	oddEntryInterval = 100 * time.Millisecond // between odd entries of servers
	// oddRowEvery is the number of odd entries for each odd row in place of one of the entry processes.
	oddRowEvery = 15
	// oddLeaseAt is the number of odd entries before the lease's row is overwritten, once: while it is
	// overwritten more often than once a term, no process can succeed a holder that was killed.
	oddLeaseAt = 40
)

// sharedRows are the rows of the entry processes that are overwritten.
var sharedRows = [][2]string{{"nodes", "key"}, {"nodes", "hub/east"}, {"nodes", "hub/west"}, {"nodes", "poison"}}

// oddValues are values that no server and no entry process writes.
var oddValues = []string{
	"", "null", "{}", "[]", "7", "\xff\x00\xfe", `{"service":"llm"}`, strings.Repeat("[", 20_000), strings.Repeat("x", 65_536),
	`{"name":7,"number":"x","secret":8,"holder":[]}`, `{"name":"x","number":4294967295,"fence":18446744073709551615}`,
}

// oddEntry returns an entry of a server with one field that no server has, at an address where nobody listens.
func (run *soakRun) oddEntry(r *rand.Rand) map[string]any {
	e := map[string]any{
		"service": "llm", "address": "127.0.0.1:9", "zone": zone(r.Intn(2)), "slots": 64, "state": "ready", "kind": "card",
		"layers": map[string]any{"from": 0, "to": layers, "version": 1}, "born": time.Now().UnixMilli(), "sequence": 1,
	}
	switch r.Intn(10) {
	case 0:
		e["layers"] = map[string]any{"from": -1 - r.Intn(5), "to": layers}
	case 1:
		e["layers"] = map[string]any{"from": 0, "to": 1_000_000_000}
	case 2:
		e["layers"] = map[string]any{"from": layers, "to": layers + 1 + r.Intn(9)}
	case 3:
		e["address"] = fmt.Sprintf("127.0.0.1:%d", 65536+r.Intn(9999))
	case 4:
		e["slots"] = json.Number("1e300")
	case 5:
		e["service"] = "llm\r\nX: y"
	case 6:
		e["born"] = json.Number("9223372036854775808")
	case 7: // a second entry with the address of a server
		e["address"], e["born"], e["layers"] = run.pickServerWith(r, "llm").address, int64(1)<<41, nil
	case 8: // a sound entry without a server
		e["layers"] = nil
	case 9:
		e["service"], e["kind"], e["layers"], e["address"] = "desk", "", nil, "0.0.0.0:0"
	}
	return e
}

// writeForeignRows writes odd rows like another writer of the store, also into the tables of entry processes.
func (run *soakRun) writeForeignRows(ctx context.Context, r *rand.Rand) {
	for n := 1; ctx.Err() == nil; n++ {
		key, value := fmt.Sprintf("odd-%d", r.Intn(8)), []byte(oddValues[r.Intn(len(oddValues))])
		if r.Intn(3) > 0 {
			value, _ = json.Marshal(run.oddEntry(r))
		}
		x := row{Table: "servers", Key: key, Value: value}
		switch {
		case n == oddLeaseAt:
			x = row{Table: "lease", Key: "place", Value: []byte(oddValues[r.Intn(len(oddValues))])}
		case n%oddRowEvery == 0:
			shared := sharedRows[r.Intn(len(sharedRows))]
			x = row{Table: shared[0], Key: shared[1], Value: []byte(oddValues[r.Intn(len(oddValues))])}
		}
		run.store.mu.Lock()
		run.store.write(x)
		run.store.mu.Unlock()
		time.Sleep(oddEntryInterval)
	}
}

// checkRunning records a violation for each process that has ended by itself.
func (run *soakRun) checkRunning() {
	for _, p := range run.processes {
		p.restarting.Lock()
		if _, ok := p.peakMemoryKB(); !ok {
			run.callers.addViolation("%s ended by itself", p.name)
		}
		p.restarting.Unlock()
	}
}
