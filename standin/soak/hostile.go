package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// hostileID is the id of the hostile target.
	hostileID = "hostile"
	// brokenMark is in the bodies of broken answers. No caller may get it.
	brokenMark = "broken-answer"
	// maxSecondAnswerDelay bounds the time from an answer to a second one on the same connection.
	maxSecondAnswerDelay = 60 * time.Millisecond
)

// sealed stands in answers for the lines that mark them as those of the target to the request.
const sealed = "Attempt-Id: %ID\r\nServer-Seal: hostile\r\n"

// brokenAnswers are the answers of the hostile target after which it closes the connection. %ID stands for the id of the
// request, and %S for a status.
var brokenAnswers = []string{
	"HTTP/1.1 000 Trouble\r\n" + sealed + "Content-Length: 13\r\n\r\n" + brokenMark,
	"HTTP/1.1 000\r\n" + sealed + "Content-Length: 13\r\n\r\n" + brokenMark,
	"HTTP/1.1 099 Early\r\n" + sealed + "\r\nHTTP/1.1 200 OK\r\n" + sealed + "\r\n" + brokenMark,
	"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + sealed + "\r\n" + brokenMark,
	"HTTP/1.1 %S\r\n" + sealed + "X Odd: 1\r\nContent-Length: 13\r\n\r\n" + brokenMark,
	"HTTP/1.1 %S\r\n" + sealed + "X\x01Odd: 1\r\nContent-Length: 13\r\n\r\n" + brokenMark,
	"HTTP/1.1 %S\r\n" + sealed + "Content-Length : 2\r\n\r\n" + brokenMark,
	"HTTP/1.1 %S\r\n" + sealed + "Content-Length: 13\r\nContent-Length: 5\r\n\r\n" + brokenMark,
	"HTTP/1.1 %S\r\n" + sealed + "Content-Length: 50\r\n\r\n" + brokenMark,
	"HTTP/1.1 %S\r\n" + sealed + "Content-Length: -1\r\n\r\n" + brokenMark,
	"HTTP/1.0 %S\r\n" + sealed + "Transfer-Encoding: chunked\r\n\r\nd\r\n" + brokenMark + "\r\n0\r\n\r\n",
	"HTTP/1.1 %S\r\n" + sealed + "Transfer-Encoding: chunked\r\n\r\nd\r\n" + brokenMark + "\r\n",
	"HTTP/1.1 %S\r\n" + sealed + "Transfer-Encoding: chunked\r\n\r\nx\r\n" + brokenMark + "\r\n0\r\n\r\n",
	"HTTP/1.1 %S\r\nAttempt-Id: another\r\nServer-Seal: hostile\r\nContent-Length: 13\r\n\r\n" + brokenMark,
	"HTTP/1.1 200 OK\r\nAttempt-Id: %ID\r\nContent-Length: 13\r\n\r\n" + brokenMark,
	"HTTP/1.1 %S\r\n" + sealed,
}

// hostile is a target whose answers are broken on the wire, and some of whose whole ones are followed by a second one.
type hostile struct {
	soak *soak

	mu  sync.Mutex
	rng *rand.Rand
}

// startHostile starts the hostile target of the service free and writes its entry.
func (s *soak) startHostile() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "hostile target: listen")
	}
	h := &hostile{soak: s, rng: rand.New(rand.NewPCG(s.seed, 5))}
	s.closers = append(s.closers, func() { ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return // It was closed.
			}
			go h.serve(nc.(*net.TCPConn))
		}
	}()
	entry := s.targets[1].handler.Entry(ln.Addr().String(), dataCentres[2], "ready", 1)
	s.store.Put("servers", hostileID, entry)
	return nil
}

func (h *hostile) draw(n int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.rng.IntN(n)
}

func (h *hostile) serve(nc *net.TCPConn) {
	defer nc.Close()
	reader := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		arrived, id := time.Now(), r.Header.Get("Attempt-Id")
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		h.soak.hard.reached(hostileID, dataCentres[2], r, arrived, 0)
		h.soak.checker.Ran(hostileID, id, 0)
		h.soak.hard.hostileAnswers.Add(1)
		if h.draw(3) > 0 {
			h.answerBroken(nc, id)
			return
		}
		if h.answerTwice(nc, id, fmt.Sprintf("%s %s %s", hostileID, r.URL.RequestURI(), body)) != nil {
			return
		}
	}
}

// answerBroken sends a broken answer. Every other one ends with a reset of the connection.
func (h *hostile) answerBroken(nc *net.TCPConn, id string) {
	status := []string{"200 OK", "404 Not Found", "503 Service Unavailable", "500 Internal Server Error"}[h.draw(4)]
	text := brokenAnswers[h.draw(len(brokenAnswers))]
	// Errors mean that the connection has already ended.
	_, _ = io.WriteString(nc, strings.NewReplacer("%ID", id, "%S", status).Replace(text))
	if h.draw(2) == 0 {
		_ = nc.SetLinger(0)
	}
}

// answerTwice sends a whole answer and then, at once or late, a second one.
func (h *hostile) answerTwice(nc *net.TCPConn, id, body string) error {
	answer := "HTTP/1.1 200 OK\r\n" + strings.ReplaceAll(sealed, "%ID", id) + "Content-Length: "
	second := answer + strconv.Itoa(len(brokenMark)) + "\r\n\r\n" + brokenMark
	if _, err := io.WriteString(nc, answer+strconv.Itoa(len(body))+"\r\n\r\n"+body); err != nil {
		return err
	}
	if h.draw(2) == 0 {
		time.Sleep(time.Duration(h.draw(int(maxSecondAnswerDelay))))
	}
	_, err := io.WriteString(nc, second)
	return err
}
