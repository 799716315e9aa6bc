package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a client got.
type answer struct {
	id     string
	status int
	seal   string
	body   string
	// whole says that the answer looks complete.
	whole bool
	err   error
}

func newID() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// send sends one request over a new connection and reads the answer to its end.
func send(front, method, path, id, body string, deadline time.Duration, headers ...string) answer {
	an := answer{id: id}
	cn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		an.err = err
		return an
	}
	defer func() { _ = cn.Close() }()
	_ = cn.SetDeadline(time.Now().Add(deadline + 2*time.Second))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	for _, line := range headers {
		text.WriteString(line + "\r\n")
	}
	if method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	if _, err := io.WriteString(cn, text.String()); err != nil {
		an.err = err
		return an
	}
	rs, err := http.ReadResponse(bufio.NewReader(cn), &http.Request{Method: method})
	if err != nil {
		an.err = err
		return an
	}
	an.status, an.seal = rs.StatusCode, rs.Header.Get("Response-Seal")
	got, err := io.ReadAll(rs.Body)
	an.body, an.err = string(got), err
	an.whole = err == nil
	return an
}

// String describes the answer.
func (an answer) String() string {
	switch {
	case an.status == 0:
		return fmt.Sprintf("%s: no answer: %v", an.id, an.err)
	case !an.whole:
		return fmt.Sprintf("%s: %d, broken off after %d bytes: %v", an.id, an.status, len(an.body), an.err)
	}
	return fmt.Sprintf("%s: %d, looks complete, %d bytes", an.id, an.status, len(an.body))
}
