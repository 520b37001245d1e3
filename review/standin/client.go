package main

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a client got for one attempt.
type answer struct {
	status   int // 0 if none arrived
	seal     string
	ids      []int // of the events of a stream
	body     string
	complete bool
	err      error
}

// send sends one request on a new connection to an address, and reads the whole answer.
func send(rec *recorder, addr, method, path, id string, headers map[string]string, body string, deadline time.Duration) answer {
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = hostname
	req.GetBody = nil
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("Authorization", "Token "+apiKey)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	rec.log("client sends %s %s, request %s, to %s", method, path, id, addr)
	resp, err := client.Do(req)
	if err != nil {
		rec.log("client: request %s ended without an answer: %v", id, err)
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, seal: resp.Header.Get("X-Response-Seal")}
	a.readBody(resp.Body)
	rec.log("client: request %s answered %d, seal %q, %d events %v, complete %t", id, a.status, a.seal, len(a.ids), a.ids, a.complete)
	return a
}

// readBody reads an answer's body, and notes the ids of its events.
func (a *answer) readBody(body io.Reader) {
	in := bufio.NewReader(body)
	for {
		line, err := in.ReadString('\n')
		a.body += line
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			if id, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
				a.ids = append(a.ids, id)
			}
		}
		if err == io.EOF {
			a.complete = true
			return
		}
		if err != nil {
			a.err = err
			return
		}
	}
}
