package kit

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// Proxy is a proxy that the deploy file's run command started.
type Proxy struct {
	Listen, Console string
	cmd             *exec.Cmd
	ended           chan error
}

// Class is a class of requests, as the settings have it.
type Class struct {
	Name     string  `json:"name"`
	AimMS    float64 `json:"aim_ms"`
	GiveUpMS float64 `json:"give_up_ms"`
	Effect   string  `json:"effect"`
	Group    string  `json:"group,omitempty"`
	WindowMS float64 `json:"window_ms,omitempty"`
	Worth    float64 `json:"worth"`
}

// FreePort returns a loopback address that is free now.
func FreePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// RunCommand returns the deploy file's run command. root is the repository's root.
func RunCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		return "", errors.New("the deploy file names no run command")
	}
	return string(m[1]), nil
}

// Config is the platform's file of one proxy of a small deployment.
func Config(name, listen, console string, d *Discovery, instances, me int, classes []Class) map[string]any {
	return map[string]any{
		"name": name, "listen": listen, "discovery": d.Addr(), "console": console, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 1024},
		"known":  d.Known(),
		"settings": map[string]any{
			"instances": instances, "me": me, "layer": 0, "discovery": "push", "zones": []string{"a", "b"}, "zone": 0, "kinds": []string{"m"}, "tiers": []string{"front"},
			"request_classes": classes,
			"limits": map[string]any{
				"max_attempts": 5, "connect_timeout_ms": 300, "conn_idle_ms": 10000, "cancel": true, "retry_after": true,
				"max_retry_after_ms": 2000, "second_copies": true, "streams_per_conn": 1, "open_cap": 10000,
			},
			"rules": map[string]any{
				"answer_slack_ms": 20, "ask_every_ms": 10000, "cold_from": 0.32, "drain_grace_ms": 500, "fall_ms": 1000, "fall_multiple": 3, "warm_up_ms": 8200,
			},
		},
	}
}

// StartProxy starts one proxy and waits until its health check says 200. dir is a folder for its files.
func StartProxy(root, dir string, d *Discovery, classes []Class) (*Proxy, error) {
	run, err := RunCommand(root)
	if err != nil {
		return nil, err
	}
	p := &Proxy{ended: make(chan error, 1)}
	if p.Listen, err = FreePort(); err != nil {
		return nil, err
	}
	if p.Console, err = FreePort(); err != nil {
		return nil, err
	}
	config := Config("n1", p.Listen, p.Console, d, 1, 0, classes)
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "proxy.log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = root, log, log
	p.cmd.Env = append(os.Environ(), "RELAY_NAME=n1", "RELAY_LISTEN="+p.Listen, "RELAY_DISCOVERY="+d.Addr(), "RELAY_CONFIG="+path, "TMPDIR="+dir)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { p.ended <- p.cmd.Wait() }()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case err := <-p.ended:
			return nil, fmt.Errorf("the proxy has ended: %v", err)
		default:
		}
		resp, err := http.Get("http://" + p.Listen + "/_health")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return p, nil
		}
	}
	p.Kill()
	return nil, errors.New("the proxy was not ready within 30 s")
}

// Ended reports whether the proxy has ended by itself.
func (p *Proxy) Ended() bool {
	select {
	case err := <-p.ended:
		p.ended <- err
		return true
	default:
		return false
	}
}

// Kill ends the proxy and waits for its end.
func (p *Proxy) Kill() {
	p.cmd.Process.Kill()
	err := <-p.ended
	p.ended <- err
}
