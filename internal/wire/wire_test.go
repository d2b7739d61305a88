package wire

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

const profile1 = `{"instances":1,"me":0,"layer":0,"zone":0,"discovery":"push","unknown_key":[1],
"request_classes":[{"aim_ms":500,"give_up_ms":1000,"effect":"free","group":"all","window_ms":5000,"worth":1}],
"limits":{"cancel":true,"max_attempts":3},"rules":{"cold_from":0.3,"warm_up_ms":5000,"fall_multiple":3,"fall_ms":1000}}`

func open() string {
	return `{"clock_ms":1,"inbox":[["open_instance",3,17,` + strings.ReplaceAll(profile1, "\n", "") + `],` +
		`["list",0,[["b:1",0,0,0,"in_service",1,null]]],["update",3,"cached",1,0]]}` + "\n"
}

func serve(t *testing.T, lines string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := Serve(strings.NewReader(lines), &out)
	return out.String(), err
}

func TestRoundTrip(t *testing.T) {
	out, err := serve(t, open()+
		`{"clock_ms":2,"inbox":[["submit",3,"c:x",null,false,false,null,240.0,null,0]]}`+"\n"+
		`{"clock_ms":9,"inbox":[["response",3,"c:x",0,"b:1","Ok",7,true,{"load_share":0.5,"new":1}],["ring",3,99]]}`+"\n"+
		`{"clock_ms":10,"inbox":[["mail",3,1,"00"],["probe_done",3,"b:1","Ok",1,null],["teardown",3]]}`+"\n")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if len(lines) != 4 || lines[0] != `{"do":[]}` || lines[3] != `{"do":[]}` ||
		!strings.Contains(lines[1], `["relay",3,"c:x","b:1",240.000]`) {
		t.Fatalf("replies:\n%s", out)
	}
}

func TestEqualInputGivesEqualOutput(t *testing.T) {
	input := open() + `{"clock_ms":2,"inbox":[["submit",3,"c:x",null,false,false,0,240.0,1,0]]}` + "\n"
	one, err1 := serve(t, input)
	two, err2 := serve(t, input)
	if err1 != nil || err2 != nil || one != two {
		t.Fatalf("%v %v\n%s\n%s", err1, err2, one, two)
	}
}

func TestMalformedInputEndsWithAClearError(t *testing.T) {
	for name, c := range map[string]struct{ line, want string }{
		"not JSON":       {`{"clock_ms":`, "line 2"},
		"no clock":       {`{"inbox":[]}`, "clock_ms"},
		"unknown event":  {`{"clock_ms":2,"inbox":[["nonsense",3]]}`, `unknown event "nonsense"`},
		"missing value":  {`{"clock_ms":2,"inbox":[["dropped",3]]}`, `"tid" is missing`},
		"wrong type":     {`{"clock_ms":2,"inbox":[["ring",3,"x"]]}`, "nonce"},
		"unknown rc":     {`{"clock_ms":2,"inbox":[["response",3,"c",0,"b:1","Odd",1,true,null]]}`, `"Odd"`},
		"not open":       {`{"clock_ms":2,"inbox":[["ring",8,1]]}`, "not open"},
		"unknown list":   {`{"clock_ms":2,"inbox":[["update",3,"full",2,7]]}`, "never sent"},
		"unknown state":  {`{"clock_ms":2,"inbox":[["list",0,[["b",0,0,0,"odd",1,0]]]]}`, `"odd"`},
		"bad settings":   {`{"clock_ms":2,"inbox":[["open_instance",4,1,{"discovery":"push"}]]}`, "settings"},
		"unknown effect": {`{"clock_ms":2,"inbox":[["open_instance",4,1,{"discovery":"ask","request_classes":[{"effect":"odd"}]}]]}`, `"odd"`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := serve(t, open()+c.line+"\n")
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("error %v, want one with %q", err, c.want)
			}
		})
	}
}

func TestPanicBecomesBroken(t *testing.T) {
	s := &session{}
	i := &instance{session: s, number: 4}
	i.run(nil) // calling nil panics
	if !strings.HasPrefix(string(s.out), `["broken",4,`) {
		t.Fatalf("got %s", s.out)
	}
}

func TestDeclineContainsWait(t *testing.T) {
	s := &session{}
	i := &instance{session: s, number: 4}
	i.Refuse("c:x", 250*time.Millisecond)
	if string(s.out) != `["decline",4,"c:x",250.000],` {
		t.Fatalf("got %s", s.out)
	}
}
