package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Names of the configuration.
const (
	host      = "ficu95.example"
	service   = "wuno96b"
	prefix    = "/puxa403/"
	accountA  = "hule930"
	accountB  = "tamo114"
	keyA      = "n2ctnfzs989anu6wsjnb"
	keyB      = "anfqasnmgkcuyj8pjbvk"
	firstTry  = time.Second // for an answer to a call of the control interface
	deadline  = 10 * time.Second
	queueSize = 24
)

// route is the route of a configuration.
type route struct {
	kind      string
	timeout   time.Duration
	objective time.Duration
	attempts  int
}

type account struct {
	name string
	keys []string
}

// document returns a configuration with one route and one service.
func document(version int, r route, accounts []account) []byte {
	tenants := []map[string]any{}
	for _, a := range accounts {
		tenants = append(tenants, map[string]any{"name": a.name, "apiKeys": a.keys, "priority": 1})
	}
	data, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-2yhvz3p", "hostname": host, "pathPrefix": prefix, "kind": r.kind, "timeoutMs": r.timeout.Milliseconds(),
			"targetLatencyMs": r.objective.Milliseconds(), "targetGapMs": 500, "priority": 1, "backend": service, "maxAttempts": r.attempts,
			"public": false, "sticky": false, "resumable": false,
		}},
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  tenants,
	})
	if err != nil {
		panic(err) // the types above have an encoding
	}
	return data
}

// putConfig sends a configuration to one keeper after the other until one acknowledges it,
// and returns the time of the acknowledgement.
func (f *fleet) putConfig(ctx context.Context, data []byte) (time.Time, error) {
	f.rec.line("operator sends %s", data)
	for i := 0; ctx.Err() == nil; i++ {
		ip := f.keeperIP(i % keeperCount)
		status, err := f.callControl(ctx, ip, "/v1/config/put", data)
		if err == nil && status == http.StatusOK {
			f.rec.line("%s acknowledged the configuration", ip)
			return time.Now(), nil
		}
		f.rec.detail("%s answered the operator %d %v", ip, status, err)
		sleep(ctx, time.Now().Add(200*time.Millisecond))
	}
	return time.Time{}, fmt.Errorf("configuration not acknowledged: %w", ctx.Err())
}

// callControl makes a call of the control interface at a keeper and returns the status.
func (f *fleet) callControl(ctx context.Context, ip, path string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, firstTry)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", ip, portControl, path), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
