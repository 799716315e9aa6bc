package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// uploadsPerSecond is the number of large requests a second, and uploadTime how long
	// their bodies take to arrive. All of them take 1.34 Gbit/s of a link.
	uploadsPerSecond = 40
	uploadTime       = 2 * time.Second
	uploadPieces     = 64
	// uploadLength is how long the requests come.
	uploadLength = 16 * time.Second
)

// watchMemory ends processes that exceed memory_mb, as the platform does.
func (lb *lab) watchMemory(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, nd := range lb.nodes {
			nd.mu.Lock()
			cmd, killed := nd.process, nd.killed
			nd.mu.Unlock()
			if killed {
				continue
			}
			if used := residentBytes(cmd.Process.Pid); used > memoryMB*1_000_000 {
				lb.note("%s: process %d holds %d MB, the limit is %d MB; the platform kills it", nd.name, cmd.Process.Pid, used/1_000_000, memoryMB)
				_ = cmd.Process.Kill()
			}
		}
	}
}

// residentBytes returns the memory of a process in bytes, or 0 if it has ended.
func residentBytes(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kibibytes, _ := strconv.Atoi(fields[0])
	return kibibytes << 10
}

// upload sends one request with the largest body that the operator allows.
func (ad *addresses) upload(lb *lab, body []byte) {
	kp, err := ad.dial()
	if err != nil {
		return
	}
	defer func() { _ = kp.conn.Close() }()
	id := identifier()
	_ = kp.conn.SetDeadline(time.Now().Add(uploadTime + burstDeadline))
	head := "POST " + burstPath + "2f HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + id + "\r\nDeadline-Ms: " +
		strconv.FormatInt((uploadTime+burstDeadline).Milliseconds(), 10) + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\nConnection: close\r\n\r\n"
	_, err = io.WriteString(kp.conn, head)
	piece := len(body) / uploadPieces
	for began, ix := time.Now(), 0; ix < uploadPieces && err == nil; ix++ {
		_, err = kp.conn.Write(body[ix*piece : (ix+1)*piece])
		time.Sleep(time.Until(began.Add(uploadTime * time.Duration(ix+1) / uploadPieces)))
	}
	status := 0
	if err == nil {
		var rs *http.Response
		if rs, err = http.ReadResponse(kp.reader, nil); err == nil {
			status = rs.StatusCode
			_, _ = io.Copy(io.Discard, rs.Body)
			_ = rs.Body.Close()
		}
	}
	lb.note("client: %s with %d bytes: status %d, %v", id, len(body), status, err)
}

// playBodies kills three of four machines while clients send requests with the largest
// bodies. The platform kills processes that exceed their memory.
func playBodies(lb *lab) (verdict, error) {
	if err := lb.startLedger(); err != nil {
		return verdict{}, err
	}
	var ls loss
	var open sync.WaitGroup
	last := lb.nodes[3]
	stop := make(chan struct{})
	for range keptClients {
		open.Go(func() { ls.send(lb, last, stop) })
	}
	ad := &addresses{nodes: lb.nodes}
	open.Go(func() { ad.follow(lb, stop) })
	open.Go(func() { lb.watchMemory(stop) })
	time.Sleep(time.Second)
	if lb.trouble {
		var kills sync.WaitGroup
		for _, nd := range lb.nodes[:3] {
			kills.Go(nd.kill)
		}
		kills.Wait()
	}
	body := bytes.Repeat([]byte("x"), bodyBytes)
	tk := time.NewTicker(time.Second / uploadsPerSecond)
	defer tk.Stop()
	for until := time.Now().Add(uploadLength); time.Now().Before(until); <-tk.C {
		open.Go(func() { ad.upload(lb, body) })
	}
	close(stop)
	open.Wait()
	return lb.judgeLoss(&ls), nil
}
